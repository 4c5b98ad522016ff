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

// members returns a platform's list of n daemons.
func members(n int) []model.Member {
	var list []model.Member
	for i := range n {
		list = append(list, model.Member{ID: fmt.Sprintf("d%02d", i), Role: model.Daemon})
	}
	return list
}

// TestGossipConverges checks that all daemons end up with the newest owner of each
// shard, whichever pairs exchange gossip in whatever order, and that an older claim
// never replaces a newer one.
func TestGossipConverges(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		states := make([]*State, 5)
		for i := range states {
			states[i] = New(model.DaemonID(fmt.Sprintf("d%02d", i)))
			states[i].ApplyList(members(5))
		}
		newestClaims := map[int]Ownership{}
		randomState := func(t *rapid.T) *State { return states[rapid.IntRange(0, 4).Draw(t, "daemon")] }
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				s, shard := randomState(t), rapid.IntRange(0, 2).Draw(t, "shard")
				o := Ownership{Shard: shard, Epoch: newestClaims[shard].Epoch + 1, Daemon: s.self}
				newestClaims[shard] = o
				s.SetOwned(o)
			},
			"release": func(t *rapid.T) {
				shard := rapid.IntRange(0, 2).Draw(t, "shard")
				if o := newestClaims[shard]; o.Epoch > 0 {
					o.Released = true
					newestClaims[shard] = o
					randomState(t).SetOwned(o)
				}
			},
			"send gossip": func(t *rapid.T) { randomState(t).Merge(now, randomState(t).Gossip(0)) },
			"":            func(*rapid.T) { now = now.Add(time.Second) },
		})
		for range len(states) {
			for _, a := range states {
				for _, b := range states {
					a.Merge(now, b.Gossip(0))
				}
			}
		}
		for _, s := range states {
			for shard, want := range newestClaims {
				assert.Equal(t, s.owners[shard], want)
			}
		}
	})
}

// TestLiveRequiresRecentHeartbeatAndLease checks that a daemon is live only while its
// heartbeat count increases, it holds a lease and the list does not mark it as leaving.
// An empty list is ignored.
func TestLiveRequiresRecentHeartbeatAndLease(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	self, other := New("d00"), New("d01")
	list := members(3)
	self.ApplyList(list)
	other.ApplyList(list)
	self.SetSelf(now, true)
	other.SetSelf(now, true)
	self.Merge(now, other.Gossip(3))
	assert.DeepEqual(t, self.Live(now), []model.DaemonID{"d00", "d01"})

	// A repeated heartbeat with the same count does not keep a daemon live.
	later := now.Add(livenessTimeout)
	self.SetSelf(later, true)
	self.Merge(later, other.Gossip(3))
	assert.DeepEqual(t, self.Live(later), []model.DaemonID{"d00"})

	// A daemon that has no lease or is leaving may not own shards.
	other.SetSelf(later, false)
	self.Merge(later, other.Gossip(3))
	assert.DeepEqual(t, self.Live(later), []model.DaemonID{"d00"})
	other.SetSelf(later, true)
	self.Merge(later, other.Gossip(3))
	list[1].State = model.Leaving
	self.ApplyList(list)
	assert.DeepEqual(t, self.Live(later), []model.DaemonID{"d00"})
	self.ApplyList(nil)
	assert.Equal(t, self.Count(), 3)
}

// TestGossipSizeIsBounded checks that the size of a gossip message does not grow with
// the fleet.
func TestGossipSizeIsBounded(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := New("d00")
	s.ApplyList(members(390))
	for i := range 390 {
		s.Merge(now, Gossip{Heartbeats: []Heartbeat{{Daemon: model.DaemonID(fmt.Sprintf("d%02d", i)), Count: 1, CanOwn: true}}})
	}
	s.SetSelf(now, true)
	assert.Assert(t, len(s.Gossip(1).Heartbeats) <= maxCandidates+1)
	assert.Assert(t, len(s.Live(now)) <= maxCandidates)
}

// TestPreferredReassignsOnlyKeysOfRemovedDaemon checks that removing a daemon leaves the
// keys of all other daemons where they are.
func TestPreferredReassignsOnlyKeysOfRemovedDaemon(t *testing.T) {
	daemons := []model.DaemonID{"a", "b", "c", "d"}
	for i := range 64 {
		key := fmt.Sprintf("shard/%d", i)
		before, after := Preferred(key, daemons), Preferred(key, daemons[:3])
		assert.Assert(t, before == "d" || before == after)
	}
	assert.Equal(t, Preferred("x", nil), model.DaemonID(""))
}
