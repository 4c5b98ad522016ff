// Package route chooses the chain of backend servers for a request.
package route

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/table"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// stage is one server as the plan sees it.
type stage struct {
	server *table.Server
	// rate is the server's share of the maximum flow, in tokens a second.
	rate float64
	to   int
}

// Plan is a model's layer graph: which servers start at which layer, and how
// much of the maximum flow each of them carries. It holds for one version of
// the server table.
type Plan struct {
	version uint64
	expires time.Time
	layers  int
	// starts lists the stages by their first layer.
	starts map[int][]stage
	// sums are the running sums of the stages' rates, by their first layer.
	sums map[int][]float64
	// Bound is the maximum flow, in tokens a second; 0 means that no chain of
	// usable servers covers all layers.
	Bound float64
}

// idleShare is the part of its own rate that a group outside the maximum flow is
// given, so that it is used once the others are full.
const idleShare = 0.02

// NewPlan works out the plan for a model with a number of layers.
func NewPlan(now time.Time, servers *table.Servers, model string, layers int) *Plan {
	p := &Plan{version: servers.Version, layers: layers, starts: map[int][]stage{}, sums: map[int][]float64{}}
	var usable []*table.Server
	for _, id := range servers.IDs() {
		s := servers.Get(id)
		if s.Report.Model != model {
			continue
		}
		if s.Usable(now) {
			usable = append(usable, s)
			continue
		}
		p.expireAt(now, s.BackAt)
		p.expireAt(now, s.AvoidUntil)
	}
	p.solve(usable)
	return p
}

// expireAt makes the plan invalid from a moment on, at which a server comes back.
func (p *Plan) expireAt(now, at time.Time) {
	if at.After(now) && (p.expires.IsZero() || at.Before(p.expires)) {
		p.expires = at
	}
}

// group is all servers that hold the same layers.
type group struct {
	servers []*table.Server
	rate    float64
	edge    int
}

// solve computes the maximum flow. Its nodes are the layers between servers, and
// its edges are groups of servers with the same layers, so that the work follows
// the number of groups. Within a group the flow is shared by the servers' rates:
// a flow over single servers would fill some and leave others idle.
func (p *Plan) solve(usable []*table.Server) {
	groups := map[model.Span]*group{}
	nodes := []int{0, p.layers}
	for _, s := range usable {
		span := s.Report.Span
		if groups[span] == nil {
			groups[span] = &group{}
			nodes = append(nodes, span.From, span.To)
		}
		groups[span].servers = append(groups[span].servers, s)
		groups[span].rate += max(s.Report.TokensPerSecond, epsilon)
	}
	slices.Sort(nodes)
	nodes = slices.Compact(nodes)
	node := func(layer int) int {
		i, _ := slices.BinarySearch(nodes, layer)
		return i
	}
	spans := slices.SortedFunc(maps.Keys(groups), func(a, b model.Span) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To))
	})
	net := NewNetwork(len(nodes))
	for _, span := range spans {
		groups[span].edge = net.Add(node(span.From), node(span.To), groups[span].rate)
	}
	p.Bound = net.Solve(node(0), node(p.layers))
	for _, span := range spans {
		g := groups[span]
		p.share(span, g, max(net.Flow(g.edge)/g.rate, idleShare))
	}
}

// share gives each server of a group its part of the group's flow.
func (p *Plan) share(span model.Span, g *group, used float64) {
	for _, s := range g.servers {
		rate := used * max(s.Report.TokensPerSecond, epsilon)
		p.starts[span.From] = append(p.starts[span.From], stage{server: s, rate: rate, to: span.To})
		p.sums[span.From] = append(p.sums[span.From], p.total(span.From)+rate)
	}
}

// total is the rate of all stages that start at a layer.
func (p *Plan) total(layer int) float64 {
	sums := p.sums[layer]
	if len(sums) == 0 {
		return 0
	}
	return sums[len(sums)-1]
}

// at returns the stage of a layer at a point between 0 and total.
func (p *Plan) at(layer int, point float64) *stage {
	i, _ := slices.BinarySearch(p.sums[layer], point)
	return &p.starts[layer][min(i, len(p.starts[layer])-1)]
}

// valid reports whether the plan still holds.
func (p *Plan) valid(now time.Time, servers *table.Servers, layers int) bool {
	return p.version == servers.Version && p.layers == layers && (p.expires.IsZero() || now.Before(p.expires))
}
