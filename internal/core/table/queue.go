package table

import (
	"fmt"
	"slices"

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

// fairQueue holds the requests of one rank that wait for one model, and shares the model's capacity
// between teams by start-time fair queueing (SFQ).
type fairQueue struct {
	teams map[model.Team]*TeamQueue
	heap  *Heap[*TeamQueue]
	// sweepAt is the number of teams at which idle ones are removed.
	sweepAt int
	// virtualTime is the Start of the request dispatched last. It never decreases.
	virtualTime float64
	// weightSum is the sum of the weights of the teams that have requests waiting.
	weightSum float64
	// length is the number of waiting requests.
	length int
}

func newFairQueue() *fairQueue {
	return &fairQueue{
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

// push adds a request to its team's queue. The weight takes effect only if the team has no
// other requests waiting.
func (q *fairQueue) push(team model.Team, weight float64, id model.RequestID) {
	tq := q.teams[team]
	if tq == nil {
		tq = &TeamQueue{Team: team}
		q.teams[team] = tq
	}
	tq.Waiting = append(tq.Waiting, id)
	q.length++
	if len(tq.Waiting) > 1 {
		return
	}
	tq.Weight = weight
	tq.Start = max(q.virtualTime, tq.Finish)
	q.weightSum += weight
	q.heap.Push(tq)
}

// head returns the next request to dispatch; the queue must not be empty.
func (q *fairQueue) head() model.RequestID { return q.heap.Min().Waiting[0] }

// pop removes the next request and charges cost to its team; the queue must not be empty.
func (q *fairQueue) pop(cost float64) {
	tq := q.heap.Min()
	q.length--
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

// drop removes a waiting request without charging its team.
func (q *fairQueue) drop(team model.Team, id model.RequestID) {
	tq := q.teams[team]
	if tq == nil {
		return
	}
	i := slices.Index(tq.Waiting, id)
	if i < 0 {
		return
	}
	tq.Waiting = slices.Delete(tq.Waiting, i, i+1)
	q.length--
	if len(tq.Waiting) == 0 {
		q.heap.Remove(func(other *TeamQueue) bool { return other == tq })
		q.removeWeight(tq)
	}
}

// removeWeight subtracts the weight of an emptied team queue from weightSum.
func (q *fairQueue) removeWeight(tq *TeamQueue) {
	q.weightSum -= tq.Weight
	if q.heap.Len() == 0 {
		q.weightSum = 0
	}
}

// minSweepTeams is the number of teams below which no sweep takes place.
const minSweepTeams = 64

// sweep removes idle teams whose Finish has passed, so that their history no longer affects
// scheduling. The next sweep takes place when the number of teams has doubled, which
// amortizes its cost over as many requests.
func (q *fairQueue) sweep() {
	defer func() { q.sweepAt = max(minSweepTeams, 2*len(q.teams)) }()
	for team, tq := range q.teams {
		if len(tq.Waiting) == 0 && tq.Finish <= q.virtualTime {
			delete(q.teams, team)
		}
	}
}

// teamBacklog returns the number of a team's waiting requests, and the share of the model's
// capacity, in 0..1, that the team would have with one more.
func (q *fairQueue) teamBacklog(team model.Team, weight float64) (waiting int, share float64) {
	tq := q.teams[team]
	if tq != nil && len(tq.Waiting) > 0 {
		return len(tq.Waiting), tq.Weight / q.weightSum
	}
	return 0, weight / (q.weightSum + weight)
}

// check returns an error for the first invariant violation found.
func (q *fairQueue) check(rank int, requests *Requests) error {
	waiting := 0
	for team, tq := range q.teams {
		waiting += len(tq.Waiting)
		for _, id := range tq.Waiting {
			r := requests.Get(id)
			if r == nil || r.Phase != Queued || r.Team != team || r.Order != rank {
				return fmt.Errorf("request %d is in the queue of team %s and rank %d, but is not queued there", id, team, rank)
			}
		}
	}
	if waiting != q.length {
		return fmt.Errorf("%d requests are waiting, but the queue's length is %d", waiting, q.length)
	}
	return nil
}
