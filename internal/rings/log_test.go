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

// faultyKV draws a fault for each call, and may let another operator or a late
// write in before a write.
type faultyKV struct {
	plat.KV
	t      *rapid.T
	store  *fakes.Store
	now    time.Time
	calm   bool
	late   []model.CAS
	before func()
}

func (k *faultyKV) draw(label string, n int) int {
	if k.calm {
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
	if k.before != nil && k.draw("race", 3) == 3 {
		before := k.before
		k.before = nil
		before()
	}
	if len(k.late) > 0 && k.draw("late", 2) == 2 {
		k.store.CAS(k.now, k.late[0])
		k.late = k.late[1:]
	}
	switch k.draw("write fault", 9) {
	case 9:
		return 0, model.Refused
	case 8: // The answer is lost after the effect.
		k.store.CAS(k.now, op)
		return 0, model.Unknown
	case 7: // The answer is lost, and the effect comes later or never.
		k.late = append(k.late, op)
		return 0, model.Unknown
	}
	return k.store.CAS(k.now, op)
}

// settingsOracle is the tree as a plain map, from the accepted changes only.
type settingsOracle struct {
	accepted map[model.Revision]setts.Change
	unknown  map[string]bool
	refused  map[string]bool
}

type settingsWorld struct {
	t       *rapid.T
	kv      *faultyKV
	oracle  settingsOracle
	next    int
	follows *Follower
	highest model.Revision
}

// bases reads what each node's last change was.
func (w *settingsWorld) tree(t *rapid.T) setts.Tree {
	calm := w.kv.calm
	w.kv.calm = true
	defer func() { w.kv.calm = calm }()
	e, _ := w.kv.Get(context.Background(), HeadKey)
	h, err := DecodeHead(e.Value)
	assert.NilError(t, err)
	tree, err := NewLog(w.kv).Load(context.Background(), h)
	assert.NilError(t, err)
	return tree
}

func (w *settingsWorld) change(t *rapid.T) setts.Change {
	w.next++
	c := setts.Change{ID: fmt.Sprintf("c%d", w.next), Path: rapid.SampledFrom([]string{"/", "/a", "/a/b", "/c"}).Draw(t, "path")}
	c.Kind = setts.Kind(strings.Count(strings.TrimSuffix(c.Path, "/"), "/"))
	c.Base = w.tree(t).Nodes[c.Path].Changed
	if rapid.IntRange(0, 9).Draw(t, "remove") == 9 {
		c.Remove = true
	} else {
		c.Set = map[string]string{"weight": strconv.Itoa(1 + w.next)}
	}
	if rapid.IntRange(0, 5).Draw(t, "stale") == 5 && c.Base > 0 {
		c.Base--
	}
	return c
}

func (w *settingsWorld) submit(t *rapid.T, c setts.Change) {
	done, err := NewLog(w.kv).Submit(context.Background(), c)
	var conflict *setts.ConflictError
	var problem *setts.CheckError
	switch {
	case err == nil:
		if other, taken := w.oracle.accepted[done.Revision]; taken && other.ID != c.ID {
			t.Fatalf("revision %d was given to %s and to %s", done.Revision, other.ID, c.ID)
		}
		w.oracle.accepted[done.Revision] = done
	case errors.Is(err, ErrUnknown):
		w.oracle.unknown[c.ID] = true
	case errors.Is(err, ErrDown), errors.As(err, &conflict), errors.As(err, &problem):
		w.oracle.refused[c.ID] = true
	default:
		t.Fatalf("submitting: %v", err)
	}
}

// follow lets the follower catch up as a daemon does.
func (w *settingsWorld) follow(t *rapid.T) {
	e, out := w.kv.Get(context.Background(), HeadKey)
	if out != model.Done {
		return
	}
	h, err := DecodeHead(e.Value)
	assert.NilError(t, err)
	done, err := w.follows.OfferChanges(h.Entries)
	assert.NilError(t, err)
	if !done {
		tree, err := NewLog(w.kv).Load(context.Background(), h)
		if err != nil {
			return
		}
		w.follows.OfferTree(tree)
	}
	w.seen(t)
}

func (w *settingsWorld) seen(t *rapid.T) {
	r := w.follows.Revision()
	if r < w.highest {
		t.Fatalf("the revision in force went from %d to %d", w.highest, r)
	}
	w.highest = r
}

// check replays the accepted changes in their order and holds the log's tree
// against the result.
func (w *settingsWorld) check(t *rapid.T) {
	tree := w.tree(t)
	want := setts.NewTree()
	last := map[string]model.Revision{}
	e, _ := w.kv.Get(context.Background(), HeadKey)
	h, err := DecodeHead(e.Value)
	assert.NilError(t, err)
	for _, c := range h.Entries {
		if w.oracle.refused[c.ID] {
			t.Fatalf("change %s was refused and is in the log", c.ID)
		}
		if w.oracle.unknown[c.ID] {
			w.oracle.accepted[c.Revision] = c
		}
	}
	for r := model.Revision(1); r <= tree.Revision; r++ {
		c, ok := w.oracle.accepted[r]
		if !ok {
			return // An unknown change that the head no longer holds.
		}
		if c.Base != last[c.Path] {
			t.Fatalf("revision %d at %s was accepted on base %d over revision %d", r, c.Path, c.Base, last[c.Path])
		}
		last[c.Path] = r
		if c.Remove {
			for path := range last {
				if setts.Below(path, c.Path) {
					last[path] = 0
				}
			}
		}
		if want, err = want.Apply(c); err != nil {
			t.Fatalf("accepted revision %d cannot be applied: %v", r, err)
		}
	}
	assert.DeepEqual(t, tree.Nodes, want.Nodes)
}

// TestSettingsLog: operators race, answers are lost, writes land late. What was
// accepted is in the log once, in order; what was refused is not; what is in
// force never goes back.
func TestSettingsLog(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		kv := &faultyKV{t: t, store: fakes.NewStore(), now: time.Unix(1_000_000, 0)}
		w := &settingsWorld{t: t, kv: kv, follows: &Follower{}, oracle: settingsOracle{
			accepted: map[model.Revision]setts.Change{}, unknown: map[string]bool{}, refused: map[string]bool{},
		}}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) { w.submit(t, w.change(t)) },
			"race": func(t *rapid.T) {
				kv.before = func() { w.submit(t, w.change(t)) }
				w.submit(t, w.change(t))
				kv.before = nil
			},
			"follow": func(t *rapid.T) { w.follow(t) },
			"old peer": func(t *rapid.T) {
				w.follows.OfferTree(setts.Tree{Revision: w.highest / 2, Nodes: setts.NewTree().Nodes})
				w.seen(t)
			},
		})
		kv.calm = true
		w.check(t)
		w.follow(t)
		assert.Equal(t, w.follows.Revision(), w.tree(t).Revision)
		assert.DeepEqual(t, w.follows.Force().Tree.Nodes, w.tree(t).Nodes)
	})
}

