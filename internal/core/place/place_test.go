package place

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpond.example/bulrushpond/internal/proof"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

// profile describes a model of 80 layers and three kinds of engines.
func profile() *setts.EngineProfile {
	return &setts.EngineProfile{
		Layers: 80, LayerBytes: 1750e6, TokenBytes: 590e3, Slots: 192, LoadTime: 14 * time.Second, MeanPromptTokens: 775, MeanAnswerTokens: 216,
		StepTime: time.Millisecond, Kinds: map[string]setts.EngineKind{
			"large": {Bytes: 72e9, StepTimeFactor: 2.4}, "small": {Bytes: 14.4e9, StepTimeFactor: 5.3}, "slow": {Bytes: 21.6e9, StepTimeFactor: 16},
		},
	}
}

// fakeFleet is a planner and engines that carry out its orders at once.
type fakeFleet struct {
	now        time.Time
	planner    *State
	profile    *setts.EngineProfile
	members    []model.Member
	orderCount int
	lastID     int
}

// newFleet returns a fleet without engines.
func newFleet() *fakeFleet {
	return &fakeFleet{now: time.Unix(1_000_000, 0), planner: New(), profile: profile()}
}

func (f *fakeFleet) add(zone, kind string, n int) {
	for range n {
		f.lastID++
		f.members = append(f.members, model.Member{ID: fmt.Sprintf("e%d", f.lastID), Zone: zone, Kind: kind, Role: model.Engine})
	}
}

func (f *fakeFleet) member(id model.ServerID) *model.Member {
	for i := range f.members {
		if f.members[i].ID == string(id) {
			return &f.members[i]
		}
	}
	return nil
}

// run ticks the planner every 100 ms for a duration and carries out the orders, except
// those for which lost returns true.
func (f *fakeFleet) run(t assert.TestingT, d time.Duration, lost func() bool) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(100 * time.Millisecond) {
		for _, o := range f.planner.Tick(f.now, f.profile, f.members) {
			m := f.member(o.Server)
			room := f.profile.CacheTokens(m.Kind, o.Span.To-o.Span.From)
			assert.Assert(t, room > 0 && o.Span.From >= 0 && o.Span.To <= f.profile.Layers, "order %v is out of range or leaves no room for caches on a %s engine", o, m.Kind)
			f.orderCount++
			if !lost() {
				m.Span = o.Span
			}
		}
	}
}

func noneLost() bool { return false }

// missingLayers counts the layers of zone "a" that no live engine there holds.
func (f *fakeFleet) missingLayers() int {
	held := make([]int, f.profile.Layers)
	for _, m := range f.members {
		if m.Zone == "a" && m.State == model.Live {
			for l := m.Span.From; l < min(m.Span.To, len(held)) && m.ID != "foreign"; l++ {
				held[l]++
			}
		}
	}
	missing := 0
	for _, h := range held {
		if h == 0 {
			missing++
		}
	}
	return missing
}

// mixedZone returns a fleet with one zone that has engines of all kinds.
func mixedZone() *fakeFleet {
	f := newFleet()
	f.add("a", "large", 1)
	f.add("a", "small", 10)
	f.add("a", "slow", 4)
	return f
}

// TestZoneHoldsChain checks that a zone with enough memory comes to hold every layer, that
// each engine keeps room for the caches of many requests, and that no order follows then.
func TestZoneHoldsChain(t *testing.T) {
	f := mixedZone()
	f.run(t, 4*time.Second, noneLost)
	assert.Equal(t, f.missingLayers(), 0)
	for _, m := range f.members {
		room := f.profile.CacheTokens(m.Kind, m.Span.To-m.Span.From)
		assert.Assert(t, room >= 100*991, "%s has room for %f tokens", m.ID, room)
	}
	ordersBefore := f.orderCount
	f.run(t, 20*time.Second, noneLost)
	assert.Equal(t, f.orderCount, ordersBefore)
}

// TestLostLayersAreTakenOver guards against layers that stay missing after an engine
// crashed for good: engines whose layers have other holders must take them over, with at
// most two orders.
func TestLostLayersAreTakenOver(t *testing.T) {
	f := mixedZone()
	f.run(t, 4*time.Second, noneLost)
	ordersBefore := f.orderCount
	for i, m := range f.members {
		if m.Kind == "small" {
			f.members = append(f.members[:i], f.members[i+1:]...)
			break
		}
	}
	assert.Assert(t, f.missingLayers() > 0)
	f.run(t, 2*time.Second, noneLost)
	assert.Equal(t, f.missingLayers(), 0)
	assert.Assert(t, f.orderCount-ordersBefore <= 2, "%d orders", f.orderCount-ordersBefore)
}

