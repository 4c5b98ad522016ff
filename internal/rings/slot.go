// Package rings keeps ordered logs in the platform's key-value service. The
// compare of a compare-and-swap is the fence: a writer that was superseded
// cannot add to a log, whatever it believes about its lease.
//
// A journal is a ring of slots, each one key. Slots are overwritten by their
// revision and never deleted, so a writer that slept for long finds no hole to
// write into. The settings log is one value with its newest entries, and
// write-once snapshots beside it.
package rings

import (
	"crypto/sha256"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// Key is the digest of an idempotency key together with its team and service,
// or of a request body.
type Key [16]byte

// Digest returns the Key of a text made of parts.
func Digest(parts ...string) Key {
	h := sha256.New()
	for _, p := range parts {
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	var k Key
	copy(k[:], h.Sum(nil))
	return k
}

// Shard returns the shard of a key.
func (k Key) Shard(shards int) int {
	n := uint32(k[0])<<24 | uint32(k[1])<<16 | uint32(k[2])<<8 | uint32(k[3])
	return int(n % uint32(max(1, shards)))
}

//go:generate enumer -type=EntryKind -transform=snake -output=entrykind_enumer.go

// EntryKind is what a journal entry tells.
type EntryKind uint8

const (
	// Intent stands before a call is dispatched.
	Intent EntryKind = iota
	// Outcome stands after a call ended.
	Outcome
)

// Stored is a plain service's answer as it is kept.
type Stored struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Body        []byte `cbor:"3,keyasint,omitempty"`
	// Cut is set where the body was too large to keep.
	Cut bool `cbor:"4,keyasint,omitempty"`
}

// Entry is one line of a journal.
type Entry struct {
	Kind EntryKind `cbor:"1,keyasint"`
	Key  Key       `cbor:"2,keyasint"`
	// Body is the digest of the request body.
	Body Key `cbor:"3,keyasint"`
	// Until is when the entry may be forgotten.
	Until time.Time `cbor:"4,keyasint"`
	// Verdict and Answer are set in outcomes.
	Verdict verdt.Verdict `cbor:"5,keyasint,omitempty"`
	Answer  *Stored       `cbor:"6,keyasint,omitempty"`
}

// Slot is one key's value in a journal.
type Slot struct {
	// Seq numbers the slots of a journal from 1. The slot at a position of
	// the ring always holds the highest Seq that was written there.
	Seq uint64 `cbor:"1,keyasint"`
	// Epoch is the fencing number of the writer. It never goes down along Seq.
	Epoch uint64 `cbor:"2,keyasint"`
	// Writer names the process that wrote last.
	Writer string `cbor:"3,keyasint"`
	// Commit counts the writer's writes, so that a lost answer can be resolved
	// by reading back.
	Commit uint64 `cbor:"4,keyasint"`
	// Sealed slots are full: the next entries go to slot Seq+1, which nobody
	// may write before this one is sealed.
	Sealed  bool    `cbor:"5,keyasint"`
	Entries []Entry `cbor:"6,keyasint"`
}

// maxEntries bounds what a hostile value can make a decoder allocate.
const maxEntries = 1 << 16

// DecodeSlot reads a slot's value. An empty value is a slot never written.
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

// Encode returns a slot's value.
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

// Newest returns when the last of the entries may be forgotten.
func (s Slot) Newest() time.Time {
	var newest time.Time
	for _, e := range s.Entries {
		if e.Until.After(newest) {
			newest = e.Until
		}
	}
	return newest
}
