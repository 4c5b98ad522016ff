// Package roster keeps the backend servers that a daemon may use, from their entries in the
// platform's key-value service and from their own answers. The service may come back from an
// older copy of itself; what the servers wrote since is then missing until they write again.
package roster

import (
	"iter"
	"maps"
	"time"

	"bulrushpond.example/bulrushpond/pkg/model"
)

// goneMemory is how long a removed server is remembered, so that an older copy of the
// service does not bring it back.
const goneMemory = time.Minute

// heldEntry is an entry from an older copy of the service that contradicts what is known.
type heldEntry struct {
	member model.Member
	// adoptAt is when the entry counts: a server that did not write it would have let it
	// expire by then.
	adoptAt time.Time
}

// State is the set of known servers. Use New.
type State struct {
	confirmDelay, lapsedHold time.Duration
	// members holds the servers by the key of their entry.
	members map[string]model.Member
	// keyAt holds the key of the member that was last adopted at each address.
	keyAt map[string]string
	// lapsedUntil holds the keys of members whose entry is missing after an outage or a
	// restore, with the time at which they are removed.
	lapsedUntil map[string]time.Time
	// held holds the entries that do not count yet, by key.
	held map[string]heldEntry
	// saidLeaving holds the IDs of servers whose answers said that they leave. An ID names
	// one start of a server, so it stays until the server is forgotten.
	saidLeaving map[string]struct{}
	// goneUntil holds the IDs of removed servers, with the time until which they are
	// remembered.
	goneUntil map[string]time.Time
}

// New returns an empty state. confirmDelay is how long an entry from an older copy of the
// service is held if it contradicts what is known; it must exceed the time after which an
// entry expires. lapsedHold is how long a live server is kept whose entry is missing after an
// outage or a restore.
func New(confirmDelay, lapsedHold time.Duration) *State {
	return &State{
		confirmDelay: confirmDelay, lapsedHold: lapsedHold, members: map[string]model.Member{}, keyAt: map[string]string{}, lapsedUntil: map[string]time.Time{},
		held: map[string]heldEntry{}, saidLeaving: map[string]struct{}{}, goneUntil: map[string]time.Time{},
	}
}

// Members returns the servers by the key of their entry.
func (st *State) Members() iter.Seq2[string, model.Member] { return maps.All(st.members) }

// Get returns the server of a key.
func (st *State) Get(key string) (model.Member, bool) {
	m, ok := st.members[key]
	return m, ok
}

// At returns the server at an address, the last one that an entry named if there are several.
func (st *State) At(address string) (model.Member, bool) {
	key, taken := st.keyAt[address]
	return st.members[key], taken
}

// Put applies a server's entry and reports whether it changed the servers. restored is set for
// an entry from the first snapshot after a restore of the service.
func (st *State) Put(now time.Time, key string, m model.Member, restored bool) bool {
	if restored && st.contradicts(key, m) {
		st.held[key] = heldEntry{member: m, adoptAt: now.Add(st.confirmDelay)}
		delete(st.lapsedUntil, key)
		return false
	}
	return st.adopt(now, key, m)
}

// Holds reports whether an entry from an older copy of the service is held for a key.
func (st *State) Holds(key string) bool {
	_, held := st.held[key]
	return held
}

// contradicts reports whether an entry from an older copy of the service contradicts what is
// known of the server. A server that leaves according to the copy still does.
func (st *State) contradicts(key string, m model.Member) bool {
	current, known := st.members[key]
	if !known {
		_, gone := st.goneUntil[m.ID]
		return gone
	}
	return current != m && (current.ID != m.ID || m.State != model.Leaving)
}

// adopt makes an entry count and reports whether that changed the servers. Of two servers at one address, the one that
// started first has ended, though its entry has not expired.
func (st *State) adopt(now time.Time, key string, m model.Member) bool {
	if otherKey, other, taken := st.otherAt(key, m.Address); taken && !other.StartedAt.IsZero() && !m.StartedAt.IsZero() {
		if m.StartedAt.Before(other.StartedAt) {
			return false
		}
		if m.StartedAt.After(other.StartedAt) {
			st.forget(now, otherKey)
		}
	}
	delete(st.held, key)
	delete(st.lapsedUntil, key)
	delete(st.goneUntil, m.ID)
	if _, leaving := st.saidLeaving[m.ID]; leaving {
		m.State = model.Leaving
	}
	previous, known := st.members[key]
	if known && previous == m {
		return false
	}
	if known && previous.ID != m.ID {
		delete(st.saidLeaving, previous.ID)
	}
	if known && st.keyAt[previous.Address] == key {
		delete(st.keyAt, previous.Address)
	}
	st.members[key] = m
	st.keyAt[m.Address] = key
	return true
}

// otherAt returns the member that another key has at an address.
func (st *State) otherAt(key, address string) (otherKey string, other model.Member, taken bool) {
	otherKey, taken = st.keyAt[address]
	if !taken || otherKey == key {
		return "", model.Member{}, false
	}
	return otherKey, st.members[otherKey], true
}

// Remove applies the removal of an entry and reports whether it changed the servers. A live
// server stays for a while if its entry is missing in a restored service, or expired in an
// outage that ended at recoveredAt.
func (st *State) Remove(now time.Time, key string, restored bool, recoveredAt time.Time) bool {
	delete(st.held, key)
	m, known := st.members[key]
	if !known {
		return false
	}
	if restored {
		recoveredAt = now
	}
	if until := recoveredAt.Add(st.lapsedHold); m.State == model.Live && now.Before(until) {
		st.lapsedUntil[key] = until
		return false
	}
	st.forget(now, key)
	return true
}

// forget removes a server.
func (st *State) forget(now time.Time, key string) {
	m := st.members[key]
	st.goneUntil[m.ID] = now.Add(goneMemory)
	if st.keyAt[m.Address] == key {
		delete(st.keyAt, m.Address)
	}
	delete(st.lapsedUntil, key)
	delete(st.members, key)
}

// Expire removes servers whose missing entry was not written again in time, adopts the held
// entries that are due, and reports whether the servers changed.
func (st *State) Expire(now time.Time) bool {
	changed := false
	for key, until := range st.lapsedUntil {
		if !now.Before(until) {
			st.forget(now, key)
			changed = true
		}
	}
	for key, entry := range st.held {
		if !now.Before(entry.adoptAt) && st.adopt(now, key, entry.member) {
			changed = true
		}
	}
	for id, until := range st.goneUntil {
		if !now.Before(until) {
			delete(st.goneUntil, id)
			delete(st.saidLeaving, id)
		}
	}
	return changed
}

// MarkLeaving records that an answer of a server said that it leaves, and reports whether that
// is news. No entry makes the server live again; only its next start does, under a new ID.
func (st *State) MarkLeaving(id string) bool {
	if _, known := st.saidLeaving[id]; known {
		return false
	}
	for key, m := range st.members {
		if m.ID == id {
			st.saidLeaving[id] = struct{}{}
			news := m.State != model.Leaving
			m.State = model.Leaving
			st.members[key] = m
			return news
		}
	}
	return false
}

// SaidLeaving returns the IDs of the known servers whose answers said that they leave.
func (st *State) SaidLeaving() []model.ServerID {
	var ids []model.ServerID
	for _, m := range st.members {
		if _, leaving := st.saidLeaving[m.ID]; leaving {
			ids = append(ids, model.ServerID(m.ID))
		}
	}
	return ids
}
