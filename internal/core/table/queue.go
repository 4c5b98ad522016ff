package table

import (
	"fmt"
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/pkg/model"
)

// TeamQueue is the queue of one team for one model.
type TeamQueue struct {
	Team model.Team
	// Weight is the team's latest share, above 0.
	Weight float64
	// Waiting are requests in the order of their arrival.
	Waiting []model.RequestID
	// Start is the virtual time at which the first waiting request starts.
	Start float64
	// Finish is the virtual time at which the last dispatched one finished.
	Finish float64
}

// Queue holds the requests that wait for one model, and shares its capacity
// between teams by start-time fair queueing.
type Queue struct {
	teams map[model.Team]*TeamQueue
	heap  *Heap[*TeamQueue]
	// sweepAt is the number of teams at which idle ones are forgotten.
	sweepAt int
	// virtual is the start of the request dispatched last. It never goes down.
	virtual float64
	// Weights is the sum over the teams that have requests waiting.
	Weights float64
	// Length is the number of waiting requests.
	Length int
	// Interval is the smoothed time between two dispatches while requests
	// wait; 0 before the first.
	Interval time.Duration
	// Outage is set while no chain of live servers covers the model, so that requests
	// wait for servers to return and not for room.
	Outage bool
	// Dispatched is when the last dispatch with a backlog took place.
	Dispatched time.Time
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{
		sweepAt: leastSweep,
		teams:   map[model.Team]*TeamQueue{},
		heap: NewHeap(func(a, b *TeamQueue) bool {
			if a.Start != b.Start {
				return a.Start < b.Start
			}
			return a.Team < b.Team
		}),
	}
}

// Push adds a request to its team's team queue.
func (q *Queue) Push(team model.Team, weight float64, id model.RequestID) {
	l := q.teams[team]
	if l == nil {
		l = &TeamQueue{Team: team}
		q.teams[team] = l
	}
	l.Waiting = append(l.Waiting, id)
	q.Length++
	if len(l.Waiting) > 1 {
		return
	}
	l.Weight = weight
	l.Start = max(q.virtual, l.Finish)
	q.Weights += weight
	q.heap.Push(l)
}

// Head returns the request whose turn it is; the queue must not be empty.
func (q *Queue) Head() model.RequestID { return q.heap.Min().Waiting[0] }

// Pop removes the request whose turn it is and charges its team with cost.
func (q *Queue) Pop(cost float64) {
	l := q.heap.Min()
	q.Length--
	q.virtual = max(q.virtual, l.Start)
	l.Finish = l.Start + cost/l.Weight
	l.Waiting = l.Waiting[1:]
	if len(l.Waiting) > 0 {
		l.Start = l.Finish
		q.heap.Fix()
		return
	}
	q.heap.Pop()
	q.forgetWeight(l)
	if len(q.teams) >= q.sweepAt {
		q.sweep()
	}
}

// Drop removes a waiting request that is no longer wanted.
func (q *Queue) Drop(team model.Team, id model.RequestID) {
	l := q.teams[team]
	if l == nil {
		return
	}
	i := slices.Index(l.Waiting, id)
	if i < 0 {
		return
	}
	l.Waiting = slices.Delete(l.Waiting, i, i+1)
	q.Length--
	if len(l.Waiting) == 0 {
		q.heap.Remove(func(other *TeamQueue) bool { return other == l })
		q.forgetWeight(l)
	}
}

// forgetWeight takes a team queue without waiting requests out of the sum.
func (q *Queue) forgetWeight(l *TeamQueue) {
	q.Weights -= l.Weight
	if q.heap.Len() == 0 {
		q.Weights = 0
	}
}

// leastSweep is the number of teams below which none is forgotten.
const leastSweep = 64

// sweep forgets idle teams that owe nothing. The next sweep waits until the
// teams have doubled, so that its cost is spread over as many requests.
func (q *Queue) sweep() {
	defer func() { q.sweepAt = max(leastSweep, 2*len(q.teams)) }()
	for team, l := range q.teams {
		if len(l.Waiting) == 0 && l.Finish <= q.virtual {
			delete(q.teams, team)
		}
	}
}

// Behind returns how many requests of a team wait, and the share of the
// capacity that the team would have with one more.
func (q *Queue) Behind(team model.Team, weight float64) (waiting int, share float64) {
	l := q.teams[team]
	if l != nil && len(l.Waiting) > 0 {
		return len(l.Waiting), l.Weight / q.Weights
	}
	return 0, weight / (q.Weights + weight)
}

// Observe takes in that a waiting request was dispatched.
func (q *Queue) Observe(now time.Time) {
	const smoothing = 8
	if !q.Dispatched.IsZero() {
		q.Interval += (now.Sub(q.Dispatched) - q.Interval) / smoothing
	}
	q.Dispatched = now
}

// Idle takes in that no request waits, so that the time until the next backlog
// does not count as time between dispatches.
func (q *Queue) Idle() { q.Dispatched = time.Time{} }

// Check returns the first broken invariant.
func (q *Queue) Check(requests *Requests) error {
	waiting := 0
	for team, l := range q.teams {
		waiting += len(l.Waiting)
		for _, id := range l.Waiting {
			r := requests.Get(id)
			if r == nil || r.Phase != Queued || r.Team != team {
				return fmt.Errorf("request %d waits in the team queue of %s but is not queued there", id, team)
			}
		}
	}
	if waiting != q.Length {
		return fmt.Errorf("%d requests wait, but %d are counted", waiting, q.Length)
	}
	return nil
}
