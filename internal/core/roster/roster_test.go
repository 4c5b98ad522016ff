package roster

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpond.example/bulrushpond/internal/proof"
	"bulrushpond.example/bulrushpond/pkg/model"
)

const (
	confirmDelay = 4600 * time.Millisecond
	lapsedHold   = 2200 * time.Millisecond
)

var start = time.Unix(1_000_000, 0)

func live(id string, layers int) model.Member {
	return model.Member{ID: id, State: model.Live, Span: model.Span{From: 0, To: layers}}
}

// leaving returns s~1 while it leaves.
func leaving() model.Member {
	m := live("s~1", 1)
	m.State = model.Leaving
	return m
}

// TestRestoredEntries checks what counts of a server's entry after the service was restored from
// an older copy: at once, and when the server would have written again.
func TestRestoredEntries(t *testing.T) {
	type scenario struct {
		name string
		// before is done before the restore, restored is the entry in the copy, nil if none.
		before   func(*State)
		restored *model.Member
		// wantAtOnce and wantLater are the member in use, zero if none.
		wantAtOnce, wantLater model.Member
	}
	put := func(m model.Member) func(*State) { return func(st *State) { st.Put(start, "k", m, false) } }
	entry := func(m model.Member) *model.Member { return &m }
	for _, tc := range []scenario{
		{"same entry", put(live("s~1", 1)), entry(live("s~1", 1)), live("s~1", 1), live("s~1", 1)},
		{"leaving, the copy says ready", put(leaving()), entry(live("s~1", 1)), leaving(), live("s~1", 1)},
		{"ready, the copy says leaving", put(live("s~1", 1)), entry(leaving()), leaving(), leaving()},
		{"started again, the copy has the start before", put(live("s~2", 1)), entry(live("s~1", 1)), live("s~2", 1), live("s~1", 1)},
		{"new layers, the copy has the old ones", put(live("s~1", 8)), entry(live("s~1", 3)), live("s~1", 8), live("s~1", 3)},
		{"unknown here", func(*State) {}, entry(live("s~1", 1)), live("s~1", 1), live("s~1", 1)},
		{"missing in the copy", put(live("s~1", 1)), nil, live("s~1", 1), model.Member{}},
		{"leaving and missing in the copy", put(leaving()), nil, model.Member{}, model.Member{}},
		{"gone, the copy brings it back", func(st *State) {
			st.Put(start, "k", live("s~1", 1), false)
			st.Remove(start, "k", false, time.Time{})
		}, entry(live("s~1", 1)), model.Member{}, live("s~1", 1)},
		{"said that it leaves, the copy says ready", func(st *State) {
			st.Put(start, "k", live("s~1", 1), false)
			assert.Assert(t, st.MarkLeaving("s~1"))
		}, entry(live("s~1", 1)), leaving(), leaving()},
	} {
		t.Run(tc.name, func(t *testing.T) {
			st := New(confirmDelay, lapsedHold)
			tc.before(st)
			now := start.Add(time.Second)
			if tc.restored != nil {
				st.Put(now, "k", *tc.restored, true)
			} else {
				st.Remove(now, "k", true, time.Time{})
			}
			st.Expire(now)
			m, _ := st.Get("k")
			assert.DeepEqual(t, m, tc.wantAtOnce)
			st.Expire(now.Add(confirmDelay))
			m, _ = st.Get("k")
			assert.DeepEqual(t, m, tc.wantLater)
		})
	}
}

// TestWrittenAgainCountsAtOnce checks that what a server writes after the restore replaces both
// what was known and the held entry of the copy.
func TestWrittenAgainCountsAtOnce(t *testing.T) {
	st := New(confirmDelay, lapsedHold)
	st.Put(start, "k", leaving(), false)
	st.Put(start, "k", live("s~1", 1), true)
	assert.Assert(t, st.Put(start, "k", live("s~2", 5), false))
	assert.Assert(t, !st.Expire(start.Add(confirmDelay)))
	m, _ := st.Get("k")
	assert.DeepEqual(t, m, live("s~2", 5))
}

// TestSaidLeavingEndsWithNextStart checks that a server that said that it leaves stays leaving
// whatever its entry says, and that its next start is a server of its own.
func TestSaidLeavingEndsWithNextStart(t *testing.T) {
	st := New(confirmDelay, lapsedHold)
	st.Put(start, "k", live("s~1", 1), false)
	assert.Assert(t, st.MarkLeaving("s~1"))
	assert.Assert(t, !st.MarkLeaving("s~1"), "known already")
	assert.Assert(t, !st.MarkLeaving("other"))
	assert.Assert(t, st.Put(start, "k", live("s~1", 8), false))
	m, _ := st.Get("k")
	assert.Equal(t, m.State, model.Leaving)
	assert.Equal(t, len(st.SaidLeaving()), 1)
	st.Put(start, "k", live("s~2", 8), false)
	m, _ = st.Get("k")
	assert.Equal(t, m.State, model.Live)
	assert.Equal(t, len(st.SaidLeaving()), 0)
}

