package core

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/core/even"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// TestSlowEngineOfAPair answers an engine that turns 12 times slower while it still answers, as on the heaviest
// days. Within a second it gets the share of its pace, and within two seconds after it has recovered its
// share again, also if each daemon sees few of its streams. The engines that share chains with it keep theirs.
func TestSlowEngineOfAPair(t *testing.T) {
	const (
		slow, factor   = model.ServerID("e000"), 12.0
		noticedWithin  = time.Second
		recoversWithin = 2 * time.Second
		// deviations is how many standard deviations of the counted requests a share may differ by.
		deviations = 3
	)
	for _, daemons := range []int{7, 72, 390} {
		t.Run(fmt.Sprintf("daemons=%d", daemons), func(t *testing.T) {
			f := newEvenFleet(t, daemons, 4, 1)
			f.run(3 * time.Second)
			sound := f.share(f.run(3*time.Second), slow)
			f.engines[slow].slow = factor
			f.run(noticedWithin)
			ofPace := sound / factor
			started := f.run(5 * time.Second)
			got := f.share(started, slow)
			chance := func(share float64) float64 {
				return deviations * share / math.Sqrt(share*float64(started[slow])/got)
			}
			assert.Assert(t, math.Abs(got-ofPace) <= chance(ofPace), "the slow engine got %.3f of the requests, its pace is worth %.3f", got, ofPace)
			for id := range f.engines {
				if id == slow {
					continue
				}
				assert.Assert(t, f.share(started, id) >= sound-chance(sound), "%s got %.3f", id, f.share(started, id))
				blaming := 0
				for _, d := range f.daemons {
					if d.paces.Factor(f.now, id) > 1 {
						blaming++
					}
				}
				assert.Equal(t, blaming, 0, "daemons that call %s slow", id)
			}
			f.engines[slow].slow = 1
			f.run(recoversWithin)
			again := f.share(f.run(3*time.Second), slow)
			assert.Assert(t, again > 0.8*sound, "after its recovery the engine got %.3f of the requests, before %.3f", again, sound)
		})
	}
}

// TestOneDaemonsMistakeStarvesNoEngine answers a daemon that reports a sound engine as slow all the time.
func TestOneDaemonsMistakeStarvesNoEngine(t *testing.T) {
	const blamed = model.ServerID("e000")
	f := newEvenFleet(t, 72, 4, 1)
	f.run(3 * time.Second)
	sound := f.share(f.run(3*time.Second), blamed)
	f.lies = []even.Pace{{Server: blamed, Factor: 1e9}, {Server: blamed, Factor: 1e9}, {Server: blamed, Factor: 1e9}}
	f.run(time.Second)
	got := f.share(f.run(4*time.Second), blamed)
	assert.Assert(t, got > 0.8*sound, "the engine got %.3f of the requests, before %.3f", got, sound)
}
