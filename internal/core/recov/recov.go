// Package recov processes the tokens and the ends of streams, and recovers requests whose
// stream failed. It decides which tokens are accepted, whether a request continues on
// another route in a new epoch, and when it fails.
package recov

import (
	"fmt"
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/route"
	"bulrushpond.example/bulrushpond/internal/core/table"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

const (
	// rerouteTimeout bounds how long a request waits for another route before it fails.
	rerouteTimeout = 5 * time.Second
	// budgetTimeout bounds how long a stream that has begun waits for room in the retry budget.
	// A caller whose stream is cut can resume it elsewhere, so a longer wait would not help it.
	budgetTimeout = 500 * time.Millisecond
	// avoidBase is the backoff after a server's first failure, during which it gets no new
	// work. It doubles with each consecutive failure, up to maxAvoidDuration.
	avoidBase        = 500 * time.Millisecond
	maxAvoidDuration = 30 * time.Second
	// stallMarkTimeout is how long a stream counts as waiting for a server without a new diagnosis.
	stallMarkTimeout = time.Second
	// fullDuration is how long a server that declined a request counts as full.
	fullDuration = 100 * time.Millisecond
	// tokensPerObservation is the number of tokens over which one observation of a route's
	// token gap is averaged.
	tokensPerObservation = 16
	// retryAfterFailure is the delay after which a caller may retry a failed request.
	retryAfterFailure = time.Second
)

// State is the state that is kept between ticks.
type State struct {
	// DroppedTokens counts the tokens that were not accepted.
	DroppedTokens uint64
	// RecoveredStreams counts the epochs after the first, of all requests.
	RecoveredStreams uint64
	// LastRoute is the route of the last request that was answered completely.
	LastRoute model.Route
}

// Tables holds the tables and the routing policy that the operations work on.
type Tables struct {
	Requests *table.Requests
	Servers  *table.Servers
	Picker   route.Picker
	// RequestEnded is called with the team of each request that ends.
	RequestEnded func(model.Team)
}

// HandleToken processes a token. It is sent to the caller only if it has the next position and the
// current epoch and, if it carries a digest, that of the current route.
func (st *State) HandleToken(now time.Time, tok model.Token, t Tables, out *msgs.Outbox) {
	r := t.Requests.Get(tok.Request)
	if r == nil {
		st.DroppedTokens++
		return
	}
	if reason := rejectReason(r, tok); reason != "" {
		st.DroppedTokens++
		out.Notify(msgs.Notice{Kind: msgs.TokenDropped, Request: tok.Request, Detail: reason})
		return
	}
	r.Verdict = verdt.Ran
	recordToken(now, r)
	observeGap(now, r, t)
	t.Requests.SetStalled(r, "")
	r.Switched = false
	if tok.End {
		if tok.Head != nil || tok.Text != "" {
			// An answer without any event still has a head to send, and comments may follow the last one.
			out.Sends = append(out.Sends, tok)
		}
		st.finish(r, t, out, msgs.Finish{Request: r.ID, Tokens: r.Next})
		return
	}
	observeRoute(now, r, t)
	r.Next++
	out.Sends = append(out.Sends, tok)
}

// recordToken records the time of a token, and updates the smoothed gap between tokens.
func recordToken(now time.Time, r *table.Request) {
	const smoothing = 4
	if gap := now.Sub(r.LastActivityAt); r.Next > r.OpenedFrom {
		if r.Gap == 0 {
			r.Gap = gap
		}
		r.Gap += (gap - r.Gap) / smoothing
	}
	r.LastActivityAt, r.HeardAt = now, now
}

// observeGap reports the smoothed gap of a stream to a picker that observes each token.
func observeGap(now time.Time, r *table.Request, t Tables) {
	if o, ok := t.Picker.(route.GapObserver); ok && r.Gap > 0 {
		o.ObserveGap(now, t.Servers, r)
	}
}

// rejectReason returns why a token must not be accepted, or an empty string if it may be.
func rejectReason(r *table.Request, tok model.Token) string {
	switch {
	case r.Phase != table.Running || tok.Epoch != r.Epoch:
		return "old epoch"
	case tok.Position != r.Next:
		return "wrong position"
	case !tok.End && tok.Trail != 0 && tok.Trail != r.Trail:
		return "wrong route"
	}
	return ""
}

// observeRoute reports the mean gap of every tokensPerObservation tokens to the picker. The
// time until the first token after an open is left out, since it includes the
// processing of the prompt or the replay.
func observeRoute(now time.Time, r *table.Request, t Tables) {
	if r.Next%tokensPerObservation == 0 {
		if !r.LastObservedAt.IsZero() {
			t.Picker.Observe(r.Route, now.Sub(r.LastObservedAt)/tokensPerObservation)
		}
		r.LastObservedAt = now
	}
}

// finish ends a request and releases its servers.
func (st *State) finish(r *table.Request, t Tables, out *msgs.Outbox, f msgs.Finish) {
	if f.Failure == nil {
		st.LastRoute = r.Route
		t.Picker.Learn(r.Prefix, r.Route)
		resetFailures(r.Route, t)
	}
	t.Servers.Release(r, r.Route)
	r.Route = model.Route{}
	t.Requests.Remove(r.ID)
	t.RequestEnded(r.Team)
	out.Finishes = append(out.Finishes, f)
}

// resetFailures resets the consecutive failures of a route's servers.
func resetFailures(route model.Route, t Tables) {
	for _, h := range route.Hops {
		if s := t.Servers.Get(h.Server); s != nil {
			s.Failures = 0
		}
	}
}

// HandleStreamEnd processes the end of a stream that has not delivered its last token. The request waits
// for another route unless it may not be sent again.
func (st *State) HandleStreamEnd(now time.Time, e msgs.StreamEnd, t Tables, out *msgs.Outbox) {
	r := t.Requests.Get(e.Request)
	if r == nil || r.Phase != table.Running || e.Epoch != r.Epoch {
		return
	}
	f := e.Failure
	if f == nil {
		f = verdt.New(verdt.MayHaveRun, verdt.StageFailed, "the stream ended without its last token")
	}
	st.blameServer(now, r, f, e.Declined, t, out)
	if e.NotConnected && r.Recoveries > 0 {
		// The request is sent to no server twice, so this ends.
		r.Recoveries--
	}
	r.Switched = r.Switched && e.Declined
	out.Cancels = append(out.Cancels, msgs.Cancel{Request: r.ID, Epoch: r.Epoch, Route: r.Route})
	st.detach(now, r, t)
	if !e.Declined {
		recordFirstServer(r, r.PreviousRoute)
		r.Verdict = r.Verdict.Merge(verdt.MayHaveRun).Merge(f.Verdict)
	}
	switch {
	case f.Reason == verdt.DeadlinePassed || f.Reason == verdt.BadRequest:
		// Another server would give the same result.
		st.FailRequest(now, r, f.Reason, f.Message, t, out)
	case r.AtMostOnce && r.Verdict != verdt.NotRun:
		st.FailRequest(now, r, verdt.StageFailed, f.Message, t, out)
	case r.Recoveries >= r.MaxRecoveries:
		st.FailRequest(now, r, verdt.StageFailed, "too many backend servers failed during the request", t, out)
	}
}

// blameServer records which server ended a request's stream and keeps new work from it for a while. An
// error of the connection names the first server, which ends the streams that waited too long for
// another one; the other one is to blame then.
func (st *State) blameServer(now time.Time, r *table.Request, f *verdt.Error, declined bool, t Tables, out *msgs.Outbox) {
	if r.StalledOn != "" && !declined {
		r.Failed = append(r.Failed, r.StalledOn)
		return
	}
	failed := model.ServerID(f.Server)
	s := t.Servers.Get(failed)
	if s == nil || !r.Route.Uses(failed) {
		return
	}
	if declined && f.Reason == verdt.Overloaded {
		// A full server is healthy and must not be avoided as a failed one.
		s.FullUntil, s.DeclinedAt = now.Add(fullDuration), now
	} else {
		avoid(now, s, avoidBase<<min(s.Failures, 6), t, out)
	}
	r.Failed = append(r.Failed, failed)
}

// recordFirstServer adds the first server of a route to the request's FirstServers.
func recordFirstServer(r *table.Request, route model.Route) {
	if head := route.Hops[0].Server; !slices.Contains(r.FirstServers, head) {
		r.FirstServers = append(r.FirstServers, head)
	}
}

// StallStream records that a request's stream waits for a stalled server. The stream stays open, as the
// server may go on, until SwitchRoute moves the request or the engines end the stream.
func (st *State) StallStream(now time.Time, id model.RequestID, server model.ServerID, t Tables, out *msgs.Outbox) {
	r := t.Requests.Get(id)
	if r == nil || r.Phase != table.Running || r.StalledOn != "" {
		return
	}
	if s := t.Servers.Get(server); s != nil {
		avoid(now, s, avoidBase<<min(s.Failures, 6), t, out)
	}
	t.Requests.SetStalled(r, server)
	r.TryAt, r.StalledUntil = now, now.Add(stallMarkTimeout)
	out.Notify(msgs.Notice{Kind: msgs.StreamStalled, Request: id, Server: server, Detail: fmt.Sprintf("epoch %d at token %d", r.Epoch, r.Next)})
}

// MaySwitch reports whether a request with an open stream may be sent to another route.
func MaySwitch(r *table.Request) bool {
	return !r.AtMostOnce && (r.StalledOn == "" || r.Recoveries < r.MaxRecoveries)
}

// SwitchRoute moves a request with an open stream to another route. Where no server failed, this doesn't
// count as a recovery, and the servers' caches can be imported.
func (st *State) SwitchRoute(now time.Time, r *table.Request, chain model.Route, t Tables, out *msgs.Outbox) {
	out.Cancels = append(out.Cancels, msgs.Cancel{Request: r.ID, Epoch: r.Epoch, Route: r.Route})
	if r.StalledOn != "" {
		r.Failed = append(r.Failed, r.StalledOn)
	} else {
		r.Recoveries--
	}
	r.Switched = r.Next > r.From
	st.detach(now, r, t)
	recordFirstServer(r, r.PreviousRoute)
	r.Verdict = r.Verdict.Merge(verdt.MayHaveRun)
	st.Start(now, r, chain, t, out)
}

// Avoid keeps new work from a server for a while.
func (st *State) Avoid(now time.Time, id model.ServerID, duration time.Duration, t Tables, out *msgs.Outbox) {
	if s := t.Servers.Get(id); s != nil {
		avoid(now, s, duration, t, out)
	}
}

// avoid counts a failure of a server and keeps new work from it, for at most maxAvoidDuration. It
// does nothing if the server is avoided for at least as long already, or if it is avoided and
// duration does not exceed its current backoff.
func avoid(now time.Time, s *table.Server, duration time.Duration, t Tables, out *msgs.Outbox) {
	if !now.Add(duration).After(s.AvoidUntil) || (now.Before(s.AvoidUntil) && duration <= avoidBase<<min(s.Failures, 6)) {
		return
	}
	s.Failures++
	s.AvoidUntil = now.Add(min(duration, maxAvoidDuration))
	t.Servers.Version++
	out.Notify(msgs.Notice{Kind: msgs.ServerAvoided, Server: s.ID, Detail: fmt.Sprintf("%d failures in a row", s.Failures)})
}

// detach releases a request's route and makes the request wait for another one.
func (st *State) detach(now time.Time, r *table.Request, t Tables) {
	t.Servers.Release(r, r.Route)
	t.Requests.SetStalled(r, "")
	delete(t.Requests.Displaced, r.ID)
	r.TryAt = now
	r.PreviousRoute, r.Route, r.Trail = r.Route, model.Route{}, 0
	r.Phase = table.Rerouting
	r.RerouteUntil, r.BudgetUntil = now.Add(rerouteTimeout), now.Add(budgetTimeout)
	if r.Switched {
		// The engines would have gone on, so the caller is not cut before its deadline.
		r.RerouteUntil, r.BudgetUntil = r.Deadline, r.Deadline
	}
	t.Requests.Rerouting[r.ID] = struct{}{}
}

// DisplaceRequest marks a request that is to leave its route because one of the route's servers stops or
// replaces its layers. The stream stays open until SwitchRoute moves the request or the engines end the stream.
func (st *State) DisplaceRequest(now time.Time, id model.RequestID, t Tables) {
	if r := t.Requests.Get(id); r != nil && r.Phase == table.Running {
		t.Requests.Displaced[id] = struct{}{}
		r.TryAt = now
	}
}

// FailRequest fails a request immediately and cancels its stream.
func (st *State) FailRequest(now time.Time, r *table.Request, reason verdt.Reason, message string, t Tables, out *msgs.Outbox) {
	st.FailRequestUntil(r, reason, message, now.Add(retryAfterFailure), t, out)
}

// FailRequestUntil is FailRequest with the time at which the caller may retry.
func (st *State) FailRequestUntil(r *table.Request, reason verdt.Reason, message string, retryAt time.Time, t Tables, out *msgs.Outbox) {
	if r.Phase == table.Running {
		out.Cancels = append(out.Cancels, msgs.Cancel{Request: r.ID, Epoch: r.Epoch, Route: r.Route})
	}
	f := verdt.New(r.FailureVerdict(), reason, message, verdt.RetryAt(retryAt))
	st.finish(r, t, out, msgs.Finish{Request: r.ID, Failure: f})
}

// Start opens a stream for a request on a route, as its next epoch.
func (st *State) Start(now time.Time, r *table.Request, chain model.Route, t Tables, out *msgs.Outbox) {
	if r.Phase == table.Rerouting {
		r.Recoveries++
		st.RecoveredStreams++
		delete(t.Requests.Rerouting, r.ID)
		chain = withCacheImports(chain, r, t)
		out.Notify(msgs.Notice{Kind: msgs.StreamMoved, Request: r.ID, Detail: fmt.Sprintf("epoch %d from token %d", r.Epoch+1, r.Next)})
	}
	r.Phase = table.Running
	r.Epoch++
	r.Route, r.Trail = chain, model.TrailOf(chain)
	r.LastObservedAt, r.LastActivityAt, r.OpenedFrom = time.Time{}, now, r.Next
	r.Gap = 0
	r.LimitDemandCounted = false
	t.Servers.Limits.Take(now, chain.Hops[0].Server)
	t.Servers.Reserve(r, chain)
	t.Servers.RecordTransfer(now, r, chain)
	out.Opens = append(out.Opens, msgs.Open{Request: r.ID, Epoch: r.Epoch, Route: chain, From: r.Next, Priority: r.Priority, Expected: r.Expected.Tokens, Held: r.Held})
}

// withCacheImports returns the route with ImportFrom set for each stage that moved to another
// server, if the stage's previous server holds the same layers and has not failed.
func withCacheImports(chain model.Route, r *table.Request, t Tables) model.Route {
	hops := append([]model.Hop(nil), chain.Hops...)
	for i := range hops {
		for _, old := range r.PreviousRoute.Hops {
			if old.Span != hops[i].Span || old.Server == hops[i].Server || slices.Contains(r.Failed, old.Server) {
				continue
			}
			if s := t.Servers.Get(old.Server); s != nil && s.Listed {
				hops[i].ImportFrom = old.Address
			}
		}
	}
	return model.Route{Hops: hops}
}
