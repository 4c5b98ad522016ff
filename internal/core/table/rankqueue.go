package table

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/pkg/model"
)

// Queue holds the requests that wait for one model, the more important ranks first.
type Queue struct {
	// Limited is set if the first request waits for a server whose limit allows no more requests now.
	Limited bool
	// Length is the number of waiting requests.
	Length int
	// Interval is the smoothed time between two dispatches while requests
	// wait; 0 before the first.
	Interval time.Duration
	// Outage is true while no chain of live servers covers the model: requests wait for
	// servers to return and not for free capacity.
	Outage bool
	// LastDispatch is the time of the last dispatch during the current backlog; zero if
	// there is none.
	LastDispatch time.Time
	// ranks is sorted by rank.
	ranks []rankQueue
}

// rankQueue is the queue of one rank, 0 for the most important requests.
type rankQueue struct {
	rank int
	*fairQueue
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{} }

// of returns the queue of a rank, or nil if it never had a request.
func (q *Queue) of(rank int) *fairQueue {
	if i, found := q.find(rank); found {
		return q.ranks[i].fairQueue
	}
	return nil
}

func (q *Queue) find(rank int) (int, bool) {
	return slices.BinarySearchFunc(q.ranks, rank, func(r rankQueue, rank int) int { return cmp.Compare(r.rank, rank) })
}

// first returns the queue of the most important rank that has requests waiting, or nil.
func (q *Queue) first() *fairQueue {
	for _, r := range q.ranks {
		if r.length > 0 {
			return r.fairQueue
		}
	}
	return nil
}

// Push adds a request to its team's queue. The weight takes effect only if the team has no
// other requests of the rank waiting.
func (q *Queue) Push(rank int, team model.Team, weight float64, id model.RequestID) {
	i, found := q.find(rank)
	if !found {
		q.ranks = slices.Insert(q.ranks, i, rankQueue{rank: rank, fairQueue: newFairQueue()})
	}
	q.ranks[i].push(team, weight, id)
	q.Length++
}

// Head returns the next request to dispatch; the queue must not be empty.
func (q *Queue) Head() model.RequestID { return q.first().head() }

// Pop removes the next request and charges cost to its team; the queue must not be empty.
func (q *Queue) Pop(cost float64) {
	q.first().pop(cost)
	q.Length--
}

// Drop removes a waiting request without charging its team.
func (q *Queue) Drop(rank int, team model.Team, id model.RequestID) {
	if f := q.of(rank); f != nil {
		before := f.length
		f.drop(team, id)
		q.Length += f.length - before
	}
}

// Ahead returns the number of waiting requests of more important ranks.
func (q *Queue) Ahead(rank int) int {
	ahead := 0
	for _, r := range q.ranks {
		if r.rank < rank {
			ahead += r.length
		}
	}
	return ahead
}

// TeamBacklog returns the number of a team's waiting requests of a rank, and the share of the rank's
// capacity, in 0..1, that the team would have with one more.
func (q *Queue) TeamBacklog(rank int, team model.Team, weight float64) (waiting int, share float64) {
	f := q.of(rank)
	if f == nil {
		return 0, 1
	}
	return f.teamBacklog(team, weight)
}

// RecordDispatch records that a waiting request was dispatched, and updates Interval.
func (q *Queue) RecordDispatch(now time.Time) {
	const smoothing = 8
	if !q.LastDispatch.IsZero() {
		q.Interval += (now.Sub(q.LastDispatch) - q.Interval) / smoothing
	}
	q.LastDispatch = now
}

// Idle records that no request waits, so that the time until the next backlog doesn't
// count as an interval between dispatches.
func (q *Queue) Idle() { q.LastDispatch = time.Time{} }

// Check returns an error for the first invariant violation found.
func (q *Queue) Check(requests *Requests) error {
	length := 0
	for _, r := range q.ranks {
		if err := r.check(r.rank, requests); err != nil {
			return err
		}
		length += r.length
	}
	if length != q.Length {
		return fmt.Errorf("%d requests are waiting, but the queue's length is %d", length, q.Length)
	}
	return nil
}
