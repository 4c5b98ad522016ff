// Package fleet tracks the other daemons by gossip: which are live, which shards they
// own and which revision of the settings they have. A daemon forwards what it learns.
package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushpond.example/bulrushpond/pkg/model"
)

const (
	// livenessTimeout is how long a daemon counts as live after its heartbeat count last
	// increased.
	livenessTimeout = 5 * time.Second
	// maxCandidates bounds the daemons that may own shards, so that the size of a
	// gossip message does not grow with the fleet.
	maxCandidates = 24
	// maxShards bounds the table of shard owners; the settings allow no more shards.
	maxShards = 256
)

// Heartbeat is a daemon's heartbeat.
type Heartbeat struct {
	Daemon model.DaemonID `cbor:"1,keyasint"`
	// Count increases by one per second and starts from the clock, so that it also
	// increases across a restart.
	Count uint64 `cbor:"2,keyasint"`
	// CanOwn is whether the daemon holds a lease and is not stopping.
	CanOwn bool `cbor:"3,keyasint"`
}

// Ownership is a daemon's claim on a shard or the release of that claim.
type Ownership struct {
	Shard int `cbor:"1,keyasint"`
	// Epoch is the owner's fencing token; a higher one is newer.
	Epoch  uint64         `cbor:"2,keyasint"`
	Daemon model.DaemonID `cbor:"3,keyasint"`
	// Released marks a release, which is newer than the claim of the same epoch.
	Released bool `cbor:"4,keyasint,omitempty"`
}

// newer reports whether o replaces other.
func (o Ownership) newer(other Ownership) bool {
	if o.Epoch != other.Epoch {
		return o.Epoch > other.Epoch
	}
	return o.Released && !other.Released
}

// Gossip is the message that daemons exchange.
type Gossip struct {
	From       model.DaemonID `cbor:"1,keyasint"`
	Revision   model.Revision `cbor:"2,keyasint"`
	Heartbeats []Heartbeat    `cbor:"3,keyasint"`
	Owners     []Ownership    `cbor:"4,keyasint"`
	// Reports are the engine reports that changed recently.
	Reports []model.Report `cbor:"5,keyasint,omitempty"`
}

type heartbeatEntry struct {
	heartbeat   Heartbeat
	increasedAt time.Time
}

// State is one daemon's knowledge of the fleet.
type State struct {
	self       model.DaemonID
	members    map[model.DaemonID]model.Member
	heartbeats map[model.DaemonID]heartbeatEntry
	owners     map[int]Ownership
	// nextPeer counts through the peers for round-robin gossip.
	nextPeer int
}

// New returns the state of a daemon that knows only itself.
func New(self model.DaemonID) *State {
	return &State{self: self, members: map[model.DaemonID]model.Member{}, heartbeats: map[model.DaemonID]heartbeatEntry{}, owners: map[int]Ownership{}}
}

// ApplyList applies the platform's list. A list without daemons is ignored, as it is
// likelier to be a failure of the platform.
func (st *State) ApplyList(list []model.Member) {
	members := map[model.DaemonID]model.Member{}
	for _, m := range list {
		if m.Role == model.Daemon {
			members[model.DaemonID(m.ID)] = m
		}
	}
	if len(members) == 0 {
		return
	}
	st.members = members
	for id := range st.heartbeats {
		if _, ok := members[id]; !ok && id != st.self {
			delete(st.heartbeats, id)
		}
	}
}

// Count returns the number of listed daemons, at least 1; they share the limits.
func (st *State) Count() int { return max(1, len(st.members)) }

// Member returns a daemon's entry in the platform's list.
func (st *State) Member(id model.DaemonID) (model.Member, bool) {
	m, ok := st.members[id]
	return m, ok
}

// Peers returns the other listed daemons, sorted by ID.
func (st *State) Peers() []model.DaemonID {
	peers := slices.Sorted(maps.Keys(st.members))
	return slices.DeleteFunc(peers, func(id model.DaemonID) bool { return id == st.self })
}

