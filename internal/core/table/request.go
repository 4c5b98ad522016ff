package table

import (
	"fmt"
	"iter"
	"maps"
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/length"
	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/ranks"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

//go:generate enumer -type=Phase -transform=snake -output=phase_enumer.go

// Phase is the state of a request's processing.
type Phase uint8

const (
	// Queued requests wait for their first route.
	Queued Phase = iota
	// Running requests have an open stream.
	Running
	// Rerouting requests have lost their stream and wait for another route.
	Rerouting
)

// Request is one model request in progress.
type Request struct {
	msgs.Arrival
	Phase Phase
	// Epoch is the number of the newest route; 0 before the first.
	Epoch model.Epoch
	// Route is empty unless Phase is Running.
	Route model.Route
	// Trail is the digest of Route that its tokens carry.
	Trail uint64
	// Next is the position of the next token to accept: the caller was sent
	// all positions below it. It never goes down.
	Next int
	// Recoveries counts the routes after the first that were needed because of a failure.
	Recoveries int
	// FirstServers lists the first servers of the streams that may have run.
	FirstServers []model.ServerID
	// Failed lists the servers that failed during this request.
	Failed []model.ServerID
	// StalledOn is the server that the running stream waits for. The stream stays open until
	// another route is found. Empty unless the request is in Requests.Stalled.
	StalledOn model.ServerID
	// StalledUntil is the time at which StalledOn is no longer trusted, and the first engine is
	// asked again.
	StalledUntil time.Time
	// PreviousRoute is the previous route, whose servers may still hold the request's cache;
	// empty on the first route.
	PreviousRoute model.Route
	// Verdict covers the streams that have ended; see FailureVerdict for the open one.
	Verdict verdt.Verdict
	// Switched is set while this daemon, and not an engine, ended the last stream that sent output:
	// from a move to another route on until the new stream sends output or is ended after it may
	// have run.
	Switched bool
	// RerouteUntil is the time at which a request without a route fails.
	RerouteUntil time.Time
	// BudgetUntil is the time until which a request without a route that has sent output waits
	// for room in the retry budget.
	BudgetUntil time.Time
	// LastObservedAt is the time of the last token at which the route's speed was observed; zero
	// before the first.
	LastObservedAt time.Time
	// LastActivityAt is the time at which the newest stream was opened or last sent a token.
	LastActivityAt time.Time
	// Reserved is the number of cache tokens reserved for the request on each server
	// of Route.
	Reserved int
	// Expected is the estimate of the answer's length; zero if the service's answers are not
	// estimated. Held is then the number of cache tokens that the request is expected to hold, and
	// HeldUntil the position at which it has to be corrected.
	Expected  length.Estimate
	Held      int
	HeldUntil int
	// Gap is the smoothed time between two tokens of the newest stream; 0 before the
	// second token.
	Gap time.Duration
	// OpenedFrom is the position from which the newest stream was opened.
	OpenedFrom int
	// TryAt is the time of the next attempt to find a route. The attempt is made earlier
	// if the version of the server table no longer is TriedVersion.
	TryAt        time.Time
	TriedVersion uint64
	// HoldUntil is the time at which a request that waits for lost servers to be replaced
	// fails. It is not after Deadline.
	HoldUntil time.Time
	// QueueUntil is the time at which a request that is still queued fails, since its
	// first token would be late. It is not after Deadline.
	QueueUntil time.Time
	// HeardAt is when the caller was last sent a token, or when the request arrived.
	HeardAt time.Time
	// OutputEpoch is the newest epoch that sent a token, and OutputSince the time of its first.
	OutputEpoch model.Epoch
	OutputSince time.Time
	// Crashes counts the engines that ended when they began the request's answer.
	Crashes int
	// LimitDemandCounted is set once the request was counted in the demand for servers with limits,
	// while it waits for a route.
	LimitDemandCounted bool
	// Place is the request's place among those that need room.
	ranks.Place
	// Priority and MaxRecoveries are the team's policy as of the request's arrival. Priority is Order if
	// the model's requests have ranks.
	Priority      int
	MaxRecoveries int
}

// FailureVerdict returns the verdict with which the request would have to fail now.
func (r *Request) FailureVerdict() verdt.Verdict {
	if r.Phase == Running {
		return r.Verdict.Merge(verdt.MayHaveRun)
	}
	return r.Verdict
}

// Avoids reports whether the request must not be sent to a server again because the server
// failed it or keeps it waiting.
func (r *Request) Avoids(id model.ServerID) bool {
	return slices.Contains(r.Failed, id) || r.StalledOn == id
}

// Tokens returns the number of tokens that the request's cache is expected to hold. Without an
// estimate, that is after a typical answer, or after the tokens sent so far if they are more.
func (r *Request) Tokens(typicalAnswer int) int {
	if r.Held > 0 {
		return r.Held
	}
	answer := typicalAnswer
	if r.MaxTokens > 0 {
		answer = min(answer, r.MaxTokens)
	}
	return r.PromptTokens + max(answer, r.Next)
}

// TransferTokens returns the number of tokens that the request is expected to send between its engines;
// without an estimate, it is the given number.
func (r *Request) TransferTokens(typical int) int {
	if r.Held > 0 {
		return r.PromptTokens + r.Expected.Tokens
	}
	return typical
}

// deadline is an entry of the deadline heap. It may be outdated; see Requests.Due.
type deadline struct {
	at time.Time
	id model.RequestID
}

// Requests is the table of requests in progress.
type Requests struct {
	rows      map[model.RequestID]*Request
	deadlines *Heap[deadline]
	// Rerouting holds the requests in the phase Rerouting.
	Rerouting map[model.RequestID]struct{}
	// Stalled holds the running requests whose stream waits for a stalled server.
	Stalled map[model.RequestID]struct{}
	// Displaced holds the running requests that are to leave a server which stops or replaces its
	// layers. Their stream stays open until another route is found.
	Displaced map[model.RequestID]struct{}
}

// NewRequests returns an empty table.
func NewRequests() *Requests {
	return &Requests{
		rows:      map[model.RequestID]*Request{},
		deadlines: NewHeap(func(a, b deadline) bool { return a.at.Before(b.at) }),
		Rerouting: map[model.RequestID]struct{}{},
		Stalled:   map[model.RequestID]struct{}{},
		Displaced: map[model.RequestID]struct{}{},
	}
}

// Get returns a row, or nil if there is none.
func (t *Requests) Get(id model.RequestID) *Request { return t.rows[id] }

// All returns the rows in no particular order.
func (t *Requests) All() iter.Seq[*Request] { return maps.Values(t.rows) }

// Len returns the number of rows.
func (t *Requests) Len() int { return len(t.rows) }

// Add adds a new row.
func (t *Requests) Add(r *Request) {
	t.rows[r.ID] = r
	t.deadlines.Push(deadline{at: r.QueueUntil, id: r.ID})
}

// Remove removes a row.
func (t *Requests) Remove(id model.RequestID) {
	delete(t.rows, id)
	delete(t.Rerouting, id)
	delete(t.Stalled, id)
	delete(t.Displaced, id)
}

// SetStalled records the server that a request's running stream waits for; empty if it waits
// for none.
func (t *Requests) SetStalled(r *Request, on model.ServerID) {
	r.StalledOn = on
	if on == "" {
		delete(t.Stalled, r.ID)
		return
	}
	t.Stalled[r.ID] = struct{}{}
}

// Due returns a request that has reached its deadline or, if it is still queued, its
// QueueUntil, or nil. It removes the entries of requests that have ended.
func (t *Requests) Due(now time.Time) *Request {
	for t.deadlines.Len() > 0 {
		d := t.deadlines.Min()
		r := t.rows[d.id]
		if r != nil && d.at.After(now) {
			return nil
		}
		t.deadlines.Pop()
		if r == nil {
			continue
		}
		if r.Phase != Queued && r.Deadline.After(now) {
			t.deadlines.Push(deadline{at: r.Deadline, id: r.ID})
			continue
		}
		return r
	}
	return nil
}

// Postpone must be called after a queued request's QueueUntil was set to a later time.
func (t *Requests) Postpone(r *Request) { t.deadlines.Push(deadline{at: r.QueueUntil, id: r.ID}) }

// NextDeadline returns the earliest time at which a request may be due, or zero if there
// is none.
func (t *Requests) NextDeadline() time.Time {
	if t.deadlines.Len() == 0 {
		return time.Time{}
	}
	return t.deadlines.Min().at
}

// Check returns an error for the first invariant violation found.
func (t *Requests) Check() error {
	for id, r := range t.rows {
		_, rerouting := t.Rerouting[id]
		if rerouting != (r.Phase == Rerouting) {
			return fmt.Errorf("request %d is %s, but its presence in the rerouting set is %t", id, r.Phase, rerouting)
		}
		if _, stalled := t.Stalled[id]; stalled != (r.StalledOn != "") || stalled && r.Phase != Running {
			return fmt.Errorf("request %d is %s and waits for server %q, but its presence in the stalled set is %t", id, r.Phase, r.StalledOn, stalled)
		}
		if _, displaced := t.Displaced[id]; displaced && r.Phase != Running {
			return fmt.Errorf("request %d is %s, but in the displaced set", id, r.Phase)
		}
		if (r.Phase == Running) != (len(r.Route.Hops) > 0) {
			return fmt.Errorf("request %d is %s, but its route has %d hops", id, r.Phase, len(r.Route.Hops))
		}
		if r.Phase == Queued && (r.Epoch != 0 || r.Verdict != verdt.NotRun) {
			return fmt.Errorf("request %d is queued, but has epoch %d or a verdict other than not_run", id, r.Epoch)
		}
		if r.QueueUntil.After(r.Deadline) {
			return fmt.Errorf("request %d may be queued beyond its deadline", id)
		}
		if r.Next > r.From && r.Verdict != verdt.Ran {
			return fmt.Errorf("request %d has sent tokens up to position %d, but has verdict %s", id, r.Next, r.Verdict)
		}
	}
	return nil
}
