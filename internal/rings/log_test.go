package rings

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpond.example/bulrushpond/internal/fakes"
	"bulrushpond.example/bulrushpond/internal/plat"
	"bulrushpond.example/bulrushpond/internal/proof"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

// faultyKV draws a fault for each request. Before a write it may run a concurrent
// operator's write or apply a delayed one.
type faultyKV struct {
	plat.KV
	t     *rapid.T
	store *fakes.Store
	now   time.Time
	// faultless turns all faults off.
	faultless bool
	// delayedWrites were answered as unknown and may still take effect.
	delayedWrites []model.CAS
	// beforeWrite runs at most once, before one of the next writes.
	beforeWrite func()
}

func (k *faultyKV) draw(label string, n int) int {
	if k.faultless {
		return 0
	}
	return rapid.IntRange(0, n).Draw(k.t, label)
}

func (k *faultyKV) Get(_ context.Context, key string) (model.Entry, model.Outcome) {
	if k.draw("get fault", 9) == 9 {
		return model.Entry{}, model.Refused
	}
	return k.store.Get(k.now, key), model.Done
}

func (k *faultyKV) CAS(_ context.Context, op model.CAS) (uint64, model.Outcome) {
	if k.beforeWrite != nil && k.draw("concurrent write", 3) == 3 {
		concurrentWrite := k.beforeWrite
		k.beforeWrite = nil
		concurrentWrite()
	}
	if len(k.delayedWrites) > 0 && k.draw("delayed write", 2) == 2 {
		k.store.CAS(k.now, k.delayedWrites[0])
		k.delayedWrites = k.delayedWrites[1:]
	}
	switch k.draw("write fault", 9) {
	case 9:
		return 0, model.Refused
	case 8: // The write takes effect, but its answer is lost.
		k.store.CAS(k.now, op)
		return 0, model.Unknown
	case 7: // The answer is lost, and the write takes effect later or never.
		k.delayedWrites = append(k.delayedWrites, op)
		return 0, model.Unknown
	}
	return k.store.CAS(k.now, op)
}

// submissions is the test oracle: the submitted changes by their result.
type submissions struct {
	accepted map[model.Revision]setts.Change
	// unknown and refused hold change IDs.
	unknown map[string]bool
	refused map[string]bool
}

// settingsSimulation runs operators and a follower against a faulty key-value
// service.
type settingsSimulation struct {
	t               *rapid.T
	kv              *faultyKV
	submitted       submissions
	changeCount     int
	follower        *Follower
	highestRevision model.Revision
}

// loadTree reads the tree in the log without faults.
func (sim *settingsSimulation) loadTree(t *rapid.T) setts.Tree {
	wasFaultless := sim.kv.faultless
	sim.kv.faultless = true
	defer func() { sim.kv.faultless = wasFaultless }()
	e, _ := sim.kv.Get(context.Background(), HeadKey)
	h, err := DecodeHead(e.Value)
	assert.NilError(t, err)
	tree, err := NewLog(sim.kv).Load(context.Background(), h)
	assert.NilError(t, err)
	return tree
}

// drawChange returns a random change, sometimes with a stale base.
func (sim *settingsSimulation) drawChange(t *rapid.T) setts.Change {
	sim.changeCount++
	c := setts.Change{ID: fmt.Sprintf("c%d", sim.changeCount), Path: rapid.SampledFrom([]string{"/", "/a", "/a/b", "/c"}).Draw(t, "path")}
	c.Kind = setts.Kind(strings.Count(strings.TrimSuffix(c.Path, "/"), "/"))
	c.Base = sim.loadTree(t).Nodes[c.Path].Changed
	if rapid.IntRange(0, 9).Draw(t, "remove") == 9 {
		c.Remove = true
	} else {
		c.Set = map[string]string{"weight": strconv.Itoa(1 + sim.changeCount)}
	}
	if rapid.IntRange(0, 5).Draw(t, "stale") == 5 && c.Base > 0 {
		c.Base--
	}
	return c
}

