package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpond.example/bulrushpond/internal/proof"
)

const (
	testRatio  = 0.2
	testBurst  = 3.0
	testWindow = 10 * time.Second
)

// sendEvent is one send that a budget counted.
type sendEvent struct {
	at    time.Time
	retry bool
}

// TestDaemonStaysWithinItsShare: in any window, a daemon sends no more retries than its own
// requests earned for the window, plus its share of the burst. Summed over all daemons,
// that is the whole budget as long as their requests come at about the same times.
func TestDaemonStaysWithinItsShare(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		b := New(testRatio, initialDaemons*testBurst, testWindow)
		var events []sendEvent
		t.Repeat(map[string]func(*rapid.T){
			"send requests": func(t *rapid.T) {
				for range rapid.IntRange(1, 10).Draw(t, "number") {
					b.CountRequest(now, "s")
					events = append(events, sendEvent{at: now})
				}
			},
			"retry": func(t *rapid.T) {
				for range rapid.IntRange(1, 10).Draw(t, "number") {
					if b.TryTake(now, "s", 1) {
						events = append(events, sendEvent{at: now, retry: true})
					}
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			},
		})
		checkWindows(t, events, testBurst)
	})
}

// TestFleetStaysWithinBudget: in any window, all daemons together send no more retries than
// their requests earned for the window plus the burst, whenever each daemon's requests come.
func TestFleetStaysWithinBudget(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		const burst, maxEvents = 20, 300
		now := time.Unix(1_000_000, 0)
		daemons := rapid.IntRange(initialDaemons, 2*initialDaemons).Draw(t, "daemons")
		var budgets []*Budget
		for range daemons {
			b := New(testRatio, burst, testWindow)
			b.SetDaemons(now, daemons)
			budgets = append(budgets, b)
		}
		var events []sendEvent
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				b := budgets[rapid.IntRange(0, daemons-1).Draw(t, "daemon")]
				retry := rapid.Bool().Draw(t, "retry")
				for range min(rapid.IntRange(1, 30).Draw(t, "number"), maxEvents-len(events)) {
					if !retry {
						b.CountRequest(now, "s")
					} else if !b.TryTake(now, "s", 1) {
						return
					}
					events = append(events, sendEvent{at: now, retry: retry})
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			},
		})
		checkWindows(t, events, burst)
	})
}

// TestSteadyRequestsEarnFullRatio: requests at a steady rate earn at least 90 % of the
// ratio, although requests at the edges of a window are not counted.
func TestSteadyRequestsEarnFullRatio(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	b := New(testRatio, 0, testWindow)
	const perSecond = 100
	retries := 0.0
	for i := range 6 * 10 * perSecond {
		now = now.Add(time.Second / perSecond)
		b.CountRequest(now, "s")
		if b.TryTake(now, "s", 1) && i >= 3*10*perSecond {
			retries++
		}
	}
	assert.Assert(t, retries >= 0.9*testRatio*3*10*perSecond, "%v retries", retries)
}

// TestEarnedWindowsAreNotCountedTwice: two daemons retry in the same window. The requests of
// one lie in the previous window, those of the other in the window that began half a
// window earlier. Only the larger number earns retries, not the sum.
func TestEarnedWindowsAreNotCountedTwice(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	var events []sendEvent
	for _, scenario := range []struct{ requests, retries time.Duration }{
		{requests: 0, retries: 7 * time.Second},
		{requests: 8 * time.Second, retries: 14 * time.Second},
	} {
		b := New(testRatio, 0, testWindow)
		for range 100 {
			b.CountRequest(start.Add(scenario.requests), "s")
			events = append(events, sendEvent{at: start.Add(scenario.requests)})
		}
		for range 100 {
			if at := start.Add(scenario.retries); b.TryTake(at, "s", 1) {
				events = append(events, sendEvent{at: at, retry: true})
			}
		}
	}
	checkWindows(t, events, 0)
}

// checkWindows checks the limit for all windows that begin or end at an event, or begin right
// after one: retries are earned by the requests of the window, of the previous one or of the
// one that began half a window earlier, whichever has most.
func checkWindows(t assert.TestingT, events []sendEvent, burst float64) {
	count := func(from time.Time, retry bool) float64 {
		n := 0.0
		for _, s := range events {
			if s.retry == retry && !s.at.Before(from) && s.at.Before(from.Add(testWindow)) {
				n++
			}
		}
		return n
	}
	for _, s := range events {
		for _, from := range []time.Time{s.at, s.at.Add(1), s.at.Add(1 - testWindow)} {
			requests := max(count(from, false), count(from.Add(-testWindow), false), count(from.Add(-testWindow/2), false))
			retries := count(from, true)
			assert.Assert(t, retries <= testRatio*requests+burst+1e-9,
				"%v retries for %v requests in the window from %s", retries, requests, from)
		}
	}
}

// TestLowerDaemonCountMustLast: a lower number of daemons takes effect only after it has
// lasted for a window.
func TestLowerDaemonCountMustLast(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	b := New(0, initialDaemons, testWindow)
	b.SetDaemons(now, 1)
	assert.Assert(t, b.TryTake(now, "s", 1))
	assert.Assert(t, !b.TryTake(now, "s", 1))
	now = now.Add(testWindow)
	b.SetDaemons(now, 1)
	for range initialDaemons - 1 {
		assert.Assert(t, b.TryTake(now, "s", 1))
	}
	assert.Assert(t, !b.TryTake(now, "s", 1))
}

// TestServicesHaveSeparateBudgets: retries to one service do not use up another's budget.
func TestServicesHaveSeparateBudgets(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	b := New(0, initialDaemons, testWindow)
	assert.Assert(t, b.TryTake(now, "a", 1))
	assert.Assert(t, !b.TryTake(now, "a", 1))
	assert.Assert(t, b.TryTake(now, "b", 1))
}

// TestBudgetShare: retries that may use only a share of the budget leave the rest to others.
func TestBudgetShare(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	b := New(0, 10*initialDaemons, testWindow)
	for range 5 {
		assert.Assert(t, b.TryTake(now, "s", 0.5))
	}
	assert.Assert(t, !b.TryTake(now, "s", 0.5))
	for range 5 {
		assert.Assert(t, b.TryTake(now, "s", 1))
	}
	assert.Assert(t, !b.TryTake(now, "s", 1))
}

// TestGiveBackReturnsOneRetry guards against a retry that is given back twice, to another window or below nothing.
func TestGiveBackReturnsOneRetry(t *testing.T) {
	const burst = 4
	now := time.Unix(1_000_000, 0)
	b := New(0, initialDaemons*burst, testWindow)
	take := func() (n int) {
		for b.TryTake(now, "s", 1) {
			n++
		}
		return n
	}
	b.GiveBack(now, "s", now)
	assert.Equal(t, take(), burst)
	takenAt := now
	now = now.Add(testWindow / 3)
	b.GiveBack(now, "s", takenAt)
	assert.Equal(t, take(), 1)
	now = now.Add(testWindow / 3)
	b.GiveBack(now, "s", now)
	assert.Equal(t, take(), 0)
	b.GiveBack(now, "s", now.Add(-10*testWindow))
	b.GiveBack(now, "s", now.Add(testWindow))
	assert.Equal(t, take(), 0)
}
