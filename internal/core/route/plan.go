// Package route chooses the chain of backend servers for a request.
package route

import (
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/table"
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
	// Bound is the maximum flow, in tokens a second; 0 means that no chain of
	// usable servers covers all layers.
	Bound float64
}

// idleShare is the part of its own rate that a server outside the maximum flow
// is given, so that it is used once the others are full.
const idleShare = 0.02

// NewPlan works out the plan for a model with a number of layers.
func NewPlan(now time.Time, servers *table.Servers, model string, layers int) *Plan {
	p := &Plan{version: servers.Version, layers: layers, starts: map[int][]stage{}}
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

// solve computes the maximum flow. Its nodes are the layers between servers, so
// that the number of edges follows the servers and not their pairs.
func (p *Plan) solve(usable []*table.Server) {
	nodes := []int{0, p.layers}
	for _, s := range usable {
		nodes = append(nodes, s.Report.Span.From, s.Report.Span.To)
	}
	slices.Sort(nodes)
	nodes = slices.Compact(nodes)
	node := func(layer int) int {
		i, _ := slices.BinarySearch(nodes, layer)
		return i
	}
	net := NewNetwork(len(nodes))
	edges := make([]int, len(usable))
	for i, s := range usable {
		edges[i] = net.Add(node(s.Report.Span.From), node(s.Report.Span.To), max(s.Report.TokensPerSecond, epsilon))
	}
	p.Bound = net.Solve(node(0), node(p.layers))
	for i, s := range usable {
		rate := max(net.Flow(edges[i]), idleShare*s.Report.TokensPerSecond, epsilon)
		from := s.Report.Span.From
		p.starts[from] = append(p.starts[from], stage{server: s, rate: rate, to: s.Report.Span.To})
	}
}

// valid reports whether the plan still holds.
func (p *Plan) valid(now time.Time, servers *table.Servers, layers int) bool {
	return p.version == servers.Version && p.layers == layers && (p.expires.IsZero() || now.Before(p.expires))
}