// submit submits a change and records the result.
func (sim *settingsSimulation) submit(t *rapid.T, c setts.Change) {
	accepted, err := NewLog(sim.kv).Submit(context.Background(), c)
	var conflict *setts.ConflictError
	var invalid *setts.CheckError
	switch {
	case err == nil:
		if other, taken := sim.submitted.accepted[accepted.Revision]; taken && other.ID != c.ID {
			t.Fatalf("revision %d was assigned to both %s and %s", accepted.Revision, other.ID, c.ID)
		}
		sim.submitted.accepted[accepted.Revision] = accepted
	case errors.Is(err, ErrUnknown):
		sim.submitted.unknown[c.ID] = true
	case errors.Is(err, ErrUnavailable), errors.As(err, &conflict), errors.As(err, &invalid):
		sim.submitted.refused[c.ID] = true
	default:
		t.Fatalf("unexpected error from Submit: %v", err)
	}
}

// catchUp brings the follower up to date from the log, as a daemon does.
func (sim *settingsSimulation) catchUp(t *rapid.T) {
	e, out := sim.kv.Get(context.Background(), HeadKey)
	if out != model.Done {
		return
	}
	h, err := DecodeHead(e.Value)
	assert.NilError(t, err)
	applied, err := sim.follower.ApplyChanges(h.Entries)
	assert.NilError(t, err)
	if !applied {
		tree, err := NewLog(sim.kv).Load(context.Background(), h)
		if err != nil {
			return
		}
		sim.follower.ApplyTree(tree)
	}
	sim.checkRevision(t)
}

// checkRevision checks that the follower's revision has not decreased.
func (sim *settingsSimulation) checkRevision(t *rapid.T) {
	r := sim.follower.Revision()
	if r < sim.highestRevision {
		t.Fatalf("the revision in force went from %d to %d", sim.highestRevision, r)
	}
	sim.highestRevision = r
}

// checkLog replays the accepted changes in order of revision and compares the
// result with the tree in the log.
func (sim *settingsSimulation) checkLog(t *rapid.T) {
	tree := sim.loadTree(t)
	want := setts.NewTree()
	lastChanged := map[string]model.Revision{}
	e, _ := sim.kv.Get(context.Background(), HeadKey)
	h, err := DecodeHead(e.Value)
	assert.NilError(t, err)
	for _, c := range h.Entries {
		if sim.submitted.refused[c.ID] {
			t.Fatalf("change %s was refused but is in the log", c.ID)
		}
		if sim.submitted.unknown[c.ID] {
			sim.submitted.accepted[c.Revision] = c
		}
	}
	for r := model.Revision(1); r <= tree.Revision; r++ {
		c, ok := sim.submitted.accepted[r]
		if !ok {
			return // A change with an unknown result that the head no longer holds.
		}
		if c.Base != lastChanged[c.Path] {
			t.Fatalf("revision %d at %s was accepted with base %d, but the last change there is revision %d", r, c.Path, c.Base, lastChanged[c.Path])
		}
		lastChanged[c.Path] = r
		if c.Remove {
			for path := range lastChanged {
				if setts.AtOrBelow(path, c.Path) {
					lastChanged[path] = 0
				}
			}
		}
		if want, err = want.Apply(c); err != nil {
			t.Fatalf("accepted revision %d cannot be applied: %v", r, err)
		}
	}
	assert.DeepEqual(t, tree.Nodes, want.Nodes)
}

// TestSettingsLog runs concurrent operators with lost answers and delayed writes.
// Accepted changes must be in the log once and in order, refused ones must not be
// in it, and the revision in force must never decrease.
func TestSettingsLog(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		kv := &faultyKV{t: t, store: fakes.NewStore(), now: time.Unix(1_000_000, 0)}
		sim := &settingsSimulation{t: t, kv: kv, follower: &Follower{}, submitted: submissions{
			accepted: map[model.Revision]setts.Change{}, unknown: map[string]bool{}, refused: map[string]bool{},
		}}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) { sim.submit(t, sim.drawChange(t)) },
			"race two submits": func(t *rapid.T) {
				kv.beforeWrite = func() { sim.submit(t, sim.drawChange(t)) }
				sim.submit(t, sim.drawChange(t))
				kv.beforeWrite = nil
			},
			"catch up": func(t *rapid.T) { sim.catchUp(t) },
			"offer old tree": func(t *rapid.T) {
				sim.follower.ApplyTree(setts.Tree{Revision: sim.highestRevision / 2, Nodes: setts.NewTree().Nodes})
				sim.checkRevision(t)
			},
		})
		kv.faultless = true
		sim.checkLog(t)
		sim.catchUp(t)
		assert.Equal(t, sim.follower.Revision(), sim.loadTree(t).Revision)
		assert.DeepEqual(t, sim.follower.EffectiveSettings().Tree.Nodes, sim.loadTree(t).Nodes)
	})
}

