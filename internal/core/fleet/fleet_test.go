package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpond.example/bulrushpond/internal/proof"
	"bulrushpond.example/bulrushpond/pkg/model"
)

func members(n int) []model.Member {
	var list []model.Member
	for i := range n {
		list = append(list, model.Member{ID: fmt.Sprintf("d%02d", i), Role: model.Daemon})
	}
	return list
}

// TestGossipConverges: whatever pairs talk in whatever order, in the end all know
// the same owners, and an older claim never replaces a newer one.
func TestGossipConverges(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		states := make([]*State, 5)
		for i := range states {
			states[i] = New(model.DaemonID(fmt.Sprintf("d%02d", i)))
			states[i].ApplyList(members(5))
		}
		newest := map[int]Ownership{}
		some := func(t *rapid.T) *State { return states[rapid.IntRange(0, 4).Draw(t, "daemon")] }
		t.Repeat(map[string]func(*rapid.T){
			"own": func(t *rapid.T) {
				s, shard := some(t), rapid.IntRange(0, 2).Draw(t, "shard")
				o := Ownership{Shard: shard, Epoch: newest[shard].Epoch + 1, Daemon: s.self}
				newest[shard] = o
				s.SetOwned(o)
			},
			"release": func(t *rapid.T) {
				shard := rapid.IntRange(0, 2).Draw(t, "shard")
				if o := newest[shard]; o.Epoch > 0 {
					o.Released = true
					newest[shard] = o
					some(t).SetOwned(o)
				}
			},
			"talk": func(t *rapid.T) { some(t).Merge(now, some(t).Tell(0)) },
			"":     func(*rapid.T) { now = now.Add(time.Second) },
		})
		for range len(states) {
			for _, a := range states {
				for _, b := range states {
					a.Merge(now, b.Tell(0))
				}
			}
		}
		for _, s := range states {
			for shard, want := range newest {
				assert.Equal(t, s.owners[shard], want)
			}
		}
	})
}

func TestLive(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	me, other := New("d00"), New("d01")
	list := members(3)
	me.ApplyList(list)
	other.ApplyList(list)
	me.SetSelf(now, true)
	other.SetSelf(now, true)
	me.Merge(now, other.Tell(3))
	assert.DeepEqual(t, me.Live(now), []model.DaemonID{"d00", "d01"})

	// A beat that is only repeated does not keep a daemon live.
	later := now.Add(liveFor)
	me.SetSelf(later, true)
	me.Merge(later, other.Tell(3))
	assert.DeepEqual(t, me.Live(later), []model.DaemonID{"d00"})

	// A daemon without a lease, or leaving, may not own.
	other.SetSelf(later, false)
	me.Merge(later, other.Tell(3))
	assert.DeepEqual(t, me.Live(later), []model.DaemonID{"d00"})
	other.SetSelf(later, true)
	me.Merge(later, other.Tell(3))
	list[1].State = model.Leaving
	me.ApplyList(list)
	assert.DeepEqual(t, me.Live(later), []model.DaemonID{"d00"})
	me.ApplyList(nil)
	assert.Equal(t, me.Count(), 3)
}

// TestGossipIsBounded: what daemons tell each other does not grow with the fleet.
func TestGossipIsBounded(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := New("d00")
	s.ApplyList(members(390))
	for i := range 390 {
		s.Merge(now, Gossip{Beats: []Beat{{Daemon: model.DaemonID(fmt.Sprintf("d%02d", i)), Count: 1, CanOwn: true}}})
	}
	s.SetSelf(now, true)
	assert.Assert(t, len(s.Tell(1).Beats) <= maxCandidates+1)
	assert.Assert(t, len(s.Live(now)) <= maxCandidates)
}

// TestPreferredMovesOnlyTheLeavers: only what the leaver looked after moves.
func TestPreferredMovesOnlyTheLeavers(t *testing.T) {
	all := []model.DaemonID{"a", "b", "c", "d"}
	for i := range 64 {
		thing := fmt.Sprintf("shard/%d", i)
		before, after := Preferred(thing, all), Preferred(thing, all[:3])
		assert.Assert(t, before == "d" || before == after)
	}
	assert.Equal(t, Preferred("x", nil), model.DaemonID(""))
}
