package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFleetSize checks that a larger fleet is recorded at once, and a smaller one only when it lasts: daemons
// that restart together must find the number that there was before.
func TestFleetSize(t *testing.T) {
	type scenario struct {
		name              string
		daemons, recorded int
		// at is the time since the first look; the fleet is as large at all looks before.
		at     time.Duration
		update bool
	}
	for _, tc := range []scenario{
		{"first record", 1, 0, 0, true},
		{"unchanged", 195, 195, time.Hour, false},
		{"a few more", 200, 195, time.Hour, false},
		{"larger", 300, 195, 0, true},
		{"restarts", 3, 195, 5 * time.Second, false},
		{"a few less", 190, 195, time.Hour, false},
		{"smaller for good", 100, 195, time.Minute, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var f FleetSize
			start := time.Unix(1_000_000, 0)
			got := f.NeedsUpdate(start, tc.daemons, tc.recorded)
			for at := time.Second; at <= tc.at; at += time.Second {
				got = f.NeedsUpdate(start.Add(at), tc.daemons, tc.recorded)
			}
			assert.Equal(t, got, tc.update)
		})
	}
	var f FleetSize
	now := time.Unix(1_000_000, 0)
	f.NeedsUpdate(now, 3, 195)
	f.NeedsUpdate(now.Add(30*time.Second), 195, 195)
	assert.Assert(t, !f.NeedsUpdate(now.Add(70*time.Second), 3, 195), "the fleet was back in between")
}

// TestRestartedFleetStaysWithinBudget guards against a fleet that sends more retries than the budget allows after
// all its daemons lost power at one time: each knows a few daemons at first.
func TestRestartedFleetStaysWithinBudget(t *testing.T) {
	const fleet, burst = 195, 574
	now := time.Unix(1_000_000, 0)
	sent := 0
	for range fleet {
		b := New(0.2, burst, 10*time.Second)
		b.SetDaemons(now, fleet)
		for known := 1; known < fleet; known += 20 {
			b.SetDaemons(now.Add(time.Duration(known)*time.Millisecond), known)
			for b.TryTake(now.Add(time.Duration(known)*time.Millisecond), "s", 1) {
				sent++
			}
		}
	}
	assert.Assert(t, sent <= burst, "%d retries were sent", sent)
}
