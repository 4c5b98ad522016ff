package table

import (
	"fmt"
	"iter"
	"maps"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

//go:generate enumer -type=Phase -transform=snake -output=phase_enumer.go

// Phase is where a request stands.
type Phase uint8

const (
	// Queued requests wait for their first route.
	Queued Phase = iota
	// Running requests have a stream open.
	Running
	// Rerouting requests have lost their stream and wait for another route.
	Rerouting
)

// Request is one model request in progress.
type Request struct {
	msgs.Arrival
	Phase Phase
	// Epoch is that of the newest route; 0 before the first.
	Epoch model.Epoch
	// Route is empty unless Phase is Running.
	Route model.Route
	// Trail is the digest that the tokens of Route carry.
	Trail uint64
	// Next is the position of the next token to accept: the caller was sent
	// all positions below it. It never goes down.
	Next int
	// Recoveries counts the routes after the first.
	Recoveries int
	// Heads are the first servers of the streams that may have run.
	Heads []model.ServerID
	// Failed are the servers that failed during this request.
	Failed []model.ServerID
	// Moved is the route that the request was moved off, whose servers still
	// hold its cache; empty after a failure without such a server.
	Moved model.Route
	// Verdict is what is known of the streams that have ended; see Claim.
	Verdict verdt.Verdict
	// RerouteUntil is when a request without a route is given up.
	RerouteUntil time.Time
	// LastToken is when the last token was accepted.
	LastToken time.Time
	// HeardAt is when the newest stream was opened or last gave a token.
	HeardAt time.Time
	// Reserved is how many tokens the servers of Route count for the request.
	Reserved int
	// Gap is the smoothed time between two tokens of the newest stream; 0 before the
	// second one.
	Gap time.Duration
	// OpenedAt is the position from which the newest stream was opened.
	OpenedAt int
	// TryAt is when a request without a route looks for one again, unless the table
	// of servers has another version than TriedVersion by then.
	TryAt        time.Time
	TriedVersion uint64
	// HoldUntil is when a request is given up that waits because servers are lost. It
	// is not after Deadline.
	HoldUntil time.Time
	// QueueUntil is when a request that still waits is given up, because its
	// first token would come too late. It is not after Deadline.
	QueueUntil time.Time
	// Priority and MaxRecoveries are the team's policy when the request arrived.
	Priority      int
	MaxRecoveries int
}

// Claim is what a failure now would have to say.
func (r *Request) Claim() verdt.Verdict {
	if r.Phase == Running {
		return r.Verdict.Worse(verdt.MayHaveRun)
	}
	return r.Verdict
}

// Tokens is the request's size at the end of a usual answer, or so far.
func (r *Request) Tokens(usualAnswer int) int {
	answer := usualAnswer
	if r.MaxTokens > 0 {
		answer = min(answer, r.MaxTokens)
	}
	return r.PromptTokens + max(answer, r.Next)
}

type deadline struct {
	at time.Time
	id model.RequestID
}

// Requests is the table of requests in progress.
type Requests struct {
	rows      map[model.RequestID]*Request
	deadlines *Heap[deadline]
	// Rerouting are the requests that wait for another route.
	Rerouting map[model.RequestID]struct{}
}

// NewRequests returns an empty table.
func NewRequests() *Requests {
	return &Requests{
		rows:      map[model.RequestID]*Request{},
		deadlines: NewHeap(func(a, b deadline) bool { return a.at.Before(b.at) }),
		Rerouting: map[model.RequestID]struct{}{},
	}
}

// Get returns a row, or nil.
func (t *Requests) Get(id model.RequestID) *Request { return t.rows[id] }

// All returns the rows in no order.
func (t *Requests) All() iter.Seq[*Request] { return maps.Values(t.rows) }

// Len returns the number of rows.
func (t *Requests) Len() int { return len(t.rows) }

// Add puts a new row in the table.
func (t *Requests) Add(r *Request) {
	t.rows[r.ID] = r
	t.deadlines.Push(deadline{at: r.QueueUntil, id: r.ID})
}

// Remove drops a row.
func (t *Requests) Remove(id model.RequestID) {
	delete(t.rows, id)
	delete(t.Rerouting, id)
}

// Due returns a request whose time is over, or nil: its deadline, or its time in
// the queue. Entries of requests that ended earlier are dropped on the way.
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

// Postpone notes that a waiting request has a later QueueUntil.
func (t *Requests) Postpone(r *Request) { t.deadlines.Push(deadline{at: r.QueueUntil, id: r.ID}) }

// NextDeadline returns the earliest deadline known, or zero.
func (t *Requests) NextDeadline() time.Time {
	if t.deadlines.Len() == 0 {
		return time.Time{}
	}
	return t.deadlines.Min().at
}

// Check returns the first broken invariant.
func (t *Requests) Check() error {
	for id, r := range t.rows {
		_, rerouting := t.Rerouting[id]
		if rerouting != (r.Phase == Rerouting) {
			return fmt.Errorf("request %d is %s, but its rerouting mark is %t", id, r.Phase, rerouting)
		}
		if (r.Phase == Running) != (len(r.Route.Hops) > 0) {
			return fmt.Errorf("request %d is %s with a route of %d hops", id, r.Phase, len(r.Route.Hops))
		}
		if r.Phase == Queued && (r.Epoch != 0 || r.Verdict != verdt.NotRun) {
			return fmt.Errorf("request %d is queued after epoch %d", id, r.Epoch)
		}
		if r.QueueUntil.After(r.Deadline) {
			return fmt.Errorf("request %d may wait beyond its deadline", id)
		}
		if r.Next > r.From && r.Verdict != verdt.Ran {
			return fmt.Errorf("request %d has %d tokens but verdict %s", id, r.Next, r.Verdict)
		}
	}
	return nil
}
