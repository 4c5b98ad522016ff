// Package rings stores ordered logs in the platform's key-value service. Every
// write is a compare-and-swap, which fences the writers: one that was superseded
// cannot append to a log, even if it still believes that it holds the lease.
//
// A journal is a ring buffer of slots, each stored under a key of its own. Slots
// are overwritten with a compare on their revision and never deleted, so a writer
// that resumes after a long pause finds no empty slot to write to. The settings
// log is a head value with the newest changes, plus write-once snapshots.
package rings

import (
	"crypto/sha256"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// Digest is a truncated SHA-256, of an idempotency key together with its team and
// service or of the content of a request.
type Digest [16]byte

// NewDigest returns the Digest of a sequence of strings.
func NewDigest(parts ...string) Digest {
	h := sha256.New()
	for _, part := range parts {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	var k Digest
	copy(k[:], h.Sum(nil))
	return k
}

// Shard returns the shard that a key belongs to, out of a number of shards.
func (k Digest) Shard(shards int) int {
	n := uint32(k[0])<<24 | uint32(k[1])<<16 | uint32(k[2])<<8 | uint32(k[3])
	return int(n % uint32(max(1, shards)))
}

//go:generate enumer -type=EntryKind -transform=snake -output=entrykind_enumer.go

// EntryKind is the kind of a journal entry.
type EntryKind uint8

const (
	// Intent is recorded before a call is dispatched.
	Intent EntryKind = iota
	// Outcome is recorded after a call ended.
	Outcome
)

// StoredAnswer is a plain service's answer as stored in the journal.
type StoredAnswer struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Body        []byte `cbor:"3,keyasint,omitempty"`
	// BodyOmitted is set if the body was too large to store and was left out.
	BodyOmitted bool `cbor:"4,keyasint,omitempty"`
}

// JournalEntry is one record of a journal.
type JournalEntry struct {
	Kind EntryKind `cbor:"1,keyasint"`
	Key  Digest    `cbor:"2,keyasint"`
	// BodyDigest is the digest of the request body.
	BodyDigest Digest `cbor:"3,keyasint"`
	// ExpiresAt is when the entry expires and may be overwritten.
	ExpiresAt time.Time `cbor:"4,keyasint"`
	// Verdict and Answer are set in entries of kind Outcome.
	Verdict verdt.Verdict `cbor:"5,keyasint,omitempty"`
	Answer  *StoredAnswer `cbor:"6,keyasint,omitempty"`
}

// Slot is the value of one key of a journal.
type Slot struct {
	// Seq numbers the slots of a journal from 1. Each position of the ring holds
	// the highest Seq that was ever written there.
	Seq uint64 `cbor:"1,keyasint"`
	// Epoch is the fencing token of the writer. It never decreases as Seq grows.
	Epoch uint64 `cbor:"2,keyasint"`
	// Writer names the process that wrote the slot last.
	Writer string `cbor:"3,keyasint"`
	// Commit counts the writer's commits, so that a writer whose answer was lost
	// can tell from the stored slot whether its commit took effect.
	Commit uint64 `cbor:"4,keyasint"`
	// Sealed marks a full slot: the next entries go to slot Seq+1, which must
	// not be written before this one is sealed.
	Sealed  bool           `cbor:"5,keyasint"`
	Entries []JournalEntry `cbor:"6,keyasint"`
}

// maxEntries limits how much a malicious value can make a decoder allocate.
const maxEntries = 1 << 16

// DecodeSlot decodes a slot. An empty value is a slot that was never written.
func DecodeSlot(raw []byte) (Slot, error) {
	var s Slot
	if len(raw) == 0 {
		return s, nil
	}
	mode, err := cbor.DecOptions{MaxArrayElements: maxEntries, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		return s, trace.Wrap(err)
	}
	if err := mode.Unmarshal(raw, &s); err != nil {
		return Slot{}, trace.BadParameter("journal slot: %s", err.Error())
	}
	if s.Seq == 0 {
		return Slot{}, trace.BadParameter("journal slot without a number")
	}
	return s, nil
}

// Encode returns the value that is stored under the slot's key.
func (s Slot) Encode() []byte {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	raw, err := mode.Marshal(s)
	if err != nil {
		panic(err) // Every field has an encoding.
	}
	return raw
}

// LatestExpiry returns when the last of the slot's entries expires; zero if it has none.
func (s Slot) LatestExpiry() time.Time {
	var newest time.Time
	for _, e := range s.Entries {
		if e.ExpiresAt.After(newest) {
			newest = e.ExpiresAt
		}
	}
	return newest
}
