package mirror

import (
	"slices"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpond.example/bulrushpond/internal/proof"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// service is the reference model of the key-value service: all changes in order, with
// a compacted history, and restores from older copies.
type service struct {
	era uint64
	log []Item
	// oldestKept is the oldest revision that since still accepts.
	oldestKept uint64
	// pastLogs are the logs at the end of each earlier era.
	pastLogs [][]Item
}

func (s *service) revision() uint64 { return uint64(len(s.log)) }

func (s *service) write(key, value string, removed bool) {
	s.log = append(s.log, Item{Key: key, Value: []byte(value), Revision: s.revision() + 1, Removed: removed})
}

// restore goes back some changes, whose revisions are given out again.
func (s *service) restore(changes int) {
	s.pastLogs = append(s.pastLogs, slices.Clone(s.log))
	s.era++
	s.log = slices.Clip(s.log[:max(0, len(s.log)-changes)])
	s.oldestKept = min(s.oldestKept, s.revision())
}

// liveAt returns the live keys and values at a position.
func (s *service) liveAt(position model.Position) map[string]string {
	log := s.log
	if position.Era < s.era {
		log = s.pastLogs[position.Era]
	}
	live := map[string]string{}
	for _, item := range log[:position.Revision] {
		if item.Removed {
			delete(live, item.Key)
		} else {
			live[item.Key] = string(item.Value)
		}
	}
	return live
}

// fullDelta returns a full snapshot at the current position.
func (s *service) fullDelta() Delta {
	d := Delta{Era: s.era, Revision: s.revision(), Full: true}
	newest := map[string]Item{}
	for _, item := range s.log {
		newest[item.Key] = item
	}
	for _, item := range newest {
		if !item.Removed {
			d.Items = append(d.Items, item)
		}
	}
	return d
}

// since returns the changes after a revision, or false if they are compacted or the revision
// does not exist.
func (s *service) since(after uint64) (Delta, bool) {
	if after < s.oldestKept || after > s.revision() {
		return Delta{}, false
	}
	return Delta{Era: s.era, Items: slices.Clone(s.log[after:]), Revision: s.revision()}, true
}

// liveItems returns the live keys and values of a mirror.
func liveItems(mirror *State) map[string]string {
	live := map[string]string{}
	for _, item := range mirror.Live("") {
		live[item.Key] = string(item.Value)
	}
	return live
}

// TestMirrorsConverge checks that a copy which is complete up to a revision matches the
// service at that position, whichever sources its deltas came from and in whatever
// order, and that no copy returns to an older position, also after restores of the service.
func TestMirrorsConverge(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		s := &service{}
		mirrors := []*State{New(), New(), New()}
		lastSeen := make([]map[string]model.Position, len(mirrors))
		for i := range lastSeen {
			lastSeen[i] = map[string]model.Position{}
		}
		lastPosition := make([]model.Position, len(mirrors))
		drawMirror := func(name string) int { return rapid.IntRange(0, len(mirrors)-1).Draw(t, name) }
		checkNoRollback := func(i int) {
			position := mirrors[i].Position()
			if position.Compare(lastPosition[i]) < 0 {
				t.Fatalf("mirror %d reverted from %v to %v", i, lastPosition[i], position)
			}
			lastPosition[i] = position
			for key, item := range mirrors[i].items {
				itemPosition := model.Position{Era: position.Era, Revision: item.Revision}
				if itemPosition.Compare(lastSeen[i][key]) < 0 {
					t.Fatalf("key %s of mirror %d reverted from %v to %v", key, i, lastSeen[i][key], itemPosition)
				}
				lastSeen[i][key] = itemPosition
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
				s.write(key, strconv.FormatUint(s.revision(), 10), rapid.Bool().Draw(t, "removed"))
			},
			"compact": func(*rapid.T) { s.oldestKept = s.revision() },
			"restore": func(t *rapid.T) { s.restore(rapid.IntRange(0, 5).Draw(t, "changes")) },
			"apply from service": func(*rapid.T) {
				i := drawMirror("mirror")
				position := mirrors[i].Position()
				d, ok := s.since(position.Revision)
				if ok && position.Revision > 0 && d.Era > position.Era {
					assert.Equal(t, len(mirrors[i].Apply(d).Items), 0, "changes of a later era without a full snapshot")
				}
				if !ok || position.Revision == 0 || d.Era > position.Era {
					d = s.fullDelta()
				}
				restored := mirrors[i].Apply(d).Restored
				assert.Equal(t, restored, position.Revision > 0 && position.Era < s.era)
				checkNoRollback(i)
				assert.DeepEqual(t, liveItems(mirrors[i]), s.liveAt(model.Position{Era: s.era, Revision: s.revision()}))
			},
			"apply from peer": func(*rapid.T) {
				i, j := drawMirror("mirror"), drawMirror("peer")
				peerPosition := mirrors[j].Position()
				mirrors[i].Apply(mirrors[j].ChangesSince(mirrors[i].Position()))
				checkNoRollback(i)
				assert.Assert(t, mirrors[i].Position().Compare(peerPosition) >= 0)
				if mirrors[i].Position() == peerPosition && peerPosition.Revision > 0 {
					assert.DeepEqual(t, liveItems(mirrors[i]), s.liveAt(peerPosition))
				}
			},
			"duplicate delta": func(*rapid.T) {
				i := drawMirror("mirror")
				d, ok := s.since(s.oldestKept)
				if !ok || mirrors[i].Position().Revision < s.oldestKept {
					return
				}
				mirrors[i].Apply(d)
				mirrors[i].Apply(d)
				checkNoRollback(i)
			},
		})
	})
}

