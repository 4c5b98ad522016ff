package route

import (
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
}

// NewFlow returns a picker that knows nothing yet.
func NewFlow() *Flow {
	return &Flow{plans: map[string]*Plan{}, links: NewLinks(), affinity: NewAffinity()}
}

// maxSteps bounds the search for a chain with room, in stages tried.
const maxSteps = 256

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
	s := search{flow: f, plan: p, query: q, steps: maxSteps}
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

// search is a depth-first walk through the layer graph, cheapest stage first.
type search struct {
	flow  *Flow
	plan  *Plan
	query Query
	hops  []model.Hop
	steps int
	tried map[int][]*table.Server
}

// descend extends the chain from a layer to the last one.
func (s *search) descend(layer int, prev model.ServerID) bool {
	if layer == s.plan.layers {
		return true
	}
	for s.steps > 0 {
		s.steps--
		best := s.cheapest(layer, prev)
		if best == nil {
			return false
		}
		s.hops = append(s.hops, hop(best.server))
		if s.descend(best.to, best.server.ID) {
			return true
		}
		s.hops = s.hops[:len(s.hops)-1]
		s.mark(layer, best.server)
	}
	return false
}

// mark remembers a stage that led nowhere from its layer.
func (s *search) mark(layer int, server *table.Server) {
	if s.tried == nil {
		s.tried = map[int][]*table.Server{}
	}
	s.tried[layer] = append(s.tried[layer], server)
}

// cheapest returns the stage with the fewest of this daemon's streams for its
// share of the flow.
func (s *search) cheapest(layer int, prev model.ServerID) *stage {
	var best *stage
	lowest := 0.0
	stages := s.plan.starts[layer]
	for i := range stages {
		st := &stages[i]
		if !HasCredit(st.server, s.query.Daemons) || s.excluded(layer, st.server) {
			continue
		}
		cost := float64(len(st.server.Users)+1) / st.rate * s.flow.links.Price(prev, st.server.ID)
		if best == nil || cost < lowest {
			best, lowest = st, cost
		}
	}
	return best
}

// excluded reports whether a server led nowhere before, or failed this request.
func (s *search) excluded(layer int, server *table.Server) bool {
	for _, t := range s.tried[layer] {
		if t == server {
			return true
		}
	}
	for _, id := range s.query.Request.Failed {
		if id == server.ID {
			return true
		}
	}
	return false
}

// affinityTokensPerStream is how many cached prompt tokens outweigh one more
// stream on a server.
const affinityTokensPerStream = 64

// worthwhile reports whether a route with a cached prefix saves more prompt
// work than its longer queue costs.
func (f *Flow) worthwhile(now time.Time, servers *table.Servers, q Query, cached, chosen model.Route) bool {
	if !cached.Covers(q.Layers) {
		return false
	}
	for _, h := range cached.Hops {
		s := servers.Get(h.Server)
		if s == nil || !s.Usable(now) || s.Report.Span != h.Span || s.Report.Model != q.Request.Model || !HasCredit(s, q.Daemons) {
			return false
		}
		for _, id := range q.Request.Failed {
			if id == h.Server {
				return false
			}
		}
	}
	extra := fullest(servers, cached) - fullest(servers, chosen)
	saved := float64(q.Request.PromptTokens) / affinityTokensPerStream
	room := servers.Get(cached.Hops[0].Server).Report.Room() / max(1, q.Daemons)
	return extra*float64(max(1, room)) <= saved
}

// fullest returns the highest share of a server's room along a route that this
// daemon's streams take.
func fullest(servers *table.Servers, r model.Route) float64 {
	worst := 0.0
	for _, h := range r.Hops {
		if s := servers.Get(h.Server); s != nil {
			worst = max(worst, float64(len(s.Users))/float64(s.Report.Room()))
		}
	}
	return worst
}
