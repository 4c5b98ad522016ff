package route

import (
	"math/rand/v2"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/table"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// Choose is the policy of a baseline: it returns the index of one of several
// candidates.
type Choose func(candidates []*table.Server) int

// Baseline is a picker that chooses each stage by a simple policy, to measure
// the router's own picker against.
type Baseline struct {
	flow   *Flow
	choose Choose
}

// NewBaseline returns a picker with a policy.
func NewBaseline(choose Choose) *Baseline { return &Baseline{flow: NewFlow(0), choose: choose} }

// RoundRobin takes the candidates in turn.
func RoundRobin() Choose {
	turn := 0
	return func(candidates []*table.Server) int {
		turn++
		return turn % len(candidates)
	}
}

// LeastReported takes the candidate with the lowest load by its own report.
func LeastReported() Choose {
	return func(candidates []*table.Server) int {
		best := 0
		for i, s := range candidates {
			if reported(s) < reported(candidates[best]) {
				best = i
			}
		}
		return best
	}
}

// TwoChoices draws two candidates and takes the one with the lower load by its
// own report.
func TwoChoices(r *rand.Rand) Choose {
	return func(candidates []*table.Server) int {
		a, b := r.IntN(len(candidates)), r.IntN(len(candidates))
		if reported(candidates[b]) < reported(candidates[a]) {
			return b
		}
		return a
	}
}

func reported(s *table.Server) float64 {
	return float64(s.Report.Running+s.Report.Queued) / float64(max(1, s.Report.Slots))
}

// Pick implements Picker.
func (b *Baseline) Pick(now time.Time, servers *table.Servers, q Query) (model.Route, Result) {
	p := b.flow.Plan(now, servers, q.Request.Model, q.Layers)
	if p.Bound <= epsilon {
		return model.Route{}, NoChain
	}
	s := search{flow: b.flow, plan: p, query: q}
	var r model.Route
	for layer := 0; layer < q.Layers; {
		var candidates []*table.Server
		for _, st := range p.starts[layer] {
			if s.open(&st) {
				candidates = append(candidates, st.server)
			}
		}
		if len(candidates) == 0 {
			return model.Route{}, Busy
		}
		chosen := candidates[b.choose(candidates)]
		r.Hops = append(r.Hops, hop(chosen))
		layer = chosen.Report.Span.To
	}
	return r, Found
}

// Observe implements Picker.
func (b *Baseline) Observe(model.Route, time.Duration) {}

// Learn implements Picker.
func (b *Baseline) Learn(uint64, model.Route) {}