// TestLostLayersAreTakenOverWhileAnEngineLoads: an engine crashes while another one that has just
// joined still loads its layers. The lost layers are taken over at once, not only when no order
// is pending any more.
func TestLostLayersAreTakenOverWhileAnEngineLoads(t *testing.T) {
	f := mixedZone()
	f.run(t, 4*time.Second, noneLost)
	f.add("a", "small", 1)
	f.run(t, 200*time.Millisecond, func() bool { return true })
	assert.Equal(t, f.members[len(f.members)-1].Span, model.Span{}, "it still loads")
	for i, m := range f.members {
		if m.Kind == "small" {
			f.members = slices.Delete(f.members, i, i+1)
			break
		}
	}
	assert.Assert(t, f.missingLayers() > 0)
	f.run(t, time.Second, noneLost)
	assert.Equal(t, f.missingLayers(), 0)
}

// largeZone returns a fleet whose zone has memory for several copies of the model.
func largeZone() *fakeFleet {
	f := newFleet()
	f.add("a", "large", 4)
	f.add("a", "small", 10)
	f.add("a", "slow", 11)
	return f
}

// roomBalance returns the room on the layer with the least room, divided by the mean over
// all layers.
func (f *fakeFleet) roomBalance() float64 {
	room := roomByLayer(f.profile, f.planner.liveEngines(f.now, f.profile, f.members), nil)
	least, sum := room[0], 0.0
	for _, tokens := range room {
		least, sum = min(least, tokens), sum+tokens
	}
	return least * float64(len(room)) / sum
}

// TestRoomIsBalanced guards against uneven room in a large zone that is short of memory:
// streams need room on every layer, so the scarcest layer limits what the zone serves.
func TestRoomIsBalanced(t *testing.T) {
	f := largeZone()
	f.run(t, 10*time.Second, noneLost)
	assert.Assert(t, f.roomBalance() >= 0.8, "room balance %f", f.roomBalance())
	ordersBefore := f.orderCount
	f.run(t, 20*time.Second, noneLost)
	assert.Equal(t, f.orderCount, ordersBefore)
}

// TestScarceLayersGainRoom guards against layers that stay scarce after several holders of
// the same layers crashed. Every layer still has a holder, but engines must move to those
// with far less room than the others.
func TestScarceLayersGainRoom(t *testing.T) {
	f := largeZone()
	f.run(t, 10*time.Second, noneLost)
	lost := 0
	f.members = slices.DeleteFunc(f.members, func(m model.Member) bool {
		remove := m.Span.From <= 40 && m.Span.To > 40 && lost < 2
		if remove {
			lost++
		}
		return remove
	})
	balanceBefore, ordersBefore := f.roomBalance(), f.orderCount
	assert.Assert(t, balanceBefore < 0.6, "room balance %f", balanceBefore)
	f.run(t, 20*time.Second, noneLost)
	assert.Assert(t, f.roomBalance() >= 0.7, "room balance %f before, %f after", balanceBefore, f.roomBalance())
	assert.Assert(t, f.orderCount-ordersBefore <= 6, "%d orders", f.orderCount-ordersBefore)
}

// TestEmptyEngineGetsLayers checks that an engine that joins without layers gets some.
func TestEmptyEngineGetsLayers(t *testing.T) {
	f := mixedZone()
	f.run(t, 4*time.Second, noneLost)
	f.add("a", "small", 1)
	f.run(t, time.Second, noneLost)
	assert.Assert(t, f.members[len(f.members)-1].Span.To > 0)
}

// TestSmallZonesShareChain checks that zones that can't hold a chain of their own share
// one.
func TestSmallZonesShareChain(t *testing.T) {
	f := newFleet()
	f.add("a", "large", 2)
	f.add("b", "large", 2)
	f.run(t, 8*time.Second, noneLost)
	held := map[int]bool{}
	for _, m := range f.members {
		for l := m.Span.From; l < m.Span.To; l++ {
			held[l] = true
		}
	}
	assert.Equal(t, len(held), f.profile.Layers)
}