// TestLostAnswerIsResolved: a change whose answer was lost is found by reading
// back, and is reported as accepted.
func TestLostAnswerIsResolved(t *testing.T) {
	kv := &faultyKV{store: fakes.NewStore(), now: time.Unix(1_000_000, 0), calm: true}
	lost := &losingKV{faultyKV: kv}
	c := setts.Change{ID: "c", Path: "/", Set: map[string]string{"weight": "2"}}
	done, err := NewLog(lost).Submit(t.Context(), c)
	assert.NilError(t, err)
	assert.Equal(t, done.Revision, model.Revision(1))
}

// losingKV loses the answer to its first write.
type losingKV struct {
	*faultyKV
	lost bool
}

func (k *losingKV) CAS(ctx context.Context, op model.CAS) (uint64, model.Outcome) {
	rev, out := k.faultyKV.CAS(ctx, op)
	if !k.lost {
		k.lost = true
		return 0, model.Unknown
	}
	return rev, out
}

// TestPeerHandsOn: a follower that only hears from a peer ends with the same tree.
func TestPeerHandsOn(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		ahead, behind := &Follower{}, &Follower{}
		ahead.OfferTree(setts.NewTree())
		for i := range rapid.IntRange(1, 100).Draw(t, "changes") {
			f := ahead.Force()
			c := setts.Change{Revision: f.Revision + 1, Path: "/", Base: f.Tree.Nodes["/"].Changed, Set: map[string]string{"weight": strconv.Itoa(i + 1)}}
			done, err := ahead.OfferChanges([]setts.Change{c})
			assert.NilError(t, err)
			assert.Assert(t, done)
			if rapid.IntRange(0, 9).Draw(t, "hand on") < 9 {
				continue
			}
			if changes, ok := ahead.Since(behind.Revision()); ok {
				done, err = behind.OfferChanges(changes)
				assert.NilError(t, err)
				assert.Assert(t, done)
			} else {
				behind.OfferTree(ahead.Force().Tree)
			}
			assert.DeepEqual(t, behind.Force().Tree, ahead.Force().Tree)
		}
	})
}

func FuzzDecode(f *testing.F) {
	slot := Slot{Seq: 1, Epoch: 2, Writer: "w", Entries: []Entry{{Kind: Intent, Key: Digest("a")}}}
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
			_, _ = NewLog(&faultyKV{store: fakes.NewStore(), calm: true}).Load(t.Context(), h)
		}
		if tree, err := DecodeTree(raw); err == nil {
			setts.NewForce(tree).Explain(setts.Root)
		}
	})
}
