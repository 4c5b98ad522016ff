// Package fleet knows the other daemons: who is live, who owns which shard, and
// who has which revision of the settings. What one daemon learns it hands on.
package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushpond.example/bulrushpond/pkg/model"
)

const (
	// liveFor is how long a daemon counts as live after its beat last rose.
	liveFor = 5 * time.Second
	// maxCandidates bounds the daemons that may own shards, so that what
	// daemons tell each other does not grow with the fleet.
	maxCandidates = 24
	// maxShards bounds the table of owners; the settings allow no more.
	maxShards = 256
)

// Beat is a daemon's heartbeat.
type Beat struct {
	Daemon model.DaemonID `cbor:"1,keyasint"`
	// Count rises by one a second and starts from the clock, so that it also
	// rises over a restart.
	Count uint64 `cbor:"2,keyasint"`
	// CanOwn is whether the daemon holds a lease and is not stopping.
	CanOwn bool `cbor:"3,keyasint"`
}

// Ownership is a daemon's claim on a shard, or its release.
type Ownership struct {
	Shard int `cbor:"1,keyasint"`
	// Epoch is the owner's fencing number: a higher one is newer.
	Epoch  uint64         `cbor:"2,keyasint"`
	Daemon model.DaemonID `cbor:"3,keyasint"`
	// Released is newer than the same epoch without it.
	Released bool `cbor:"4,keyasint,omitempty"`
}

// newer reports whether an ownership replaces another.
func (o Ownership) newer(than Ownership) bool {
	if o.Epoch != than.Epoch {
		return o.Epoch > than.Epoch
	}
	return o.Released && !than.Released
}

// Gossip is what daemons tell each other.
type Gossip struct {
	From     model.DaemonID `cbor:"1,keyasint"`
	Revision model.Revision `cbor:"2,keyasint"`
	Beats    []Beat         `cbor:"3,keyasint"`
	Owners   []Ownership    `cbor:"4,keyasint"`
	// Reports are what engines said that changed just now.
	Reports []model.Report `cbor:"5,keyasint,omitempty"`
}

type beatRow struct {
	beat Beat
	rose time.Time
}

// State is what one daemon knows of the others.
type State struct {
	self   model.DaemonID
	listed map[model.DaemonID]model.Member
	beats  map[model.DaemonID]beatRow
	owners map[int]Ownership
	// turn is whose turn it is among the peers.
	turn int
}

// New returns the state of a daemon that knows only itself.
func New(self model.DaemonID) *State {
	return &State{self: self, listed: map[model.DaemonID]model.Member{}, beats: map[model.DaemonID]beatRow{}, owners: map[int]Ownership{}}
}

// ApplyList takes in the platform's list. An empty list is not believed.
func (st *State) ApplyList(list []model.Member) {
	listed := map[model.DaemonID]model.Member{}
	for _, m := range list {
		if m.Role == model.Daemon {
			listed[model.DaemonID(m.ID)] = m
		}
	}
	if len(listed) == 0 {
		return
	}
	st.listed = listed
	for id := range st.beats {
		if _, ok := listed[id]; !ok && id != st.self {
			delete(st.beats, id)
		}
	}
}

// Count is the number of daemons that share limits.
func (st *State) Count() int { return max(1, len(st.listed)) }

// Member returns a daemon's row in the platform's list.
func (st *State) Member(id model.DaemonID) (model.Member, bool) {
	m, ok := st.listed[id]
	return m, ok
}

// Peers returns the other daemons in order.
func (st *State) Peers() []model.DaemonID {
	peers := slices.Sorted(maps.Keys(st.listed))
	return slices.DeleteFunc(peers, func(id model.DaemonID) bool { return id == st.self })
}

// NextPeers returns the daemons to talk to now, in turn.
func (st *State) NextPeers(n int) []model.DaemonID {
	peers := st.Peers()
	if len(peers) <= n {
		return peers
	}
	var next []model.DaemonID
	for range n {
		next = append(next, peers[st.turn%len(peers)])
		st.turn++
	}
	return next
}