// TestFollowerOfEmptyLogNeedsTree checks that a follower without settings asks for the
// whole tree if the log holds no change yet, instead of reporting that it is up to date.
func TestFollowerOfEmptyLogNeedsTree(t *testing.T) {
	f := &Follower{}
	applied, err := f.ApplyChanges(nil)
	assert.NilError(t, err)
	assert.Assert(t, !applied)
	assert.Assert(t, f.EffectiveSettings() == nil)
	assert.Assert(t, f.ApplyTree(setts.NewTree()))
	applied, err = f.ApplyChanges(nil)
	assert.NilError(t, err)
	assert.Assert(t, applied)
}

// TestSubmitResolvesLostAnswer checks that Submit, after a lost answer, finds its
// change in the head and reports it as accepted.
func TestSubmitResolvesLostAnswer(t *testing.T) {
	kv := &faultyKV{store: fakes.NewStore(), now: time.Unix(1_000_000, 0), faultless: true}
	lossyKV := &lostAnswerKV{faultyKV: kv}
	c := setts.Change{ID: "c", Path: "/", Set: map[string]string{"weight": "2"}}
	done, err := NewLog(lossyKV).Submit(t.Context(), c)
	assert.NilError(t, err)
	assert.Equal(t, done.Revision, model.Revision(1))
}

// lostAnswerKV applies its first write but loses the answer.
type lostAnswerKV struct {
	*faultyKV
	lost bool
}

func (k *lostAnswerKV) CAS(ctx context.Context, op model.CAS) (uint64, model.Outcome) {
	rev, out := k.faultyKV.CAS(ctx, op)
	if !k.lost {
		k.lost = true
		return 0, model.Unknown
	}
	return rev, out
}

// TestFollowerCatchesUpFromPeer checks that a follower which learns changes only
// from a peer ends with the same tree.
func TestFollowerCatchesUpFromPeer(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		ahead, behind := &Follower{}, &Follower{}
		ahead.ApplyTree(setts.NewTree())
		for i := range rapid.IntRange(1, 100).Draw(t, "changes") {
			f := ahead.EffectiveSettings()
			c := setts.Change{Revision: f.Revision + 1, Path: "/", Base: f.Tree.Nodes["/"].Changed, Set: map[string]string{"weight": strconv.Itoa(i + 1)}}
			done, err := ahead.ApplyChanges([]setts.Change{c})
			assert.NilError(t, err)
			assert.Assert(t, done)
			if rapid.IntRange(0, 9).Draw(t, "sync") < 9 {
				continue
			}
			if changes, ok := ahead.ChangesSince(behind.Revision()); ok {
				done, err = behind.ApplyChanges(changes)
				assert.NilError(t, err)
				assert.Assert(t, done)
			} else {
				behind.ApplyTree(ahead.EffectiveSettings().Tree)
			}
			assert.DeepEqual(t, behind.EffectiveSettings().Tree, ahead.EffectiveSettings().Tree)
		}
	})
}

// FuzzDecode checks that no value makes a decoder, or a reader of what it decoded,
// panic, and that slots keep their sequence number when encoded again.
func FuzzDecode(f *testing.F) {
	slot := Slot{Seq: 1, Epoch: 2, Writer: "w", Entries: []JournalEntry{{Kind: Intent, Key: NewDigest("a")}}}
	f.Add(slot.Encode())
	head, err := Head{Revision: 1, Entries: []setts.Change{{Revision: 1, Path: "/"}}}.Encode()
	assert.NilError(f, err)
	f.Add(head)
	tree, err := EncodeTree(setts.NewTree())
	assert.NilError(f, err)
	f.Add(tree)
	f.Add([]byte{0xbf, 0x01})
	f.Fuzz(func(t *testing.T, raw []byte) {
		if s, err := DecodeSlot(raw); err == nil && s.Seq > 0 {
			again, err := DecodeSlot(s.Encode())
			assert.NilError(t, err)
			assert.Equal(t, again.Seq, s.Seq)
		}
		if h, err := DecodeHead(raw); err == nil {
			_, _ = NewLog(&faultyKV{store: fakes.NewStore(), faultless: true}).Load(t.Context(), h)
		}
		if tree, err := DecodeTree(raw); err == nil {
			setts.NewEffectiveSettings(tree).Explain(setts.Root)
		}
	})
}
