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

// stage is a server in a plan.
type stage struct {
	server *table.Server
	// rate is the server's share of the maximum flow, in tokens a second.
	rate float64
	// nextLayer is the layer after the server's last one.
	nextLayer int
}

// Plan is a model's layer graph: which servers start at which layer, and how much of the
// maximum flow each of them carries. It is valid for one version of the server table.
type Plan struct {
	// version is the version of the server table that the plan was made for.
	version uint64
	// expires is when the next unusable server may become usable; zero for never.
	expires time.Time
	layers  int
	// stages holds the stages by their first layer.
	stages map[int][]stage
	// cumulativeRates holds the running sums of the rates in stages, by first layer.
	cumulativeRates map[int][]float64
	// MaxFlow is the maximum flow, in tokens a second; 0 means that no chain of
	// usable servers covers all layers.
	MaxFlow float64
}

// minUtilization is the least share of its own rate that a group is given, also if the
// maximum flow does not use it, so that it gets streams once the other groups are full.
const minUtilization = 0.02

// NewPlan computes the plan for a model with a number of layers.
func NewPlan(now time.Time, servers *table.Servers, modelName string, layers int) *Plan {
	p := &Plan{version: servers.Version, layers: layers, stages: map[int][]stage{}, cumulativeRates: map[int][]float64{}}
	var usable []*table.Server
	for _, id := range servers.IDs() {
		s := servers.Get(id)
		if s.Report.Model != modelName {
			continue
		}
		if s.Usable(now) {
			usable = append(usable, s)
			continue
		}
		p.expireAt(now, s.ReturnAt)
		p.expireAt(now, s.AvoidUntil)
	}
	p.computeFlow(usable)
	return p
}

// expireAt limits the plan's validity to a time in the future at which a server may become
// usable again.
func (p *Plan) expireAt(now, at time.Time) {
	if at.After(now) && (p.expires.IsZero() || at.Before(p.expires)) {
		p.expires = at
	}
}

// group holds all servers with the same layers.
type group struct {
	servers []*table.Server
	// rate is the sum of the servers' rates, in tokens a second.
	rate float64
	// edge is the ID of the group's edge in the flow network.
	edge int
}

// computeFlow computes the maximum flow and the stages' rates. The nodes of the network
// are the layers at which servers' spans begin or end, and its edges are the groups of
// servers with the same layers, so that the cost depends on the number of groups and not
// of servers. Within a group, the flow is divided in proportion to the servers' rates; a
// flow with an edge for each server would saturate some and leave others idle.
func (p *Plan) computeFlow(usable []*table.Server) {
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
	p.MaxFlow = net.Solve(node(0), node(p.layers))
	for _, span := range spans {
		g := groups[span]
		p.addStages(span, g, max(net.Flow(g.edge)/g.rate, minUtilization))
	}
}

// addStages adds a stage for each server of a group. utilization is the share of the
// group's rate that the flow uses.
func (p *Plan) addStages(span model.Span, g *group, utilization float64) {
	for _, s := range g.servers {
		rate := utilization * max(s.Report.TokensPerSecond, epsilon)
		p.stages[span.From] = append(p.stages[span.From], stage{server: s, rate: rate, nextLayer: span.To})
		p.cumulativeRates[span.From] = append(p.cumulativeRates[span.From], p.totalRate(span.From)+rate)
	}
}

// totalRate returns the sum of the rates of all stages that start at a layer.
func (p *Plan) totalRate(layer int) float64 {
	sums := p.cumulativeRates[layer]
	if len(sums) == 0 {
		return 0
	}
	return sums[len(sums)-1]
}

// stageAt returns the stage of a layer at a point between 0 and totalRate on the running
// sum of the rates. A uniformly random point thus selects stages by their rates.
func (p *Plan) stageAt(layer int, point float64) *stage {
	i, _ := slices.BinarySearch(p.cumulativeRates[layer], point)
	return &p.stages[layer][min(i, len(p.stages[layer])-1)]
}

// valid reports whether the plan is valid for the current server table and time.
func (p *Plan) valid(now time.Time, servers *table.Servers, layers int) bool {
	return p.version == servers.Version && p.layers == layers && (p.expires.IsZero() || now.Before(p.expires))
}