// Candidates returns the daemons that may own shards.
func (st *State) Candidates() []model.DaemonID {
	all := slices.Sorted(maps.Keys(st.listed))
	if !slices.Contains(all, st.self) {
		all = append(all, st.self)
	}
	if len(all) <= maxCandidates {
		return all
	}
	slices.SortFunc(all, func(a, b model.DaemonID) int {
		if xxhash.Sum64String(string(a)) < xxhash.Sum64String(string(b)) {
			return -1
		}
		return 1
	})
	return all[:maxCandidates]
}

// SetSelf renews this daemon's own beat.
func (st *State) SetSelf(now time.Time, canOwn bool) {
	count := max(st.beats[st.self].beat.Count+1, uint64(now.Unix()))
	st.beats[st.self] = beatRow{beat: Beat{Daemon: st.self, Count: count, CanOwn: canOwn}, rose: now}
}

// SetOwned records this daemon's claim on a shard, or its release.
func (st *State) SetOwned(o Ownership) {
	if o.newer(st.owners[o.Shard]) {
		st.owners[o.Shard] = o
	}
}

// Merge takes in what a peer told and returns the shards that were released.
func (st *State) Merge(now time.Time, g Gossip) (released []int) {
	for _, b := range g.Beats {
		was, known := st.beats[b.Daemon]
		if b.Daemon != st.self && (!known || b.Count > was.beat.Count) {
			st.beats[b.Daemon] = beatRow{beat: b, rose: now}
		}
	}
	for _, o := range g.Owners {
		if o.Shard < 0 || o.Shard >= maxShards || !o.newer(st.owners[o.Shard]) {
			continue
		}
		st.owners[o.Shard] = o
		if o.Released {
			released = append(released, o.Shard)
		}
	}
	return released
}

// Tell returns what to tell a peer.
func (st *State) Tell(revision model.Revision) Gossip {
	g := Gossip{From: st.self, Revision: revision}
	for _, id := range st.Candidates() {
		if row, ok := st.beats[id]; ok {
			g.Beats = append(g.Beats, row.beat)
		}
	}
	if row, ok := st.beats[st.self]; ok && !slices.ContainsFunc(g.Beats, func(b Beat) bool { return b.Daemon == st.self }) {
		g.Beats = append(g.Beats, row.beat)
	}
	for _, shard := range slices.Sorted(maps.Keys(st.owners)) {
		g.Owners = append(g.Owners, st.owners[shard])
	}
	return g
}

// Live returns the candidates that may own a shard now.
func (st *State) Live(now time.Time) []model.DaemonID {
	var live []model.DaemonID
	for _, id := range st.Candidates() {
		row, ok := st.beats[id]
		if m, listed := st.listed[id]; listed && m.State == model.Leaving {
			continue
		}
		if ok && row.beat.CanOwn && now.Sub(row.rose) < liveFor {
			live = append(live, id)
		}
	}
	slices.Sort(live)
	return live
}

// Readers returns the daemons that share the reading of reports: all that the
// list names, but those that are known to be silent.
func (st *State) Readers(now time.Time) []model.DaemonID {
	var readers []model.DaemonID
	for id, m := range st.listed {
		row, known := st.beats[id]
		if m.State == model.Live && (!known || now.Sub(row.rose) < liveFor) {
			readers = append(readers, id)
		}
	}
	slices.Sort(readers)
	return readers
}

// Owner returns who owns a shard, as far as is known.
func (st *State) Owner(shard int) (model.DaemonID, bool) {
	o, ok := st.owners[shard]
	return o.Daemon, ok && !o.Released
}

// Owners returns all known owners.
func (st *State) Owners() map[int]model.DaemonID {
	owners := map[int]model.DaemonID{}
	for shard, o := range st.owners {
		if !o.Released {
			owners[shard] = o.Daemon
		}
	}
	return owners
}