// TestRosterConverges checks under writes, removals, outages and restores that a server which
// left or said so in its entry is not used again because of an older copy before it could have
// written, and that the roster equals the service once that time is over.
func TestRosterConverges(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		st := New(confirmDelay, lapsedHold)
		now := start
		service := map[string]model.Member{}
		var copies []map[string]model.Member
		restoredAt := time.Time{}
		births := 0
		clone := func() map[string]model.Member {
			kept := map[string]model.Member{}
			for key, m := range service {
				kept[key] = m
			}
			return kept
		}
		write := func(key string, m model.Member) {
			copies = append(copies, clone())
			service[key] = m
			st.Put(now, key, m, false)
		}
		drawKey := func(t *rapid.T) string { return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key") }
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				births++
				key := drawKey(t)
				write(key, live(fmt.Sprintf("%s~%d", key, births), rapid.IntRange(1, 8).Draw(t, "layers")))
			},
			"leave": func(t *rapid.T) {
				key := drawKey(t)
				if m, ok := service[key]; ok {
					m.State = model.Leaving
					write(key, m)
				}
			},
			"remove": func(t *rapid.T) {
				key := drawKey(t)
				if _, ok := service[key]; ok {
					copies = append(copies, clone())
					delete(service, key)
					st.Remove(now, key, false, restoredAt)
				}
			},
			"restore": func(t *rapid.T) {
				if len(copies) == 0 {
					return
				}
				i := rapid.IntRange(max(0, len(copies)-5), len(copies)-1).Draw(t, "copy")
				before := map[string]model.Member{}
				for key, m := range st.Members() {
					before[key] = m
				}
				former := service
				service, copies, restoredAt = copies[i], copies[:i], now
				for key := range former {
					if _, ok := service[key]; !ok {
						st.Remove(now, key, true, now)
					}
				}
				for key, m := range service {
					st.Put(now, key, m, true)
				}
				for key, m := range before {
					current, ok := st.Get(key)
					if m.State == model.Leaving && ok && current.State == model.Live {
						t.Fatalf("%s left before the restore and is used after it: %v", m.ID, current)
					}
				}
			},
			"time passes": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				st.Expire(now)
			},
			"": func(t *rapid.T) {
				if now.Sub(restoredAt) <= confirmDelay {
					return
				}
				st.Expire(now)
				members := map[string]model.Member{}
				for key, m := range st.Members() {
					members[key] = m
				}
				assert.DeepEqual(t, members, service)
			},
		})
	})
}

// TestServerAtAddressOfAnotherReplacesIt guards against a server that ended and was started again under another name: until
// its former entry expired, it counted as two servers, and layers counted as held that nobody held.
func TestServerAtAddressOfAnotherReplacesIt(t *testing.T) {
	started := func(id string, after time.Duration) model.Member {
		return model.Member{ID: id, Address: "10.0.0.1:80", State: model.Live, StartedAt: start.Add(after)}
	}
	ids := func(st *State) (ids []string) {
		for _, m := range st.Members() {
			ids = append(ids, m.ID)
		}
		slices.Sort(ids)
		return ids
	}
	st := New(confirmDelay, lapsedHold)
	elsewhere := started("c", 0)
	elsewhere.Address = "10.0.0.2:80"
	st.Put(start, "c", elsewhere, false)
	assert.Assert(t, st.Put(start, "a", started("a", 0), false))
	assert.Assert(t, st.Put(start, "b", started("b", time.Second), false))
	assert.DeepEqual(t, ids(st), []string{"b", "c"})
	assert.Assert(t, !st.Put(start, "a", started("a", 0), false), "a late heartbeat of the former server")
	assert.Assert(t, !st.Remove(start, "a", false, time.Time{}), "its entry expires")
	assert.DeepEqual(t, ids(st), []string{"b", "c"})

	// The order in which a daemon that starts reads the entries does not matter.
	st = New(confirmDelay, lapsedHold)
	assert.Assert(t, st.Put(start, "b", started("b", time.Second), false))
	assert.Assert(t, !st.Put(start, "a", started("a", 0), false))
	assert.DeepEqual(t, ids(st), []string{"b"})
	assert.Assert(t, st.Remove(start, "b", false, time.Time{}))
	assert.Assert(t, st.Put(start, "a", started("a", 0), false), "a server whose clock was set back")

	// Without a start time, nothing tells which of two servers ended.
	st.Put(start, "d", model.Member{ID: "d", Address: "10.0.0.1:80", State: model.Live}, false)
	assert.DeepEqual(t, ids(st), []string{"a", "d"})
}
