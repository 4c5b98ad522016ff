package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/table"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// Flow is the router's own picker: weighted least connections over the maximum
// flow of the layer graph, within credits, with prices for slow links and
// affinity to cached prefixes.
type Flow struct {
	plans    map[string]*Plan
	links    *Links
	affinity *Affinity
	rng      *rand.Rand
}

// NewFlow returns a picker that knows nothing yet. Daemons should have different
// seeds.
func NewFlow(seed uint64) *Flow {
	return &Flow{plans: map[string]*Plan{}, links: NewLinks(), affinity: NewAffinity(), rng: rand.New(rand.NewPCG(seed, 0))}
}

// Plan returns the valid plan of a model.
func (f *Flow) Plan(now time.Time, servers *table.Servers, name string, layers int) *Plan {
	p := f.plans[name]
	if p == nil || !p.valid(now, servers, layers) {
		p = NewPlan(now, servers, name, layers)
		f.plans[name] = p
	}
	return p
}

// Pick implements Picker.
func (f *Flow) Pick(now time.Time, servers *table.Servers, q Query) (model.Route, Result) {
	p := f.Plan(now, servers, q.Request.Model, q.Layers)
	if p.Bound <= epsilon {
		return model.Route{}, NoChain
	}
	s := search{flow: f, plan: p, query: q}
	if !s.descend(0, "") {
		return model.Route{}, Busy
	}
	chosen := model.Route{Hops: s.hops}
	if cached, ok := f.affinity.Find(q.Request.Prefix); ok && f.worthwhile(now, servers, q, cached, chosen) {
		return cached, Found
	}
	return chosen, Found
}

// Observe implements Picker.
func (f *Flow) Observe(r model.Route, gap time.Duration) { f.links.Observe(r, gap) }

// Learn implements Picker.
func (f *Flow) Learn(prefix uint64, r model.Route) { f.affinity.Learn(prefix, r) }

// search is a depth-first walk through the layer graph, a cheap stage first.
type search struct {
	flow  *Flow
	plan  *Plan
	query Query
	hops  []model.Hop
	// dead are layers from which no chain with room leads on. Whether one does
	// depends on the layer alone, so none is searched twice.
	dead []int
}

// descend extends the chain from a layer to the last one.
func (s *search) descend(layer int, prev model.ServerID) bool {
	if layer == s.plan.layers {
		return true
	}
	for {
		best := s.cheapest(layer, prev)
		if best == nil {
			s.dead = append(s.dead, layer)
			return false
		}
		s.hops = append(s.hops, hop(best.server))
		if s.descend(best.to, best.server.ID) {
			return true
		}
		s.hops = s.hops[:len(s.hops)-1]
	}
}

// sampled is how many stages are drawn before the cheapest of them is taken.
const sampled = 4

// draw returns the cheapest of a few stages drawn by their share of the flow.
// Daemons that all take the cheapest of all stages pair the same heads with the
// same tails, and crowd the links between them.
func (s *search) draw(layer int, prev model.ServerID) *stage {
	stages := s.plan.starts[layer]
	if len(stages) <= sampled {
		return nil
	}
	total := s.plan.total(layer)
	var best *stage
	lowest := 0.0
	for range sampled {
		st := s.plan.at(layer, s.flow.rng.Float64()*total)
		if !s.open(st) {
			continue
		}
		cost := s.cost(st, prev)
		if best == nil || cost < lowest {
			best, lowest = st, cost
		}
	}
	return best
}

func (s *search) cost(st *stage, prev model.ServerID) float64 {
	return float64(len(st.server.Users)+1) / st.rate * s.flow.links.Price(prev, st.server.ID)
}

// cheapest returns the stage with the fewest of this daemon's streams for its
// share of the flow.
func (s *search) cheapest(layer int, prev model.ServerID) *stage {
	if st := s.draw(layer, prev); st != nil {
		return st
	}
	var best *stage
	lowest := 0.0
	stages := s.plan.starts[layer]
	for i := range stages {
		st := &stages[i]
		if !s.open(st) {
			continue
		}
		cost := s.cost(st, prev)
		if best == nil || cost < lowest {
			best, lowest = st, cost
		}
	}
	return best
}

// open reports whether a stage can take one more stream and leads on.
func (s *search) open(st *stage) bool {
	return HasCredit(st.server, s.query.Daemons) && !slices.Contains(s.dead, st.to) &&
		!slices.Contains(s.query.Request.Failed, st.server.ID)
}

const (
	// promptSpeed is how much faster an engine works through a prompt than it
	// generates tokens.
	promptSpeed = 10
	// usualAnswer is the number of tokens that a longer queue is paid for.
	usualAnswer = 128
)

// worthwhile reports whether a route with a cached prefix saves more prompt
// work than its longer queues cost over an answer.
func (f *Flow) worthwhile(now time.Time, servers *table.Servers, q Query, cached, chosen model.Route) bool {
	if !cached.Covers(q.Layers) || !usable(now, servers, q, cached) {
		return false
	}
	extra := f.stepTime(servers, cached) - f.stepTime(servers, chosen)
	saved := 0.0
	for _, h := range cached.Hops {
		saved += float64(q.Request.PromptTokens) / (promptSpeed * rateOf(servers.Get(h.Server)))
	}
	return extra*usualAnswer <= saved
}

// usable reports whether every server of a remembered route can take one more
// stream and still holds the same layers.
func usable(now time.Time, servers *table.Servers, q Query, r model.Route) bool {
	for _, h := range r.Hops {
		s := servers.Get(h.Server)
		if s == nil || !s.Usable(now) || s.Report.Span != h.Span || s.Report.Model != q.Request.Model || !HasCredit(s, q.Daemons) {
			return false
		}
		if slices.Contains(q.Request.Failed, h.Server) {
			return false
		}
	}
	return true
}

func rateOf(s *table.Server) float64 { return max(s.Report.TokensPerSecond, epsilon) }

// stepTime estimates the time between two tokens of a stream on a route, in
// seconds, from this daemon's own streams.
func (f *Flow) stepTime(servers *table.Servers, r model.Route) float64 {
	total := 0.0
	prev := model.ServerID("")
	for _, h := range r.Hops {
		s := servers.Get(h.Server)
		total += float64(len(s.Users)+1) / rateOf(s) * f.links.Price(prev, h.Server)
		prev = h.Server
	}
	return total
}