// TestPlacementInvariants checks that no order exceeds an engine's memory while engines
// join, crash, restart and lose orders, and that afterwards the zone holds a chain if its
// memory allows.
func TestPlacementInvariants(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		f := newFleet()
		f.add("a", "large", 2)
		f.add("a", "small", 6)
		f.add("a", "slow", 4)
		lost := func() bool { return rapid.IntRange(0, 9).Draw(t, "lost") == 0 }
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				f.run(t, time.Duration(rapid.IntRange(1, 30).Draw(t, "ticks"))*100*time.Millisecond, lost)
			},
			"crash": func(t *rapid.T) {
				if len(f.members) > 8 {
					i := rapid.IntRange(0, len(f.members)-1).Draw(t, "engine")
					f.members = append(f.members[:i], f.members[i+1:]...)
				}
			},
			"restart empty": func(t *rapid.T) {
				i := rapid.IntRange(0, len(f.members)-1).Draw(t, "engine")
				f.lastID++
				f.members[i].ID, f.members[i].Span = fmt.Sprintf("e%d", f.lastID), model.Span{}
			},
			"join": func(t *rapid.T) {
				if len(f.members) < 20 {
					f.add("a", rapid.SampledFrom([]string{"large", "small", "slow"}).Draw(t, "kind"), 1)
				}
			},
			"new owner": func(*rapid.T) { f.planner = New() },
		})
		f.run(t, 30*time.Second, noneLost)
		engines := f.planner.liveEngines(f.now, f.profile, f.members)
		if modelCopies(f.profile, engines, targetRoom(f.profile, engines)) >= targetCopies && missingLayersCoverable(f) {
			assert.Equal(t, f.missingLayers(), 0)
		}
	})
}

// missingLayersCoverable reports whether some engine could take over missing layers without
// leaving others without a holder: it is empty, or its layers have other holders.
func missingLayersCoverable(f *fakeFleet) bool {
	engines := f.planner.liveEngines(f.now, f.profile, f.members)
	holders := holdersByLayer(f.profile, engines)
	for _, e := range engines {
		if e.empty() || heldElsewhere(holders, e.span) {
			return true
		}
	}
	return false
}

// TestOutageEndFollowsOrders guards against an outage of unknown length while the missing layers are being loaded, and
// against an end that is told although no engine loads them.
func TestOutageEndFollowsOrders(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p := profile()
	st := New()
	members := []model.Member{{ID: "a", Span: model.Span{From: 40, To: 80}}, {ID: "b"}, {ID: "c"}}
	assert.Assert(t, st.OutageEnd(now, p, members).IsZero())
	st.orders["b"] = pendingOrder{span: model.Span{From: 0, To: 30}, loadedAt: now.Add(5 * time.Second)}
	assert.Assert(t, st.OutageEnd(now, p, members).IsZero())
	st.orders["c"] = pendingOrder{span: model.Span{From: 20, To: 45}, loadedAt: now.Add(3 * time.Second)}
	assert.Equal(t, st.OutageEnd(now, p, members), now.Add(5*time.Second))
	assert.Equal(t, st.OutageEnd(now.Add(4*time.Second), p, members), time.Time{})
	members[2].Span = model.Span{From: 20, To: 45}
	assert.Equal(t, st.OutageEnd(now.Add(4*time.Second), p, members), now.Add(5*time.Second))
	members[1].Span = model.Span{From: 0, To: 30}
	assert.Assert(t, st.OutageEnd(now, p, members).IsZero())
	members[1].State = model.Leaving
	delete(st.orders, "b")
	assert.Assert(t, st.OutageEnd(now, p, members).IsZero())
}

// TestLayersBeyondModel guards against a planner that fails on an entry with layers that the model does not have, in
// any position relative to the model: the engines of the group still get the layers that a crash left missing.
func TestLayersBeyondModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		f.add("a", "large", 5)
		f.run(t, 10*time.Second, noneLost)
		assert.Equal(t, f.missingLayers(), 0)
		from := rapid.IntRange(0, 200).Draw(t, "from")
		to := rapid.OneOf(rapid.IntRange(from+1, 400), rapid.Just(math.MaxInt)).Draw(t, "to")
		f.members = append(f.members, model.Member{ID: "foreign", Zone: "a", Kind: "large", Role: model.Engine, Span: model.Span{From: from, To: max(f.profile.Layers+1, to)}})
		crashed := rapid.IntRange(0, 4).Draw(t, "crashed")
		f.members = slices.Delete(f.members, crashed, crashed+1)
		f.run(t, time.Second, noneLost)
		f.add("a", "large", 1)
		f.run(t, 10*time.Second, noneLost)
		assert.Equal(t, f.missingLayers(), 0)
	})
}
