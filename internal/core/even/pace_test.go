package even

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpond.example/bulrushpond/internal/proof"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// TestPacesOfHostileReports checks that no gap and no report makes a factor that is not in 1..16, and that what
// a daemon reports stays small and in order.
func TestPacesOfHostileReports(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		p, now := NewPaces(), time.Unix(1_000_000, 0)
		id := rapid.Custom(func(t *rapid.T) model.ServerID {
			return model.ServerID(fmt.Sprintf("e%d", rapid.IntRange(0, 40).Draw(t, "engine")))
		})
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "report") == 0 {
				factor := rapid.Float64().Draw(t, "factor")
				p.ApplyOthers(now.Add(time.Second), []Pace{{Server: id.Draw(t, "blamed"), Factor: factor}})
				continue
			}
			var stages []Stage
			for range rapid.IntRange(0, 6).Draw(t, "stages") {
				expected := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "expected"))
				stages = append(stages, Stage{Server: id.Draw(t, "server"), Expected: expected})
			}
			p.ObserveGap(now, "m", stages, time.Duration(rapid.Int64().Draw(t, "gap")))
			for i := range 41 {
				factor := p.Factor(now, model.ServerID(fmt.Sprintf("e%d", i)))
				assert.Assert(t, factor >= 1 && factor <= maxFactor, "factor %f", factor)
			}
			report := p.Report(now)
			assert.Assert(t, len(report) <= MaxReported)
			for i := 1; i < len(report); i++ {
				assert.Assert(t, report[i-1].Server < report[i].Server)
			}
		}
	})
}

// TestSlowDaemonBlamesNoEngine answers a daemon that is slow itself, so that all its streams are.
func TestSlowDaemonBlamesNoEngine(t *testing.T) {
	p, now := NewPaces(), time.Unix(1_000_000, 0)
	observe := func(gap time.Duration) {
		for i := range 400 {
			now = now.Add(10 * time.Millisecond)
			a, b := model.ServerID(fmt.Sprintf("a%d", i%4)), model.ServerID(fmt.Sprintf("b%d", i/4%4))
			p.ObserveGap(now, "m", []Stage{{Server: a, Expected: 10 * time.Millisecond}, {Server: b, Expected: 10 * time.Millisecond}}, gap)
		}
	}
	observe(20 * time.Millisecond)
	assert.Equal(t, len(p.Slow(now)), 0)
	observe(200 * time.Millisecond)
	assert.Equal(t, len(p.Slow(now)), 0)
	assert.Equal(t, len(p.Report(now)), 0)
}

// TestOldEvidenceEnds checks that an engine is no longer slow once nobody has seen it for a while.
func TestOldEvidenceEnds(t *testing.T) {
	p, now := NewPaces(), time.Unix(1_000_000, 0)
	for i := range 200 {
		gap := 10 * time.Millisecond
		if i%4 == 0 && i > 100 {
			gap = 120 * time.Millisecond
		}
		now = now.Add(10 * time.Millisecond)
		p.ObserveGap(now, "m", []Stage{{Server: model.ServerID(fmt.Sprintf("a%d", i%4)), Expected: time.Millisecond}}, gap)
	}
	assert.Assert(t, p.Factor(now, "a0") > 10)
	assert.Equal(t, p.Factor(now, "a1"), 1.0)
	assert.Equal(t, p.Factor(now.Add(evidenceTTL), "a0"), 1.0)
}