// NextPeers returns up to n peers to gossip with next, round robin.
func (st *State) NextPeers(n int) []model.DaemonID {
	peers := st.Peers()
	if len(peers) <= n {
		return peers
	}
	var next []model.DaemonID
	for range n {
		next = append(next, peers[st.nextPeer%len(peers)])
		st.nextPeer++
	}
	return next
}

// Candidates returns the daemons that may own shards, at most maxCandidates. All listed
// daemons with the same list choose the same ones.
func (st *State) Candidates() []model.DaemonID {
	all := slices.Sorted(maps.Keys(st.members))
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

// SetSelf increases this daemon's own heartbeat count.
func (st *State) SetSelf(now time.Time, canOwn bool) {
	count := max(st.heartbeats[st.self].heartbeat.Count+1, uint64(now.Unix()))
	st.heartbeats[st.self] = heartbeatEntry{heartbeat: Heartbeat{Daemon: st.self, Count: count, CanOwn: canOwn}, increasedAt: now}
}

// SetOwned records this daemon's claim on a shard, or the release of that claim.
func (st *State) SetOwned(o Ownership) {
	if o.newer(st.owners[o.Shard]) {
		st.owners[o.Shard] = o
	}
}

// Merge merges a peer's gossip and returns the shards that it newly reports as released.
func (st *State) Merge(now time.Time, g Gossip) (released []int) {
	for _, b := range g.Heartbeats {
		previous, known := st.heartbeats[b.Daemon]
		if b.Daemon != st.self && (!known || b.Count > previous.heartbeat.Count) {
			st.heartbeats[b.Daemon] = heartbeatEntry{heartbeat: b, increasedAt: now}
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

// Gossip returns the gossip to send to a peer.
func (st *State) Gossip(revision model.Revision) Gossip {
	g := Gossip{From: st.self, Revision: revision}
	for _, id := range st.Candidates() {
		if entry, ok := st.heartbeats[id]; ok {
			g.Heartbeats = append(g.Heartbeats, entry.heartbeat)
		}
	}
	if entry, ok := st.heartbeats[st.self]; ok && !slices.ContainsFunc(g.Heartbeats, func(b Heartbeat) bool { return b.Daemon == st.self }) {
		g.Heartbeats = append(g.Heartbeats, entry.heartbeat)
	}
	for _, shard := range slices.Sorted(maps.Keys(st.owners)) {
		g.Owners = append(g.Owners, st.owners[shard])
	}
	return g
}

// Live returns the candidates that may own a shard now, sorted by ID.
func (st *State) Live(now time.Time) []model.DaemonID {
	var live []model.DaemonID
	for _, id := range st.Candidates() {
		entry, beating := st.heartbeats[id]
		if m, known := st.members[id]; known && m.State == model.Leaving {
			continue
		}
		if beating && entry.heartbeat.CanOwn && now.Sub(entry.increasedAt) < livenessTimeout {
			live = append(live, id)
		}
	}
	slices.Sort(live)
	return live
}

// ReportReaders returns the daemons that share the reading of engine reports, sorted by ID:
// the listed live daemons without those whose heartbeat has expired.
func (st *State) ReportReaders(now time.Time) []model.DaemonID {
	var readers []model.DaemonID
	for id, m := range st.members {
		entry, known := st.heartbeats[id]
		if m.State == model.Live && (!known || now.Sub(entry.increasedAt) < livenessTimeout) {
			readers = append(readers, id)
		}
	}
	slices.Sort(readers)
	return readers
}

// Owner returns the last known owner of a shard.
func (st *State) Owner(shard int) (model.DaemonID, bool) {
	o, ok := st.owners[shard]
	return o.Daemon, ok && !o.Released
}

// Owners returns the last known owner of each shard.
func (st *State) Owners() map[int]model.DaemonID {
	owners := map[int]model.DaemonID{}
	for shard, o := range st.owners {
		if !o.Released {
			owners[shard] = o.Daemon
		}
	}
	return owners
}
