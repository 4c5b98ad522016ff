package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"bulrushpond.example/bulrushpond/platform/fakes"
)

const (
	// limitWindow is the window in which a server that names a limit may get limitTolerance times what the limit
	// allows, and limitSlack requests more.
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
	// limitToldBound is how long after a server first named its limit all daemons know it. The platform counts
	// requests of a daemon only from half a second after it got such an answer itself.
	limitToldBound = time.Second
	// crashesToLearn is the number of servers that a request may crash, and maxLateArrivals how often it may reach
	// servers later than disruptionGrace after that.
	crashesToLearn  = 3
	maxLateArrivals = 3
)

// Names of the faults whose effects on the daemons are checked here.
const (
	limitFault    = "server names a limit"
	crashingFault = "request crashes servers"
)

// unrecordedPrefix begins the IDs of requests whose answers are not checked.
const unrecordedPrefix = "bad"

// limitedServer is a server that named a limit, and the arrivals at it since.
type limitedServer struct {
	ID        string
	PerSecond float64
	From      time.Time
	Arrivals  []time.Time
}

// crashingRequest is a request that crashed servers.
type crashingRequest struct{ Arrivals, Crashes []time.Time }

// nameLimit makes a random server name a limit for a while.
func (tb *testbed) nameLimit(rnd *rand.Rand) {
	tb.runFault(limitFault, allDaemons, false, func() {
		tb.withRandomServer(rnd, rnd.IntN(2) == 0, func(s *fakes.Server) {
			if !tb.limitOnce(s.ID) {
				return
			}
			limited := limitedServer{ID: s.ID, PerSecond: float64(1 + rnd.IntN(20)), From: time.Now()}
			s.Limit(strconv.FormatFloat(limited.PerSecond, 'f', -1, 64))
			sleepBetween(rnd, 5*time.Second, 10*time.Second)
			s.Limit("")
			limited.Arrivals = slices.DeleteFunc(s.LimitedArrivals(), func(at time.Time) bool { return at.Before(limited.From.Add(limitToldBound)) })
			tb.mu.Lock()
			defer tb.mu.Unlock()
			tb.limited = append(tb.limited, limited)
		})
	})
}

// limitOnce reports whether a server is to name a limit. Each does so once in a run.
func (tb *testbed) limitOnce(id string) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if slices.Contains(tb.limitNamed, id) {
		return false
	}
	tb.limitNamed = append(tb.limitNamed, id)
	return true
}

// crashServers sends a request that crashes plain servers or engines to random daemons, several times. A run has one
// such request at most.
func (tb *testbed) crashServers(rnd *rand.Rand) {
	if !tb.crashing.CompareAndSwap(false, true) {
		return
	}
	tb.runFault(crashingFault, allDaemons, false, func() {
		call := fakes.Call{Method: http.MethodGet, Path: "/" + kindLookup + "/bad", Timeout: deadline}
		if rnd.IntN(2) == 0 {
			call = fakes.Call{Method: http.MethodPost, Path: "/" + kindStream + "/bad", Body: "bad", Timeout: deadline}
		}
		tb.platform.CrashOnRequest(fakes.CrashingRequest{Path: call.Path, Team: "north", Body: call.Body, RestartDelay: time.Second})
		for i := range 15 {
			c := call
			c.ID, c.Key = fmt.Sprintf("%s%d", unrecordedPrefix, i), apiKey("north", tb.callerKey())
			tb.sendUnrecorded(c, rnd.IntN(daemonCount))
			sleepBetween(rnd, 100*time.Millisecond, 900*time.Millisecond)
		}
		tb.platform.CrashOnRequest(fakes.CrashingRequest{})
	})
}

// sendUnrecorded sends a request whose answer is not checked.
func (tb *testbed) sendUnrecorded(c fakes.Call, daemonIndex int) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := c.Request(ctx, tb.daemons[daemonIndex].callerLink.address())
	if err != nil {
		tb.violations.add("request: %v", err)
		return
	}
	if resp, err := http.DefaultTransport.RoundTrip(req); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

// undisturbed reports whether no disruption of another kind is near a time span.
func (h *history) undisturbed(from, to time.Time, kind string) bool {
	return !slices.ContainsFunc(h.FaultWindows, func(w faultWindow) bool {
		return !w.Planned && w.Name != kind && w.From.Before(to) && from.Before(w.To.Add(disruptionGrace))
	})
}

// limitViolations returns the servers that got more requests than their limits allow, outside of disruptions.
func (h *history) limitViolations() []string {
	var all []string
	for _, s := range h.Limited {
		allowed := limitTolerance*limitWindow.Seconds()*s.PerSecond + limitSlack
		begin := 0
		for end, at := range s.Arrivals {
			for at.Sub(s.Arrivals[begin]) > limitWindow {
				begin++
			}
			if at.Before(s.From.Add(disruptionGrace)) || float64(end-begin+1) <= allowed || !h.undisturbed(at.Add(-limitWindow), at, limitFault) {
				continue
			}
			all = append(all, fmt.Sprintf("%s got %d requests in %s up to %s, allowed %v", s.ID, end-begin+1, limitWindow, at.Format(clockFormat), allowed))
			break
		}
	}
	return all
}

// crashingViolations returns the requests that crashed servers and reached them too often after that, outside of
// disruptions.
func (h *history) crashingViolations() []string {
	c := h.Crashing
	if len(c.Crashes) < crashesToLearn {
		return nil
	}
	learnedBy := c.Crashes[crashesToLearn-1].Add(disruptionGrace)
	late := 0
	for _, at := range c.Arrivals {
		if at.After(learnedBy) && h.undisturbed(c.Crashes[0], at, crashingFault) {
			late++
		}
	}
	if late <= maxLateArrivals {
		return nil
	}
	return []string{fmt.Sprintf("a request that crashed %d servers reached servers %d times later than %s after the third", len(c.Crashes), late, disruptionGrace)}
}
