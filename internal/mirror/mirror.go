// Package mirror keeps a daemon's copy of the keys below a prefix of the platform's
// key-value service. Updates come from a watch on the service and from other daemons
// that can still reach it. Whatever the source, no key returns to an older position: a
// service that was restored from an older copy has a higher era.
package mirror

import (
	"bytes"
	"maps"
	"slices"
	"strings"

	"bulrushpond.example/bulrushpond/pkg/model"
)

// Item is the latest change of one key: its value or its removal.
type Item struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint,omitempty"`
	// Revision is the revision of the key's last change; it is unique per change and era.
	Revision uint64 `cbor:"3,keyasint"`
	// Removed is set where the last change removed the key; Value is empty then.
	Removed bool `cbor:"4,keyasint,omitempty"`
}

// Delta holds the changes up to a revision, or a full snapshot.
type Delta struct {
	Items []Item `cbor:"1,keyasint,omitempty"`
	// Revision is the revision up to which Items are complete.
	Revision uint64 `cbor:"2,keyasint"`
	// Full marks a full snapshot: keys that are not in Items do not exist at Revision.
	Full bool `cbor:"3,keyasint,omitempty"`
	// Era is the era of the service that Items and Revision belong to. Daemons of earlier
	// versions send none.
	Era uint64 `cbor:"4,keyasint,omitempty"`
}

// Position returns the position up to which the delta is complete.
func (d Delta) Position() model.Position { return model.Position{Era: d.Era, Revision: d.Revision} }

// Changes is the result of a delta on the local copy.
type Changes struct {
	// Items are the items that changed the copy.
	Items []Item
	// Restored is set if Items come from a full snapshot of a service that was restored
	// from an older copy of itself. They may then be older than what they replace.
	Restored bool
}

// maxTombstones bounds the removals that are kept for deltas to other daemons.
const maxTombstones = 4096

// State is the local copy. Use New; the zero value is not usable.
type State struct {
	// items holds the live keys and the tombstones.
	items      map[string]Item
	tombstones int
	// position is the position up to which the copy is complete; it never decreases.
	position model.Position
	// prunedRevision is the revision up to which tombstones may be missing.
	prunedRevision uint64
}

// New returns an empty copy.
func New() *State { return &State{items: map[string]Item{}} }

// Position returns the position up to which the copy is complete; its revision is 0 before the
// first read.
func (s *State) Position() model.Position { return s.position }

// Get returns a live key.
func (s *State) Get(key string) (Item, bool) {
	item, ok := s.items[key]
	return item, ok && !item.Removed
}

// Live returns the live keys with a prefix, sorted by key.
func (s *State) Live(prefix string) []Item {
	var live []Item
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if item := s.items[key]; !item.Removed && strings.HasPrefix(key, prefix) {
			live = append(live, item)
		}
	}
	return live
}

// Apply merges a delta. A delta of an earlier era is ignored, and so is one of a later era
// unless it is a full snapshot, since it lacks what the restore changed.
func (s *State) Apply(d Delta) Changes {
	switch {
	case d.Era < s.position.Era, d.Era > s.position.Era && !d.Full:
		return Changes{}
	case d.Era > s.position.Era:
		restored := s.position.Revision > 0
		return Changes{Items: s.replaceAll(d), Restored: restored}
	}
	var changed []Item
	if d.Full && d.Revision >= s.position.Revision {
		changed = s.removeMissing(d)
		// A full snapshot has no tombstones of keys that were removed earlier.
		s.prunedRevision = d.Revision
	}
	for _, item := range d.Items {
		if previous, known := s.items[item.Key]; known && previous.Revision >= item.Revision {
			continue
		}
		if _, known := s.items[item.Key]; !known && item.Removed && item.Revision <= s.prunedRevision {
			continue
		}
		s.put(item)
		changed = append(changed, item)
	}
	s.position.Revision = max(s.position.Revision, d.Revision)
	s.pruneTombstones()
	return Changes{Items: changed}
}

// replaceAll replaces the copy by a full snapshot of a later era and returns the differences.
func (s *State) replaceAll(d Delta) []Item {
	previous := s.items
	s.items, s.tombstones, s.position, s.prunedRevision = map[string]Item{}, 0, d.Position(), d.Revision
	var changed []Item
	for _, item := range d.Items {
		s.put(item)
		if old, known := previous[item.Key]; !known || old.Removed || !bytes.Equal(old.Value, item.Value) {
			changed = append(changed, item)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(previous)) {
		if _, kept := s.items[key]; !kept && !previous[key].Removed {
			removal := Item{Key: key, Revision: d.Revision, Removed: true}
			s.put(removal)
			changed = append(changed, removal)
		}
	}
	return changed
}

// removeMissing removes the keys that are absent from a full snapshot.
func (s *State) removeMissing(d Delta) []Item {
	present := make(map[string]struct{}, len(d.Items))
	for _, item := range d.Items {
		present[item.Key] = struct{}{}
	}
	var removed []Item
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		previous := s.items[key]
		if _, ok := present[key]; ok || previous.Removed || previous.Revision > d.Revision {
			continue
		}
		item := Item{Key: key, Revision: d.Revision, Removed: true}
		s.put(item)
		removed = append(removed, item)
	}
	return removed
}

// put stores an item and keeps the tombstone count.
func (s *State) put(item Item) {
	if s.items[item.Key].Removed {
		s.tombstones--
	}
	if item.Removed {
		s.tombstones++
		item.Value = nil
	}
	s.items[item.Key] = item
}

// pruneTombstones drops the older half of the tombstones above maxTombstones.
func (s *State) pruneTombstones() {
	if s.tombstones <= maxTombstones {
		return
	}
	var removals []Item
	for _, item := range s.items {
		if item.Removed {
			removals = append(removals, item)
		}
	}
	slices.SortFunc(removals, func(a, b Item) int {
		if a.Revision < b.Revision {
			return -1
		}
		return 1
	})
	for _, item := range removals[:len(removals)/2] {
		delete(s.items, item.Key)
		s.tombstones--
		s.prunedRevision = max(s.prunedRevision, item.Revision)
	}
}

// ChangesSince returns the changes after a position, or a full snapshot if the position is of
// an earlier era or tombstones after it may have been pruned. A position of a later era gets
// no changes.
func (s *State) ChangesSince(after model.Position) Delta {
	d := Delta{Era: s.position.Era, Revision: s.position.Revision}
	if after.Era > s.position.Era {
		return d
	}
	d.Full = after.Revision == 0 || after.Era < s.position.Era || after.Revision < s.prunedRevision
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		item := s.items[key]
		if d.Full && item.Removed {
			continue
		}
		if d.Full || item.Revision > after.Revision {
			d.Items = append(d.Items, item)
		}
	}
	return d
}
