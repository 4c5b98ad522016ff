package place

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/pkg/model"
)

// loadingFleet is a fakeFleet whose engines load from a weight store: if more loads run than it serves at full speed, a
// load takes proportionally longer.
type loadingFleet struct {
	*fakeFleet
	loads map[string]load
	// rng draws the order in which the orders of one tick arrive, as they are sent at the same time; nil for that of the
	// planner.
	rng *rand.Rand
	// outageEnd is the expected end of an outage after the last tick.
	outageEnd time.Time
	// most is the largest number of loads at one time.
	most int
}

type load struct {
	span model.Span
	ends time.Time
}

// run ticks the planner every 100 ms until the condition holds, and returns how long that took.
func (f *loadingFleet) run(t assert.TestingT, condition func() bool) time.Duration {
	began := f.now
	for ; !condition(); f.now = f.now.Add(100 * time.Millisecond) {
		assert.Assert(t, f.now.Sub(began) < 5*time.Minute, "the condition never holds")
		for id, l := range f.loads {
			if !f.now.Before(l.ends) {
				f.member(model.ServerID(id)).Span = l.span
				delete(f.loads, id)
			}
		}
		orders := f.planner.Tick(f.now, f.profile, f.members)
		f.outageEnd = f.planner.OutageEnd(f.now, f.profile, f.members)
		if f.rng != nil {
			f.rng.Shuffle(len(orders), func(i, j int) { orders[i], orders[j] = orders[j], orders[i] })
		}
		for _, o := range orders {
			m := f.member(o.Server)
			if _, loads := f.loads[m.ID]; loads {
				f.planner.RecordRefusal(f.now, o.Server)
				continue
			}
			alone := f.profile.LoadTime * time.Duration(o.Span.To-o.Span.From) / time.Duration(f.profile.Layers)
			slowed := alone * time.Duration(max(len(f.loads)+1, f.profile.LoadsAtOnce)) / time.Duration(f.profile.LoadsAtOnce)
			f.loads[m.ID] = load{span: o.Span, ends: f.now.Add(slowed)}
			f.most = max(f.most, len(f.loads))
		}
	}
	return f.now.Sub(began)
}

// restartedFleet returns 38 engines in three zones that have just started again without layers, while callers wait.
func restartedFleet(seed uint64) *loadingFleet {
	f := &loadingFleet{fakeFleet: newFleet(), loads: map[string]load{}, rng: rand.New(rand.NewPCG(seed, 0))}
	f.profile.LoadsAtOnce = 6
	for _, z := range []struct {
		zone               string
		large, small, slow int
	}{{"a", 1, 10, 4}, {"b", 2, 4, 4}, {"c", 1, 6, 6}} {
		f.add(z.zone, "large", z.large)
		f.add(z.zone, "small", z.small)
		f.add(z.zone, "slow", z.slow)
	}
	f.planner.LimitLoads = true
	return f
}

// TestServiceReturnsBeforeAllEnginesHaveLoaded guards against a storm of loads after many engines were lost: all engines
// loaded at once, each many times slower, so that no chain was whole for as long as all loads together take, and longer.
func TestServiceReturnsBeforeAllEnginesHaveLoaded(t *testing.T) {
	for seed := range uint64(10) {
		f := restartedFleet(seed)
		first := f.run(t, func() bool { return f.missingLayers() == 0 })
		all := first + f.run(t, func() bool {
			return !slices.ContainsFunc(f.members, func(m model.Member) bool { return m.Span.To == m.Span.From })
		})
		// All engines together hold less than 4 copies of the model, of which the store serves 6 at once.
		allLoads := 4 * f.profile.LoadTime / 6
		t.Logf("seed %d: the first zone serves after %s, all engines hold layers after %s; at most %d loads at once", seed, first, all, f.most)
		assert.Assert(t, first < settleDelay+allLoads*2/3, "the first zone serves after %s", first)
		assert.Assert(t, all < settleDelay+allLoads*3/2, "all engines hold layers after %s", all)
		assert.Assert(t, f.most <= f.profile.LoadsAtOnce, "%d loads at once", f.most)
	}
}

// TestLoadsBeforeFirstRequestAreNotLimited guards against a slow start of a fleet: no caller waits for the first chain.
func TestLoadsBeforeFirstRequestAreNotLimited(t *testing.T) {
	f := restartedFleet(1)
	f.planner.LimitLoads = false
	f.run(t, func() bool { return f.most > 0 })
	assert.Equal(t, f.most, len(f.members))
}

// TestExpectedEndOfOutageCountsOtherLoads guards against an outage's expected end that has passed while the layers still
// load: callers then waited for nothing instead of being told when to come back.
func TestExpectedEndOfOutageCountsOtherLoads(t *testing.T) {
	for name, limited := range map[string]bool{"six at once": true, "all at once": false} {
		t.Run(name, func(t *testing.T) {
			f := restartedFleet(1)
			f.planner.LimitLoads, f.rng = limited, nil
			f.run(t, func() bool { return f.most > 0 })
			expected := f.outageEnd
			assert.Assert(t, !expected.IsZero(), "no end is expected")
			f.run(t, func() bool { return f.outageEnd.IsZero() })
			assert.Assert(t, missingLayers(holdersByLayer(f.profile, f.planner.liveEngines(f.now, f.profile, f.members))) == 0, "no end is expected, and layers are missing")
			late := f.now.Sub(expected)
			assert.Assert(t, late <= time.Second && late >= -time.Second, "%s later than expected", late)
		})
	}
}
