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
	// Weight is the team's weight as of the first request of the current backlog, above 0.
	Weight float64
	// Waiting holds the requests in the order of their arrival.
	Waiting []model.RequestID
	// Start is the virtual start time of the first waiting request.
	Start float64
	// Finish is the virtual finish time of the last dispatched request.
	Finish float64
}

// Queue holds the requests that wait for one model, and shares the model's capacity
// between teams by start-time fair queueing (SFQ).
type Queue struct {
	// Limited is set if the first request waits for a server whose limit allows no more requests now.
	Limited bool
	teams   map[model.Team]*TeamQueue
	heap    *Heap[*TeamQueue]
	// sweepAt is the number of teams at which idle ones are removed.
	sweepAt int
	// virtualTime is the Start of the request dispatched last. It never decreases.
	virtualTime float64
	// WeightSum is the sum of the weights of the teams that have requests waiting.
	WeightSum float64
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
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{
		sweepAt: minSweepTeams,
		teams:   map[model.Team]*TeamQueue{},
		heap: NewHeap(func(a, b *TeamQueue) bool {
			if a.Start != b.Start {
				return a.Start < b.Start
			}
			return a.Team < b.Team
		}),
	}
}

// Push adds a request to its team's queue. The weight takes effect only if the team has no
// other requests waiting.
func (q *Queue) Push(team model.Team, weight float64, id model.RequestID) {
	tq := q.teams[team]
	if tq == nil {
		tq = &TeamQueue{Team: team}
		q.teams[team] = tq
	}
	tq.Waiting = append(tq.Waiting, id)
	q.Length++
	if len(tq.Waiting) > 1 {
		return
	}
	tq.Weight = weight
	tq.Start = max(q.virtualTime, tq.Finish)
	q.WeightSum += weight
	q.heap.Push(tq)
}

// Head returns the next request to dispatch; the queue must not be empty.
func (q *Queue) Head() model.RequestID { return q.heap.Min().Waiting[0] }

// Pop removes the next request and charges cost to its team; the queue must not be empty.
func (q *Queue) Pop(cost float64) {
	tq := q.heap.Min()
	q.Length--
	q.virtualTime = max(q.virtualTime, tq.Start)
	tq.Finish = tq.Start + cost/tq.Weight
	tq.Waiting = tq.Waiting[1:]
	if len(tq.Waiting) > 0 {
		tq.Start = tq.Finish
		q.heap.Fix()
		return
	}
	q.heap.Pop()
	q.removeWeight(tq)
	if len(q.teams) >= q.sweepAt {
		q.sweep()
	}
}

// Drop removes a waiting request without charging its team.
func (q *Queue) Drop(team model.Team, id model.RequestID) {
	tq := q.teams[team]
	if tq == nil {
		return
	}
	i := slices.Index(tq.Waiting, id)
	if i < 0 {
		return
	}
	tq.Waiting = slices.Delete(tq.Waiting, i, i+1)
	q.Length--
	if len(tq.Waiting) == 0 {
		q.heap.Remove(func(other *TeamQueue) bool { return other == tq })
		q.removeWeight(tq)
	}
}

// removeWeight subtracts the weight of an emptied team queue from WeightSum.
func (q *Queue) removeWeight(tq *TeamQueue) {
	q.WeightSum -= tq.Weight
	if q.heap.Len() == 0 {
		q.WeightSum = 0
	}
}

// minSweepTeams is the number of teams below which no sweep takes place.
const minSweepTeams = 64

// sweep removes idle teams whose Finish has passed, so that their history no longer affects
// scheduling. The next sweep takes place when the number of teams has doubled, which
// amortizes its cost over as many requests.
func (q *Queue) sweep() {
	defer func() { q.sweepAt = max(minSweepTeams, 2*len(q.teams)) }()
	for team, tq := range q.teams {
		if len(tq.Waiting) == 0 && tq.Finish <= q.virtualTime {
			delete(q.teams, team)
		}
	}
}

// TeamBacklog returns the number of a team's waiting requests, and the share of the model's
// capacity, in 0..1, that the team would have with one more.
func (q *Queue) TeamBacklog(team model.Team, weight float64) (waiting int, share float64) {
	tq := q.teams[team]
	if tq != nil && len(tq.Waiting) > 0 {
		return len(tq.Waiting), tq.Weight / q.WeightSum
	}
	return 0, weight / (q.WeightSum + weight)
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
	waiting := 0
	for team, tq := range q.teams {
		waiting += len(tq.Waiting)
		for _, id := range tq.Waiting {
			r := requests.Get(id)
			if r == nil || r.Phase != Queued || r.Team != team {
				return fmt.Errorf("request %d is in the queue of team %s, but is not queued for that team", id, team)
			}
		}
	}
	if waiting != q.Length {
		return fmt.Errorf("%d requests are waiting, but the queue's length is %d", waiting, q.Length)
	}
	return nil
}
