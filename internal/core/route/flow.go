package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/table"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// Flow is a picker that balances by weighted least connections: a server's weight is its
// share of the maximum flow through the layer graph. It respects the servers' credits,
// avoids slow links by their price, and prefers routes that have a request's prefix cached.
type Flow struct {
	plans    map[string]*Plan
	links    *Links
	affinity *Affinity
	rng      *rand.Rand
}

// NewFlow returns a picker without plans, link prices or affinity. Each daemon should use
// a different seed, so that daemons don't sample the same stages.
func NewFlow(seed uint64) *Flow {
	return &Flow{plans: map[string]*Plan{}, links: NewLinks(), affinity: NewAffinity(), rng: rand.New(rand.NewPCG(seed, 0))}
}

// Plan returns the plan of a model with a number of layers, and makes a new one if the
// current one is no longer valid.
func (f *Flow) Plan(now time.Time, servers *table.Servers, modelName string, layers int) *Plan {
	p := f.plans[modelName]
	if p == nil || !p.valid(now, servers, layers) {
		p = NewPlan(now, servers, modelName, layers)
		f.plans[modelName] = p
	}
	return p
}

// Pick implements Picker.
func (f *Flow) Pick(now time.Time, servers *table.Servers, q Query) (model.Route, Result) {
	p := f.Plan(now, servers, q.Request.Model, q.Layers)
	if p.MaxFlow <= epsilon {
		return model.Route{}, NoChain
	}
	s := search{flow: f, plan: p, query: q}
	if !s.descend(0, "") {
		return model.Route{}, Busy
	}
	chosen := model.Route{Hops: s.hops}
	if cached, ok := f.affinity.Find(q.Request.Prefix); ok && f.preferCached(now, servers, q, cached, chosen) {
		return cached, Found
	}
	return chosen, Found
}

// Observe implements Picker.
func (f *Flow) Observe(r model.Route, gap time.Duration) { f.links.Observe(r, gap) }

// Learn implements Picker.
func (f *Flow) Learn(prefix uint64, r model.Route) { f.affinity.Learn(prefix, r) }

// search is a depth-first search through the layer graph that tries cheap stages first.
type search struct {
	flow  *Flow
	plan  *Plan
	query Query
	hops  []model.Hop
	// deadEnds are the layers from which no chain with room reaches the last layer.
	// This depends on the layer alone, so no layer is searched twice.
	deadEnds []int
}

// descend extends the chain from a layer to the last one, with backtracking. It reports
// false if no chain with room exists.
func (s *search) descend(layer int, prev model.ServerID) bool {
	if layer == s.plan.layers {
		return true
	}
	for {
		best := s.cheapestStage(layer, prev)
		if best == nil {
			s.deadEnds = append(s.deadEnds, layer)
			return false
		}
		s.hops = append(s.hops, hop(best.server))
		if s.descend(best.nextLayer, best.server.ID) {
			return true
		}
		s.hops = s.hops[:len(s.hops)-1]
	}
}

// sampleSize is the number of stages that cheapestOfSample draws.
const sampleSize = 4

// cheapestOfSample returns the cheapest available one of a few stages that are drawn at
// random with their shares of the flow as weights. It returns nil if none of them is
// available, or if the layer has too few stages for a sample. If all daemons took the
// cheapest of all stages, they would pair the same first stages with the same later ones
// and overload the links between them.
func (s *search) cheapestOfSample(layer int, prev model.ServerID) *stage {
	stages := s.plan.stages[layer]
	if len(stages) <= sampleSize {
		return nil
	}
	total := s.plan.totalRate(layer)
	var best *stage
	lowestCost := 0.0
	for range sampleSize {
		st := s.plan.stageAt(layer, s.flow.rng.Float64()*total)
		if !s.available(st) {
			continue
		}
		cost := s.cost(st, prev)
		if best == nil || cost < lowestCost {
			best, lowestCost = st, cost
		}
	}
	return best
}

// cost rates a stage by this daemon's streams on it, relative to its share of the flow,
// times the price of the link to it.
func (s *search) cost(st *stage, prev model.ServerID) float64 {
	return float64(len(st.server.Users)+1) / st.rate * s.flow.links.Price(prev, st.server.ID)
}

// cheapestStage returns the cheapest available stage that starts at a layer: of a sample
// if one of it is available, else of all stages. It returns nil if none is available.
func (s *search) cheapestStage(layer int, prev model.ServerID) *stage {
	if st := s.cheapestOfSample(layer, prev); st != nil {
		return st
	}
	var best *stage
	lowestCost := 0.0
	stages := s.plan.stages[layer]
	for i := range stages {
		st := &stages[i]
		if !s.available(st) {
			continue
		}
		cost := s.cost(st, prev)
		if best == nil || cost < lowestCost {
			best, lowestCost = st, cost
		}
	}
	return best
}

// available reports whether a stage's server has credit for one more stream and did not
// fail the request, and the stage does not end at a known dead end.
func (s *search) available(st *stage) bool {
	return HasCredit(st.server, s.query.Daemons) && !slices.Contains(s.deadEnds, st.nextLayer) &&
		!s.query.Request.Avoids(st.server.ID)
}

const (
	// promptSpeedup is how many times faster an engine processes the tokens of a prompt
	// than it generates tokens.
	promptSpeedup = 10
	// usualAnswerTokens is the assumed length of an answer.
	usualAnswerTokens = 128
)

// preferCached reports whether a usable route with a cached prefix saves at least as much
// prompt processing time as its higher load costs over an answer of usual length.
func (f *Flow) preferCached(now time.Time, servers *table.Servers, q Query, cached, chosen model.Route) bool {
	if !cached.Covers(q.Layers) || !routeUsable(now, servers, q, cached) {
		return false
	}
	extraTokenTime := f.tokenTime(servers, cached) - f.tokenTime(servers, chosen)
	savedPromptTime := 0.0
	for _, h := range cached.Hops {
		savedPromptTime += float64(q.Request.PromptTokens) / (promptSpeedup * rateOf(servers.Get(h.Server)))
	}
	return extraTokenTime*usualAnswerTokens <= savedPromptTime
}

// routeUsable reports whether every server of a cached route has credit for one more
// stream, did not fail the request, and still holds the same layers of the same model.
func routeUsable(now time.Time, servers *table.Servers, q Query, r model.Route) bool {
	for _, h := range r.Hops {
		s := servers.Get(h.Server)
		if s == nil || !s.Usable(now) || s.Report.Span != h.Span || s.Report.Model != q.Request.Model || !HasCredit(s, q.Daemons) {
			return false
		}
		if q.Request.Avoids(h.Server) {
			return false
		}
	}
	return true
}

// rateOf returns the token rate that a server reports, above 0.
func rateOf(s *table.Server) float64 { return max(s.Report.TokensPerSecond, epsilon) }

// tokenTime estimates the time between two tokens of one more stream on a route, in
// seconds, from the number of this daemon's own streams on its servers.
func (f *Flow) tokenTime(servers *table.Servers, r model.Route) float64 {
	total := 0.0
	prev := model.ServerID("")
	for _, h := range r.Hops {
		s := servers.Get(h.Server)
		total += float64(len(s.Users)+1) / rateOf(s) * f.links.Price(prev, h.Server)
		prev = h.Server
	}
	return total
}
