package even

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestClockStepKeepsTheReference: the clock is set back by a day while streams run. A sound engine counts as sound
// after it, and one that turns slow as slow.
func TestClockStepKeepsTheReference(t *testing.T) {
	p, now := NewPaces(), time.Unix(1_000_000, 0)
	observe := func(tokens int, slowGap time.Duration) {
		for i := range tokens {
			now = now.Add(10 * time.Millisecond)
			stage, gap := Stage{Server: "sound", Expected: 10 * time.Millisecond}, 10*time.Millisecond
			if i%3 == 0 {
				stage.Server, gap = "other", slowGap
			}
			p.ObserveGap(now, "m", []Stage{stage}, gap)
		}
	}
	observe(200, 11*time.Millisecond)
	now = now.Add(-24 * time.Hour)
	observe(200, 11*time.Millisecond)
	assert.Equal(t, p.Factor(now, "sound"), 1.0)
	assert.Equal(t, p.Factor(now, "other"), 1.0)
	observe(100, 120*time.Millisecond)
	assert.Equal(t, p.Factor(now, "sound"), 1.0)
	assert.Assert(t, p.Factor(now, "other") > 1)
}
