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

// HeadKey is the key that holds the Head of the settings log.
const HeadKey = "settings/head"

const (
	// minHeadEntries is how many entries compaction leaves in the head, so that
	// a daemon that missed a few changes needs no snapshot.
	minHeadEntries = 8
	// compactionThreshold is the number of entries at which a writer takes a
	// snapshot and compacts the head.
	compactionThreshold = 16
)

// Head is the value of HeadKey: the newest changes, and the snapshot that they
// apply to.
type Head struct {
	Revision model.Revision `cbor:"1,keyasint"`
	// Snapshot is the revision of the snapshot to start from; 0 is the empty
	// tree. Entries are contiguous, start at Snapshot+1 or earlier and end at
	// Revision.
	Snapshot model.Revision `cbor:"2,keyasint"`
	Entries  []setts.Change `cbor:"3,keyasint"`
	// Previous is the revision of the snapshot before Snapshot. It is kept for
	// readers that hold an older head, and deleted when the next snapshot is
	// written.
	Previous model.Revision `cbor:"4,keyasint"`
}

// SnapshotKey returns the write-once key of the tree at a revision.
func SnapshotKey(r model.Revision) string { return fmt.Sprintf("settings/snapshot/%d", r) }

// Encode returns the value that is stored under HeadKey.
func (h Head) Encode() ([]byte, error) { return encode(h) }

// DecodeHead decodes and validates the value of HeadKey. An empty value is a log
// without changes.
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

// EncodeTree returns the value of a snapshot. The encoding is deterministic:
// equal trees have equal values.
func EncodeTree(t setts.Tree) ([]byte, error) { return encode(t) }

// DecodeTree decodes the value of a snapshot.
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

// NewLog returns the settings log stored in a key-value service.
func NewLog(kv plat.KV) *Log { return &Log{kv: kv} }

// Load returns the tree at a head: its snapshot with the later entries applied.
func (l *Log) Load(ctx context.Context, h Head) (setts.Tree, error) {
	t := setts.NewTree()
	if h.Snapshot > 0 {
		e, out := l.kv.Get(ctx, SnapshotKey(h.Snapshot))
		if out != model.Done {
			return t, trace.Wrap(ErrUnavailable, "reading the settings snapshot")
		}
		if e.Revision == 0 {
			return t, trace.Wrap(errStaleHead)
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

// ErrUnknown means that a change may have been accepted or may still be. It is
// safe to submit the same change again, because it is recognized by its ID.
var ErrUnknown = errors.New("the key-value service gave no answer: the change may have been accepted")

// ErrUnavailable means that the change was not accepted because the key-value service
// refuses requests.
var ErrUnavailable = errors.New("the key-value service is down: the change was not accepted")

// errStaleHead means that a head was replaced and its snapshot deleted after the
// head was read.
var errStaleHead = errors.New("the settings snapshot was replaced while it was read")

// maxSubmitAttempts limits the retries of a submission, after conflicts with
// concurrent writers and after lost answers.
const maxSubmitAttempts = 20

// Submit appends a change to the log and returns it with its revision. After a
// lost answer it reads the head again and looks for the change by its ID. A
// write that takes effect late cannot overwrite a newer head, because its
// compare-and-swap expects an older revision.
func (l *Log) Submit(ctx context.Context, c setts.Change) (setts.Change, error) {
	outcomeUnknown := false
	for range maxSubmitAttempts {
		if ctx.Err() != nil {
			break
		}
		e, out := l.kv.Get(ctx, HeadKey)
		if out != model.Done {
			return c, submitError(out, outcomeUnknown)
		}
		h, err := DecodeHead(e.Value)
		if err != nil {
			return c, err
		}
		if existing, ok := h.changeByID(c.ID); ok {
			return existing, nil
		}
		out, accepted, err := l.append(ctx, e, h, c)
		switch {
		case errors.Is(err, errStaleHead):
			continue
		case err != nil && outcomeUnknown:
			// The change may already be in the log, and then conflicts with itself.
			return c, ErrUnknown
		case err != nil:
			return c, err
		case out == model.Done:
			return accepted, nil
		case out == model.Refused:
			return c, submitError(out, outcomeUnknown)
		case out == model.Unknown:
			outcomeUnknown = true
		}
	}
	return c, submitError(model.Unknown, outcomeUnknown)
}

// submitError returns ErrUnavailable if the last attempt was refused and no earlier one
// may have taken effect, and ErrUnknown otherwise.
func submitError(out model.Outcome, outcomeUnknown bool) error {
	if out == model.Refused && !outcomeUnknown {
		return ErrUnavailable
	}
	return ErrUnknown
}

// changeByID returns the change with an ID if the head still holds it.
func (h Head) changeByID(id string) (setts.Change, bool) {
	for _, e := range h.Entries {
		if e.ID == id {
			return e, true
		}
	}
	return setts.Change{}, false
}

// append makes one attempt to write a head with a change appended, and
// compacts it if it has grown to compactionThreshold entries. headEntry is the
// entry from which h was read.
func (l *Log) append(ctx context.Context, headEntry model.Entry, h Head, c setts.Change) (model.Outcome, setts.Change, error) {
	t, err := l.Load(ctx, h)
	if err != nil {
		return model.Refused, c, err
	}
	next, err := t.Apply(c)
	if err != nil {
		return model.Refused, c, err
	}
	obsoleteSnapshot := model.Revision(0)
	c.Revision = next.Revision
	h.Revision = next.Revision
	h.Entries = append(h.Entries, c)
	if len(h.Entries) >= compactionThreshold {
		if err := l.writeSnapshot(ctx, t); err != nil {
			return model.Refused, c, err
		}
		obsoleteSnapshot, h.Previous, h.Snapshot = h.Previous, h.Snapshot, t.Revision
		h.Entries = h.Entries[len(h.Entries)-minHeadEntries:]
	}
	raw, err := h.Encode()
	if err != nil {
		return model.Refused, c, err
	}
	_, out := l.kv.CAS(ctx, model.CAS{Key: HeadKey, Value: raw, Expect: headEntry.Revision})
	if out == model.Done && obsoleteSnapshot > 0 {
		l.deleteKey(ctx, SnapshotKey(obsoleteSnapshot))
	}
	return out, c, nil
}

// deleteKey deletes a key that is no longer read. It ignores failures: a key that
// remains only takes up storage.
func (l *Log) deleteKey(ctx context.Context, key string) {
	if e, out := l.kv.Get(ctx, key); out == model.Done && e.Revision > 0 {
		_, _ = l.kv.CAS(ctx, model.CAS{Key: key, Expect: e.Revision, Delete: true})
	}
}

// writeSnapshot writes the tree under the key of its revision. All writers write
// the same value there, so a conflict counts as success.
func (l *Log) writeSnapshot(ctx context.Context, t setts.Tree) error {
	raw, err := EncodeTree(t)
	if err != nil {
		return err
	}
	_, out := l.kv.CAS(ctx, model.CAS{Key: SnapshotKey(t.Revision), Value: raw})
	if out == model.Done || out == model.Conflict {
		return nil
	}
	return ErrUnavailable
}
