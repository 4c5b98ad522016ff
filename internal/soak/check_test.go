package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"bulrushpond.example/bulrushpond/platform/fakes"
)

// Limits of the guarantees, as the platform's sites state them.
const (
	// disruptionGrace is the time after a disruption until time limits apply again.
	disruptionGrace = 3 * time.Second
	// applyLimit is the time until a new configuration must be in force.
	applyLimit = 2 * time.Second
	// regressionSlack is how long after a request with a newer configuration a daemon may still
	// serve one with an older; regressionSlackDisrupted is the same under a disruption.
	regressionSlack          = 250 * time.Millisecond
	regressionSlackDisrupted = 2 * time.Second
	// deadlineSlack is how long after its deadline a response may end.
	deadlineSlack = 500 * time.Millisecond
)

// allDaemons is the Daemon of a fault that isn't limited to one daemon.
const allDaemons = -1

// faultWindow is the time during which a fault was injected. Planned faults are planned
// operations; all others are disruptions.
type faultWindow struct {
	Name     string
	Daemon   int
	Planned  bool
	From, To time.Time
}

// configVersion is a version of the configuration. It allows the API keys with its own number
// and with the number before.
type configVersion struct {
	Number    int
	WrittenAt time.Time
}

func (c configVersion) allows(key int) bool { return key == c.Number || key == c.Number-1 }

// history is everything observed of a run from outside the daemons.
type history struct {
	Requests []request
	// Runs is how often each request ran at the servers, and Teams for which team, by request
	// ID.
	Runs  map[string]int
	Teams map[string]string
	// Priorities are the requests' priorities as the servers got them, by request ID.
	Priorities map[string]string
	// BadChains are the invalid chains of servers over which streams were sent.
	BadChains    []string
	Configs      []configVersion
	FaultWindows []faultWindow
	Limited      []limitedServer
	Crashing     crashingRequest
	// StreamEvents is the number of events in a complete stream.
	StreamEvents int
	// CheckTimes enables the checks of time limits.
	CheckTimes bool
}

// violations returns a description of each violated guarantee.
func (h *history) violations() []string {
	var all []string
	sent := map[string]bool{}
	for i := range h.Requests {
		r := &h.Requests[i]
		sent[r.ID] = true
		for _, check := range []func(*request) string{h.checkResponse, h.checkRefusal, h.checkRuns, h.checkConfig, h.checkDeadline, h.checkServed, h.checkNotCut} {
			if violation := check(r); violation != "" {
				all = append(all, fmt.Sprintf("%s (%s to d%d/%d at %s, %d after %s, key %d, error %v): %s", r.ID, r.Kind, r.Daemon, r.Process,
					r.SentAt.Format(clockFormat), r.Code, r.EndedAt.Sub(r.SentAt).Round(time.Millisecond), r.KeyNumber, r.Err, violation))
			}
		}
	}
	for id := range h.Runs {
		if !sent[id] && !strings.HasPrefix(id, unrecordedPrefix) {
			all = append(all, fmt.Sprintf("%s ran although no caller sent it", id))
		}
	}
	for _, chain := range h.BadChains {
		all = append(all, "a stream was sent over the invalid chain "+chain)
	}
	all = append(all, h.limitViolations()...)
	all = append(all, h.crashingViolations()...)
	all = append(all, h.cutViolations()...)
	return append(all, h.configRegressions()...)
}

const clockFormat = "15:04:05.000"

// checkResponse compares a response with the one that the servers generate for the request.
func (h *history) checkResponse(r *request) string {
	signature := r.Header.Get("Response-Signature")
	switch {
	case r.Code == 0:
		return ""
	case r.Code != http.StatusOK && signature != "":
		return "a failed response carries the signature " + signature
	case r.Code != http.StatusOK:
		return ""
	case !strings.HasSuffix(signature, "."+r.ID):
		return fmt.Sprintf("a successful response carries the signature %q", signature)
	}
	if r.Kind != kindStream {
		want := fmt.Sprintf("%s %s %s %d", strings.TrimSuffix(signature, "."+r.ID), r.method(), r.path(), len(r.requestBody()))
		if r.Complete && r.Body != want {
			return fmt.Sprintf("the body %q is not the server's %q", r.Body, want)
		}
		return ""
	}
	events := fakes.Events(r.Body)
	for i, event := range events {
		if want := (fakes.Event{ID: i + 1, Text: fmt.Sprintf("piece %d of %s", i+1, r.ID)}); event != want {
			return fmt.Sprintf("event %d is number %d (%q)", i+1, event.ID, event.Text)
		}
	}
	if r.Complete && !strings.HasSuffix(r.Body, "\n\n") {
		return "the stream ends as complete in the middle of an event"
	}
	if r.Complete && len(events) != h.StreamEvents {
		return fmt.Sprintf("the stream ends as complete after %d of %d events", len(events), h.StreamEvents)
	}
	return ""
}

// checkRefusal checks that a refused request has a Retry-After header where one is due, may be
// refused at all, and, if it is a booking, didn't run.
func (h *history) checkRefusal(r *request) string {
	switch r.Code {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if r.Header.Get("Retry-After") == "" {
			return "a refusal has no Retry-After header"
		}
	case http.StatusNotFound, http.StatusForbidden:
		return "refused although every configuration allows it"
	default:
		return ""
	}
	if r.Kind == kindBooking && h.Runs[r.ID] > 0 {
		return "refused as not run, but it ran"
	}
	return ""
}