// TestRestoredServiceReplacesCopy checks that a copy at revision 100 takes over what a service
// says that was restored at revision 80: a key written at 82 since, and the loss of a key that
// was written after the copy.
func TestRestoredServiceReplacesCopy(t *testing.T) {
	m := New()
	m.Apply(Delta{Era: 3, Full: true, Revision: 100, Items: []Item{
		{Key: "config", Value: []byte("v5"), Revision: 95}, {Key: "kept", Value: []byte("k"), Revision: 70}, {Key: "lost", Value: []byte("l"), Revision: 90},
	}})
	changes := m.Apply(Delta{Era: 4, Full: true, Revision: 82, Items: []Item{
		{Key: "config", Value: []byte("v6"), Revision: 82}, {Key: "kept", Value: []byte("k"), Revision: 70},
	}})
	assert.Assert(t, changes.Restored)
	assert.DeepEqual(t, changes.Items, []Item{{Key: "config", Value: []byte("v6"), Revision: 82}, {Key: "lost", Revision: 82, Removed: true}})
	assert.DeepEqual(t, liveItems(m), map[string]string{"config": "v6", "kept": "k"})
	assert.Equal(t, m.Position(), model.Position{Era: 4, Revision: 82})
	// A delayed delta of the earlier era changes nothing.
	late := m.Apply(Delta{Era: 3, Revision: 101, Items: []Item{{Key: "config", Value: []byte("v5b"), Revision: 101}}})
	assert.Equal(t, len(late.Items), 0)
	assert.Assert(t, m.ChangesSince(model.Position{Era: 3, Revision: 100}).Full)
	assert.Equal(t, len(m.ChangesSince(model.Position{Era: 5, Revision: 1}).Items), 0)
}

// TestPrunedTombstonesRequireFullDelta checks that a daemon that missed removals whose
// tombstones have been pruned gets a full snapshot.
func TestPrunedTombstonesRequireFullDelta(t *testing.T) {
	m := New()
	var items []Item
	for i := range maxTombstones + 2 {
		items = append(items, Item{Key: strconv.Itoa(i), Revision: uint64(i) + 1, Removed: true})
	}
	m.Apply(Delta{Items: items, Revision: uint64(len(items))})
	assert.Assert(t, m.ChangesSince(model.Position{Revision: 1}).Full)
	assert.Assert(t, !m.ChangesSince(model.Position{Revision: uint64(len(items)) - 1}).Full)
}
