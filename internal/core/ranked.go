package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/ranks"
	"bulrushpond.example/bulrushpond/internal/core/table"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// lateMessage is sent to callers whose requests waited too long for room.
const lateMessage = "the first token would come too late"

// maxLate is for how long after its token was due a stream counts as waiting for room. One that is late for longer waits for
// its engine, which holding others back does not help. Gates open within two seconds after the token was due.
const maxLate = 750 * time.Millisecond

// rankLoads returns the loads of the ranks for the exchange with the other daemons. Requests that wait for servers
// to return do not wait for room, and are left out.
func (c *Core) rankLoads(now time.Time) []ranks.ServiceLoads {
	if !c.admit.Ranks.Any() {
		return nil
	}
	streams := map[string]map[int]ranks.Streams{}
	for r := range c.requests.All() {
		if r.Phase != table.Running || !c.admit.Ranks.On(r.Model) {
			continue
		}
		if streams[r.Model] == nil {
			streams[r.Model] = map[int]ranks.Streams{}
		}
		s := streams[r.Model][r.Rank]
		s.Open++
		// A stalled stream waits for its server, not for room.
		due := r.FirstTokenDeadline
		if !hasOutput(r) && r.StalledOn == "" && !due.IsZero() && now.After(due) && now.Before(due.Add(maxLate)) {
			s.Late++
		}
		streams[r.Model][r.Rank] = s
	}
	loads := c.admit.Ranks.Report(now, streams)
	for _, service := range loads {
		if q := c.admit.Queues[service.Service]; q != nil && q.Outage {
			for i := range service.Loads {
				service.Loads[i].Waiting = 0
			}
		}
	}
	return loads
}

// RankLevel returns what holds less important requests to a model back; false if nothing does.
func (c *Core) RankLevel(now time.Time, name string) (ranks.Level, bool) {
	return c.admit.Ranks.Level(now, name)
}

// RankMetrics returns the metrics of the models whose requests have ranks.
func (c *Core) RankMetrics(now time.Time) map[string]ranks.ServiceMetrics {
	return c.admit.Ranks.Metrics(now)
}

// reserve returns for how many requests of more important ranks room has to stay free when a request gets its
// first route. Interrupted streams leave none free: they were accepted.
func (c *Core) reserve(now time.Time, r *table.Request) float64 {
	if r.Phase != table.Queued || r.Floor {
		return 0
	}
	return c.admit.Ranks.Reserve(now, r.Model, r.Order)
}

// reserveForMove is reserve for a request with an open stream. Streams on engines that only wait to replace their
// layers can stay there, so they take no room that more important requests wait for.
func (c *Core) reserveForMove(now time.Time, r *table.Request) float64 {
	mustMove := r.StalledOn != "" || slices.ContainsFunc(r.Route.Hops, func(h model.Hop) bool { return !c.mayServeAgain(h.Server) })
	if mustMove {
		return 0
	}
	return c.admit.Ranks.Reserve(now, r.Model, r.Rank)
}

// lostRequest is a request without a route, with what decides when it gets one.
type lostRequest struct {
	*table.Request
	loss        int
	silentSince time.Time
}

// reroutingByRank returns the requests without a route in the order in which they get one: begun streams first,
// then by rank, then by the pause that their callers have had. Requests without ranks come before these, by ID.
func (c *Core) reroutingByRank() []*table.Request {
	waiting := make([]*table.Request, 0, len(c.requests.Rerouting))
	if !c.admit.Ranks.Any() {
		for _, id := range slices.Sorted(maps.Keys(c.requests.Rerouting)) {
			waiting = append(waiting, c.requests.Get(id))
		}
		return waiting
	}
	lost := make([]lostRequest, 0, len(c.requests.Rerouting))
	for id := range c.requests.Rerouting {
		r := c.requests.Get(id)
		lost = append(lost, lostRequest{Request: r, loss: c.loss(r), silentSince: c.silentSince(r)})
	}
	slices.SortFunc(lost, func(a, b lostRequest) int {
		if a.loss != b.loss {
			return cmp.Compare(a.loss, b.loss)
		}
		if byPause := a.silentSince.Compare(b.silentSince); byPause != 0 {
			return byPause
		}
		return cmp.Compare(a.ID, b.ID)
	})
	for _, l := range lost {
		waiting = append(waiting, l.Request)
	}
	return waiting
}

// notBegun is more than any rank.
const notBegun = 1 << 20

// loss orders interrupted requests: first those without ranks, then begun streams by rank, then the others by rank.
func (c *Core) loss(r *table.Request) int {
	switch {
	case !c.admit.Ranks.On(r.Model):
		return -1
	case hasOutput(r):
		return r.Rank
	default:
		return notBegun + r.Rank
	}
}

// comparePauses orders requests with ranks by when their callers last got something, behind those without ranks.
func (c *Core) comparePauses(a, b *table.Request) int {
	return c.silentSince(a).Compare(c.silentSince(b))
}

func (c *Core) silentSince(r *table.Request) time.Time {
	if !c.admit.Ranks.On(r.Model) {
		return time.Time{}
	}
	return r.HeardAt
}

// notBegunRounds is by how many rounds of searches streams without output come after begun ones.
const notBegunRounds = 10

// searchAt orders the searches for streams that wait for another route. Each rank comes a round of searches after
// the one before, so that the searches which fail do not keep the others from theirs.
func (c *Core) searchAt(r *table.Request) time.Time {
	if !c.admit.Ranks.On(r.Model) {
		return r.TryAt
	}
	rounds := r.Rank
	if !hasOutput(r) {
		rounds += notBegunRounds
	}
	return r.TryAt.Add(time.Duration(rounds) * dispatchRetryInterval)
}

// refuseLate refuses a request that waited too long for room.
func (c *Core) refuseLate(now time.Time, r *table.Request, out *msgs.Outbox) {
	if r.Phase != table.Queued || !c.admit.Ranks.On(r.Model) {
		c.giveUp(now, r, verdt.Overloaded, lateMessage, out)
		return
	}
	if !c.admit.Queues[r.Model].Outage {
		c.admit.Ranks.Refused(now, r.Model, r.Rank)
	}
	c.admit.Withdraw(r)
	c.recov.FailRequestUntil(r, verdt.Overloaded, lateMessage, c.admit.Ranks.RetryAt(now, r.Model, r.Rank, 0), c.tables, out)
}