// checkRuns checks that a booking ran at most once, that a successful request ran, and that a
// request ran for its own team.
func (h *history) checkRuns(r *request) string {
	runs := h.Runs[r.ID]
	switch {
	case r.Kind == kindBooking && runs > 1:
		return fmt.Sprintf("ran %d times", runs)
	case r.Code == http.StatusOK && runs == 0:
		return "a successful response, but the request did not run"
	case runs > 0 && h.Teams[r.ID] != r.Team:
		return fmt.Sprintf("ran for the team %q instead of %q", h.Teams[r.ID], r.Team)
	case runs > 0 && h.Priorities[r.ID] != r.priority():
		return fmt.Sprintf("ran with the priority %q instead of %s", h.Priorities[r.ID], r.priority())
	}
	return ""
}

// checkConfig checks that a request was served or refused as its API key requires under one of
// the configurations that may have been in force.
func (h *history) checkConfig(r *request) string {
	mayAllow, mayRefuse := false, false
	for i, c := range h.Configs {
		replaced := i+1 < len(h.Configs) && h.CheckTimes && !h.disrupted(r) && h.Configs[i+1].WrittenAt.Add(applyLimit).Before(r.SentAt)
		if c.WrittenAt.After(r.EndedAt) || replaced {
			continue
		}
		mayAllow = mayAllow || c.allows(r.KeyNumber)
		mayRefuse = mayRefuse || !c.allows(r.KeyNumber)
	}
	switch {
	case r.Code == http.StatusOK && !mayAllow:
		return "served, but no configuration that may be in force has its key"
	case r.Code == http.StatusUnauthorized && !mayRefuse:
		return "refused, but every configuration that may be in force has its key"
	}
	return ""
}

// disrupted reports whether a disruption at the request's daemon is close enough to excuse a
// late response.
func (h *history) disrupted(r *request) bool {
	return slices.ContainsFunc(h.FaultWindows, func(window faultWindow) bool {
		return !window.Planned && window.overlaps(r) && (window.Daemon == allDaemons || window.Daemon == r.Daemon)
	})
}

// overlaps reports whether a request overlaps the window extended by disruptionGrace.
func (w faultWindow) overlaps(r *request) bool {
	return w.From.Before(r.EndedAt) && r.SentAt.Before(w.To.Add(disruptionGrace))
}

// checkDeadline checks that the response ended by the caller's deadline plus deadlineSlack.
func (h *history) checkDeadline(r *request) string {
	if took := r.EndedAt.Sub(r.SentAt); h.CheckTimes && took > deadline+deadlineSlack && !h.disrupted(r) {
		return fmt.Sprintf("the response took %s", took)
	}
	return ""
}

// checkServed checks that requests outside of disruptions are served completely, during planned
// operations too. Only a request that was sent to a daemon during its planned operation and
// didn't run may fail without a response, as its caller can retry it.
func (h *history) checkServed(r *request) string {
	if !h.CheckTimes || r.Code == http.StatusOK && r.Complete || r.Code == http.StatusUnauthorized {
		return ""
	}
	for _, window := range h.FaultWindows {
		if window.overlaps(r) && (!window.Planned || r.Code == 0 && window.Daemon == r.Daemon && h.Runs[r.ID] == 0) {
			return ""
		}
	}
	return "not served, but no disruption was near"
}

// checkNotCut checks that no answer that has begun is broken off before the caller's deadline
// outside of disruptions, during planned operations too.
func (h *history) checkNotCut(r *request) string {
	if r.Code != http.StatusOK || r.Complete || r.EndedAt.Sub(r.SentAt) >= deadline {
		return ""
	}
	if slices.ContainsFunc(h.FaultWindows, func(w faultWindow) bool { return !w.Planned && w.overlaps(r) }) {
		return ""
	}
	return "cut before its deadline, but no disruption was near"
}

// configRegressions returns the cases in which a process served a request with an older
// configuration than one before.
func (h *history) configRegressions() []string {
	type process struct{ daemon, number int }
	servedBy := map[process][]*request{}
	for i := range h.Requests {
		if r := &h.Requests[i]; r.Code == http.StatusOK && r.Process == r.EndProcess {
			p := process{r.Daemon, r.Process}
			servedBy[p] = append(servedBy[p], r)
		}
	}
	var all []string
	for p, requests := range servedBy {
		for _, r := range requests {
			slack := regressionSlack
			if h.disrupted(r) {
				slack = regressionSlackDisrupted
			}
			for _, earlier := range requests {
				// A key is allowed by the version with its own number and by the next one.
				if earlier.EndedAt.Add(slack).Before(r.SentAt) && earlier.KeyNumber > r.KeyNumber+1 {
					all = append(all, fmt.Sprintf("d%d/%d served key %d (%s), then key %d (%s)",
						p.daemon, p.number, earlier.KeyNumber, earlier.ID, r.KeyNumber, r.ID))
				}
			}
		}
	}
	return all
}

// violationLog collects the violations that are detected during a run.
type violationLog struct {
	mu    sync.Mutex
	texts []string
}

func (v *violationLog) add(format string, args ...any) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.texts = append(v.texts, time.Now().Format(clockFormat)+" "+fmt.Sprintf(format, args...))
}

func (v *violationLog) all() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.texts)
}
