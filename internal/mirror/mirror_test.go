package mirror

import (
	"slices"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpond.example/bulrushpond/internal/proof"
)

// service is the reference model of the key-value service: all changes in order, with
// a compacted history.
type service struct {
	log []Item
	// oldestKept is the oldest revision that since still accepts.
	oldestKept uint64
}

func (s *service) revision() uint64 { return uint64(len(s.log)) }

func (s *service) write(key, value string, removed bool) {
	s.log = append(s.log, Item{Key: key, Value: []byte(value), Revision: s.revision() + 1, Removed: removed})
}

// liveAt returns the live keys and values at a revision.
func (s *service) liveAt(revision uint64) map[string]string {
	live := map[string]string{}
	for _, item := range s.log[:revision] {
		if item.Removed {
			delete(live, item.Key)
		} else {
			live[item.Key] = string(item.Value)
		}
	}
	return live
}

// fullDelta returns a full snapshot at the current revision.
func (s *service) fullDelta() Delta {
	d := Delta{Revision: s.revision(), Full: true}
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

// since returns the changes after a revision, or false if they are compacted.
func (s *service) since(after uint64) (Delta, bool) {
	if after < s.oldestKept {
		return Delta{}, false
	}
	return Delta{Items: slices.Clone(s.log[after:]), Revision: s.revision()}, true
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
// service at that revision, whichever sources its deltas came from and in whatever
// order, and that no key returns to an older revision.
func TestMirrorsConverge(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		s := &service{}
		mirrors := []*State{New(), New(), New()}
		lastSeen := make([]map[string]uint64, len(mirrors))
		for i := range lastSeen {
			lastSeen[i] = map[string]uint64{}
		}
		drawMirror := func(name string) int { return rapid.IntRange(0, len(mirrors)-1).Draw(t, name) }
		checkNoRollback := func(i int) {
			for key, item := range mirrors[i].items {
				if item.Revision < lastSeen[i][key] {
					t.Fatalf("key %s of mirror %d reverted from revision %d to %d", key, i, lastSeen[i][key], item.Revision)
				}
				lastSeen[i][key] = item.Revision
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
				s.write(key, strconv.FormatUint(s.revision(), 10), rapid.Bool().Draw(t, "removed"))
			},
			"compact": func(*rapid.T) { s.oldestKept = s.revision() },
			"apply from service": func(*rapid.T) {
				i := drawMirror("mirror")
				d, ok := s.since(mirrors[i].Revision())
				if !ok || mirrors[i].Revision() == 0 {
					d = s.fullDelta()
				}
				mirrors[i].Apply(d)
				checkNoRollback(i)
				assert.DeepEqual(t, liveItems(mirrors[i]), s.liveAt(s.revision()))
			},
			"apply from peer": func(*rapid.T) {
				i, j := drawMirror("mirror"), drawMirror("peer")
				peerRevision := mirrors[j].Revision()
				mirrors[i].Apply(mirrors[j].ChangesSince(mirrors[i].Revision()))
				checkNoRollback(i)
				if mirrors[i].Revision() == peerRevision && peerRevision > 0 {
					assert.DeepEqual(t, liveItems(mirrors[i]), s.liveAt(peerRevision))
				}
			},
			"duplicate delta": func(*rapid.T) {
				i := drawMirror("mirror")
				d, ok := s.since(s.oldestKept)
				if !ok || mirrors[i].Revision() < s.oldestKept {
					return
				}
				mirrors[i].Apply(d)
				mirrors[i].Apply(d)
				checkNoRollback(i)
			},
		})
	})
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
	assert.Assert(t, m.ChangesSince(1).Full)
	assert.Assert(t, !m.ChangesSince(uint64(len(items))-1).Full)
}
