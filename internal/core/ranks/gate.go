package ranks

import (
	"math"
	"time"
)

const (
	// gateInterval is the time between two adjustments of the gates. News of the other daemons come as often.
	gateInterval = 250 * time.Millisecond
	// gateHold is how long more important requests must not have been short of room until a gate opens completely.
	gateHold = time.Second
	// gateGrowth is by how much a gate opens in each interval until then, as a share of all requests.
	gateGrowth = 0.05
	// gateMargin is the share of all requests for which room stays free while more important ones are short of it.
	gateMargin = 0.05
	// shortShare is the share of the more important requests that may be short of room without an effect on the
	// gates: now and then one waits for a moment because its daemon's news are old.
	shortShare = 0.02
)

// gate admits the part of a rank's requests for which more important ones leave room.
type gate struct {
	// budget is how many requests of the rank and those behind it all daemons admit within windowSize;
	// infinite while the gate is open.
	budget float64
	// shortAt is when more important requests were last short of room, and closedAt when the gate was last open.
	shortAt, closedAt time.Time
	// heldAt is when the gate was last closed; zero if it never was.
	heldAt time.Time
	// credit grows by the share of requests that are admitted, and falls by one with each of them.
	credit float64
}

// pass counts a request and reports whether the gate admits it.
func (g *gate) pass(share float64) bool {
	if share >= 1 {
		return true
	}
	g.credit = min(maxFloorCredit, g.credit+share)
	if g.credit < 1 {
		return false
	}
	g.credit--
	return true
}

// adjust sets the budget from the loads of the more important ranks, and of those that share the gate's budget. gated
// is how many of the more important requests may have been refused by their own gates. These do not keep this gate closed: else
// each rank would be held back for a while longer than the one above, though nobody lacks room any more.
func (g *gate) adjust(now time.Time, higher, behind sums, gated int) {
	defer func() {
		if !math.IsInf(g.budget, 1) {
			g.heldAt = now
		}
	}()
	if math.IsInf(g.budget, 1) {
		g.closedAt = now
	}
	short, allowed := float64(higher.waiting+higher.refused), shortShare*float64(higher.offered())
	if short-float64(gated) > allowed {
		g.shortAt = now
	}
	switch {
	case now.Sub(g.shortAt) >= gateHold:
		g.budget = math.Inf(1)
	case short > allowed:
		// What those behind got, without what the more important ones lacked and a margin for these to find room at once.
		g.budget = max(0, float64(behind.started)-short-gateMargin*float64(higher.started+behind.started))
	default:
		g.budget += 1 + gateGrowth*float64(higher.started+behind.started)
	}
}

// closedFor returns for how long the gate has held requests back; 0 while it is open.
func (g *gate) closedFor(now time.Time) time.Duration {
	if math.IsInf(g.budget, 1) {
		return 0
	}
	return now.Sub(g.closedAt)
}

// adjustGates adjusts the gates of a service once in each gateInterval. The gates open once the news that they follow
// have expired, since nobody may be short of room any more.
func (st *State) adjustGates(now time.Time, s *service) {
	if now.Sub(s.gatesAt) < gateInterval && (!s.gatesFromOthers || now.Before(st.othersUntil)) {
		return
	}
	known := now.Before(st.othersUntil)
	expired := s.gatesFromOthers && !known
	s.gatesAt, s.gatesFromOthers = now, known
	gated := 0
	for _, r := range s.own {
		if expired {
			r.gate.budget = math.Inf(1)
		}
		higher, same, lower := st.sums(now, s, r.rank)
		r.gate.adjust(now, higher, same.plus(lower), gated)
		if !r.gate.heldAt.IsZero() && now.Sub(r.gate.heldAt) < windowSize+2*gateInterval {
			gated += same.refused
		}
	}
}

// openShare returns the share of a rank's requests that the gates of the rank and of more important ones admit.
func (st *State) openShare(now time.Time, s *service, number int) float64 {
	share := 1.0
	upTo, same, _ := st.sums(now, s, number)
	for _, r := range s.own {
		if r.rank > number || math.IsInf(r.gate.budget, 1) {
			continue
		}
		before, _, _ := st.sums(now, s, r.rank)
		between := upTo.offered() - before.offered()
		share = min(share, (r.gate.budget-float64(between))/float64(max(1, same.offered())))
	}
	return max(0, share)
}
