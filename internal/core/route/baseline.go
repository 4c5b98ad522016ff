package route

import (
	"math/rand/v2"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/table"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// Policy is the load balancing policy of a Baseline. It returns the index of one of the
// candidates, of which there is at least one.
type Policy func(candidates []*table.Server) int

// Baseline is a picker that chooses each stage by a simple policy. The router's own
// pickers are benchmarked against it.
type Baseline struct {
	flow   *Flow
	choose Policy
}

// NewBaseline returns a picker with a policy.
func NewBaseline(choose Policy) *Baseline { return &Baseline{flow: NewFlow(0), choose: choose} }

// RoundRobin returns a policy that chooses the candidates in turn.
func RoundRobin() Policy {
	next := 0
	return func(candidates []*table.Server) int {
		next++
		return next % len(candidates)
	}
}

// LeastReported returns a policy that chooses the candidate with the lowest reported load.
func LeastReported() Policy {
	return func(candidates []*table.Server) int {
		best := 0
		for i, s := range candidates {
			if reportedLoad(s) < reportedLoad(candidates[best]) {
				best = i
			}
		}
		return best
	}
}

// TwoChoices returns a policy that draws two candidates at random and chooses the one
// with the lower reported load.
func TwoChoices(r *rand.Rand) Policy {
	return func(candidates []*table.Server) int {
		a, b := r.IntN(len(candidates)), r.IntN(len(candidates))
		if reportedLoad(candidates[b]) < reportedLoad(candidates[a]) {
			return b
		}
		return a
	}
}

// reportedLoad returns the running and queued streams of a server's own report, per slot.
func reportedLoad(s *table.Server) float64 {
	return float64(s.Report.Running+s.Report.Queued) / float64(max(1, s.Report.Slots))
}

// Pick implements Picker.
func (b *Baseline) Pick(now time.Time, servers *table.Servers, q Query) (model.Route, Result) {
	p := b.flow.Plan(now, servers, q.Request.Model, q.Layers)
	if p.MaxFlow <= epsilon {
		return model.Route{}, NoChain
	}
	s := search{flow: b.flow, plan: p, query: q}
	var r model.Route
	for layer := 0; layer < q.Layers; {
		var candidates []*table.Server
		for _, st := range p.stages[layer] {
			if s.available(&st) {
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
