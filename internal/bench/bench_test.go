package bench

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/core/route"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

func plan(w Workload, load float64) Plan {
	return Plan{
		Engines: 40, Daemons: 7, Workload: w, Load: load, Seed: 1, Length: 12 * time.Second, WarmUp: 5 * time.Second,
		Picker: func(r *rand.Rand) route.Picker { return route.NewFlow(r.Uint64()) },
	}
}

// TestTargets holds the users' targets at 0.8 of the bound, with a stage that
// dies on the way, in virtual time.
func TestTargets(t *testing.T) {
	for _, w := range []Workload{Quintal(), Jaring()} {
		t.Run(w.Name, func(t *testing.T) {
			p := plan(w, 0.8)
			p.KillAt = 8 * time.Second
			r := Run(p)
			d := setts.Defaults()
			assert.Assert(t, r.First.ValueAtQuantile(95) <= d.FirstToken.Microseconds())
			assert.Assert(t, r.Gap.ValueAtQuantile(95) <= d.TokenGap.Microseconds())
			assert.Assert(t, r.Recovery.TotalCount() > 0)
			assert.Assert(t, r.Recovery.Max() <= time.Second.Microseconds())
			total := r.Total()
			assert.Equal(t, total.Lost, 0)
			assert.Equal(t, total.Refused, 0)
		})
	}
}

// TestSameSeedSameResult: a run is the same each time.
func TestSameSeedSameResult(t *testing.T) {
	p := plan(Jaring(), 1.2)
	p.Length, p.WarmUp = 4*time.Second, time.Second
	a, b := Run(p), Run(p)
	assert.DeepEqual(t, a.Teams, b.Teams)
	assert.Equal(t, a.Tokens, b.Tokens)
	assert.Equal(t, a.Gap.Max(), b.Gap.Max())
}
