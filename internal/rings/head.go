package rings

import (
	"context"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"bulrushpond.example/bulrushpond/internal/plat"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

// HeadKey is the key of the settings log.
const HeadKey = "settings/head"

const (
	// keepEntries is how many entries the head holds at least, so that a
	// daemon that missed a few needs no snapshot.
	keepEntries = 8
	// compactAt is how many entries make a writer take a snapshot.
	compactAt = 16
)

// Head is the value of HeadKey: the newest changes, and where the tree before
// them is found.
type Head struct {
	Revision model.Revision `cbor:"1,keyasint"`
	// Snapshot is the revision of the snapshot to start from; 0 is the empty
	// tree. Entries reach from at most Snapshot+1 to Revision without a gap.
	Snapshot model.Revision `cbor:"2,keyasint"`
	Entries  []setts.Change `cbor:"3,keyasint"`
	// Previous is the snapshot before Snapshot; it is kept for readers that
	// hold an older head, and deleted with the next snapshot.
	Previous model.Revision `cbor:"4,keyasint"`
}

// SnapshotKey is the write-once key of the tree at a revision.
func SnapshotKey(r model.Revision) string { return fmt.Sprintf("settings/snapshot/%d", r) }

// Encode returns the value of a head.
func (h Head) Encode() ([]byte, error) { return encode(h) }

// DecodeHead reads a head's value. An empty value is the log without a change.
func DecodeHead(raw []byte) (Head, error) {
	var h Head
	if len(raw) == 0 {
		return h, nil
	}
	if err := decode(raw, &h); err != nil {
		return Head{}, err
	}
	for i, e := range h.Entries {
		if e.Revision != h.Revision-model.Revision(len(h.Entries)-1-i) {
			return Head{}, trace.BadParameter("settings log: revision %d stands out of order", e.Revision)
		}
	}
	if first := h.Revision - model.Revision(len(h.Entries)); first > h.Snapshot || h.Snapshot > h.Revision {
		return Head{}, trace.BadParameter("settings log: a gap between snapshot %d and revision %d", h.Snapshot, first+1)
	}
	return h, nil
}

// EncodeTree returns the value of a snapshot. Equal trees have equal values.
func EncodeTree(t setts.Tree) ([]byte, error) { return encode(t) }

// DecodeTree reads a snapshot's value.
func DecodeTree(raw []byte) (setts.Tree, error) {
	var t setts.Tree
	if err := decode(raw, &t); err != nil {
		return t, err
	}
	if _, ok := t.Nodes[setts.Root]; !ok {
		return t, trace.BadParameter("settings snapshot without a root")
	}
	return t, nil
}

func encode(v any) ([]byte, error) {
	opts := cbor.CoreDetEncOptions()
	opts.Time = cbor.TimeRFC3339Nano
	mode, err := opts.EncMode()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	raw, err := mode.Marshal(v)
	return raw, trace.Wrap(err)
}

func decode(raw []byte, v any) error {
	mode, err := cbor.DecOptions{MaxArrayElements: maxEntries, MaxMapPairs: maxEntries, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		return trace.Wrap(err)
	}
	if err := mode.Unmarshal(raw, v); err != nil {
		return trace.BadParameter("settings log: %s", err.Error())
	}
	return nil
}

// Log reads and writes the settings log.
type Log struct{ kv plat.KV }

// NewLog returns the log in a key-value service.
func NewLog(kv plat.KV) *Log { return &Log{kv: kv} }

// Load returns the tree at a head.
func (l *Log) Load(ctx context.Context, h Head) (setts.Tree, error) {
	t := setts.NewTree()
	if h.Snapshot > 0 {
		e, out := l.kv.Get(ctx, SnapshotKey(h.Snapshot))
		if out != model.Done {
			return t, trace.Wrap(ErrDown, "reading the settings snapshot")
		}
		if e.Revision == 0 {
			return t, trace.Wrap(errOldHead)
		}
		var err error
		if t, err = DecodeTree(e.Value); err != nil {
			return t, err
		}
	}
	for _, c := range h.Entries {
		if c.Revision <= t.Revision {
			continue
		}
		next, err := t.Apply(c)
		if err != nil {
			return t, trace.BadParameter("settings log: revision %d cannot be applied: %s", c.Revision, err.Error())
		}
		t = next
	}
	if t.Revision != h.Revision {
		return t, trace.BadParameter("settings log: reached revision %d of %d", t.Revision, h.Revision)
	}
	return t, nil
}

// ErrUnknown means that a change may or may not have been accepted, and may
// still be; the same change may be submitted again by its ID.
var ErrUnknown = errors.New("the key-value service gave no answer: the change may have been accepted")

// ErrDown means that the change was not accepted, because the key-value service
// refuses calls.
var ErrDown = errors.New("the key-value service is down: the change was not accepted")

// errOldHead means that a head was replaced, and its snapshot deleted, since it
// was read.
var errOldHead = errors.New("the settings snapshot was replaced while it was read")

// submitTries bounds the races that a submission survives.
const submitTries = 20

// Submit adds a change to the log and returns it as accepted. A lost answer is
// resolved by reading back, where the change is known by its ID; a write that
// lands late compares with a revision that is no longer there.
func (l *Log) Submit(ctx context.Context, c setts.Change) (setts.Change, error) {
	unsure := false
	for range submitTries {
		if ctx.Err() != nil {
			break
		}
		e, out := l.kv.Get(ctx, HeadKey)
		if out != model.Done {
			return c, endOf(out, unsure)
		}
		h, err := DecodeHead(e.Value)
		if err != nil {
			return c, err
		}
		if done, ok := h.find(c.ID); ok {
			return done, nil
		}
		out, accepted, err := l.append(ctx, e, h, c)
		switch {
		case errors.Is(err, errOldHead):
			continue
		case err != nil && unsure:
			// The change may be in the log; a conflict may be with itself.
			return c, ErrUnknown
		case err != nil:
			return c, err
		case out == model.Done:
			return accepted, nil
		case out == model.Refused:
			return c, endOf(out, unsure)
		case out == model.Unknown:
			unsure = true
		}
	}
	return c, endOf(model.Unknown, unsure)
}

func endOf(out model.Outcome, unsure bool) error {
	if out == model.Refused && !unsure {
		return ErrDown
	}
	return ErrUnknown
}

// find returns a change that the head holds.
func (h Head) find(id string) (setts.Change, bool) {
	for _, e := range h.Entries {
		if e.ID == id {
			return e, true
		}
	}
	return setts.Change{}, false
}

// append tries to write one change behind a head.
func (l *Log) append(ctx context.Context, was model.Entry, h Head, c setts.Change) (model.Outcome, setts.Change, error) {
	t, err := l.Load(ctx, h)
	if err != nil {
		return model.Refused, c, err
	}
	next, err := t.Apply(c)
	if err != nil {
		return model.Refused, c, err
	}
	garbage := model.Revision(0)
	c.Revision = next.Revision
	h.Revision = next.Revision
	h.Entries = append(h.Entries, c)
	if len(h.Entries) >= compactAt {
		if err := l.snapshot(ctx, t); err != nil {
			return model.Refused, c, err
		}
		garbage, h.Previous, h.Snapshot = h.Previous, h.Snapshot, t.Revision
		h.Entries = h.Entries[len(h.Entries)-keepEntries:]
	}
	raw, err := h.Encode()
	if err != nil {
		return model.Refused, c, err
	}
	_, out := l.kv.CAS(ctx, model.CAS{Key: HeadKey, Value: raw, Expect: was.Revision})
	if out == model.Done && garbage > 0 {
		l.drop(ctx, SnapshotKey(garbage))
	}
	return out, c, nil
}

// drop deletes a key that nobody reads any more. A failure leaves it behind,
// which costs its room and nothing else.
func (l *Log) drop(ctx context.Context, key string) {
	if e, out := l.kv.Get(ctx, key); out == model.Done && e.Revision > 0 {
		_, _ = l.kv.CAS(ctx, model.CAS{Key: key, Expect: e.Revision, Delete: true})
	}
}

// snapshot writes the tree under its own revision. Every writer would write the
// same value there, so a conflict is as good as success.
func (l *Log) snapshot(ctx context.Context, t setts.Tree) error {
	raw, err := EncodeTree(t)
	if err != nil {
		return err
	}
	_, out := l.kv.CAS(ctx, model.CAS{Key: SnapshotKey(t.Revision), Value: raw})
	if out == model.Done || out == model.Conflict {
		return nil
	}
	return ErrDown
}
