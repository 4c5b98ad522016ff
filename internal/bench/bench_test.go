package bench

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/core/route"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

func newPlan(w Workload, load float64) Plan {
	return Plan{
		Engines: 40, Daemons: 7, Workload: w, Load: load, Seed: 1, Length: 12 * time.Second, WarmUp: 5 * time.Second,
		Picker: func(r *rand.Rand) route.Picker { return route.NewFlow(r.Uint64()) },
	}
}

// TestLatencyTargets checks the latency and recovery targets in virtual time, at a load of
// 0.8 of the bound and with one engine killed during the run.
func TestLatencyTargets(t *testing.T) {
	for _, w := range []Workload{Quintal(), Jaring()} {
		t.Run(w.Name, func(t *testing.T) {
			p := newPlan(w, 0.8)
			p.KillAt = 8 * time.Second
			result := Run(p)
			defaults := setts.Defaults()
			assert.Assert(t, result.First.ValueAtQuantile(95) <= defaults.FirstToken.Microseconds())
			assert.Assert(t, result.Gap.ValueAtQuantile(95) <= defaults.TokenGap.Microseconds())
			assert.Assert(t, result.Recovery.TotalCount() > 0)
			assert.Assert(t, result.Recovery.Max() <= time.Second.Microseconds())
			total := result.Total()
			assert.Equal(t, total.Lost, 0)
			assert.Equal(t, total.Refused, 0)
		})
	}
}

// TestRunIsDeterministic guards against results that differ between runs of the same seed.
func TestRunIsDeterministic(t *testing.T) {
	p := newPlan(Jaring(), 1.2)
	p.Length, p.WarmUp = 4*time.Second, time.Second
	a, b := Run(p), Run(p)
	assert.DeepEqual(t, a.Teams, b.Teams)
	assert.Equal(t, a.Tokens, b.Tokens)
	assert.Equal(t, a.Gap.Max(), b.Gap.Max())
}
