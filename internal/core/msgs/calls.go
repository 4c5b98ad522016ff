package msgs

import (
	"time"

	"bulrushpond.example/bulrushpond/internal/rings"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// CallID identifies a call to a service other than a model engine. It is unique within
// a daemon's process.
type CallID uint64

// Call is a call with an idempotency key, at the daemon that may own the key's shard.
type Call struct {
	ID CallID
	// Key is the digest of the idempotency key with its team and service.
	Key rings.Digest
	// BodyDigest is the digest of the request body.
	BodyDigest rings.Digest
	// Deadline is the time after which the caller no longer waits for the answer.
	Deadline time.Time
	// KeyExpiresAt is the time until which the key is kept.
	KeyExpiresAt time.Time
	// Repeatable is true if the service itself deduplicates calls by the key, so that
	// a call may be sent again.
	Repeatable bool
}

// CallEnd is the result of a dispatched call: an answer or a failure.
type CallEnd struct {
	ID      CallID
	Answer  *rings.StoredAnswer
	Failure *verdt.Error
}

//go:generate enumer -type=StoreKind -transform=snake -output=storekind_enumer.go

// StoreKind is the type of an operation on the key-value service.
type StoreKind uint8

const (
	// StoreGet reads a key.
	StoreGet StoreKind = iota
	// StoreCAS writes a key by compare-and-swap.
	StoreCAS
	// StoreGrant creates a lease.
	StoreGrant
	// StoreKeepAlive renews a lease.
	StoreKeepAlive
)

// Tag correlates a StoreResult with its StoreOp.
type Tag struct {
	// Shard is the shard that the operation is for, or -1 for the daemon's lease.
	Shard int
	// Seq is the sequence number among the operations of a shard. Results with a lower
	// number than the latest are stale.
	Seq uint64
	// Slot is the position in the journal's ring of a slot to read, or -1.
	Slot int
}

// StoreOp is one operation on the key-value service.
type StoreOp struct {
	Tag  Tag
	Kind StoreKind
	// Key is the key to read, for StoreGet.
	Key string
	// CAS is the write, for StoreCAS.
	CAS model.CAS
	// Expires is the expiry time wanted, for StoreGrant and StoreKeepAlive.
	Expires time.Time
	Lease   model.LeaseID
}

// StoreResult is the result of a StoreOp.
type StoreResult struct {
	Tag     Tag
	Kind    StoreKind
	Outcome model.Outcome
	// Entry is the entry read, for StoreGet.
	Entry model.Entry
	// Revision is the revision written, for StoreCAS.
	Revision uint64
	Lease    model.LeaseID
}

// CallReply is the final answer to the caller of a call with an idempotency key.
type CallReply struct {
	ID      CallID
	Answer  *rings.StoredAnswer
	Failure *verdt.Error
}

// Fleet is the latest known membership of the daemons.
type Fleet struct {
	// Live lists the daemons that may own shards, including this one, in sorted order.
	Live []model.DaemonID
}

// CallInbox holds the events that concern the shards since the last tick.
type CallInbox struct {
	// Shards is the number of shards in the settings; 0 means unchanged.
	Shards int
	// Fleet is the daemons' latest membership; nil means unchanged.
	Fleet   *Fleet
	Results []StoreResult
	Calls   []Call
	Ends    []CallEnd
	// Released lists the shards that their owners released since the last tick.
	Released []int
	// Stop makes the daemon hand over all its shards.
	Stop bool
}

// Reset empties the inbox and keeps the slices' capacity.
func (in *CallInbox) Reset() {
	*in = CallInbox{Results: in.Results[:0], Calls: in.Calls[:0], Ends: in.Ends[:0], Released: in.Released[:0]}
}

// Empty reports whether the inbox holds no event.
func (in *CallInbox) Empty() bool {
	return in.Shards == 0 && in.Fleet == nil && !in.Stop && len(in.Results)+len(in.Calls)+len(in.Ends)+len(in.Released) == 0
}

//go:generate enumer -type=ShardNoticeKind -transform=snake -output=shardnoticekind_enumer.go

// ShardNoticeKind is the type of a shard's state change or fault.
type ShardNoticeKind uint8

const (
	// ShardOwned means that this daemon became the shard's owner.
	ShardOwned ShardNoticeKind = iota
	// ShardLost means that another daemon took over the shard.
	ShardLost
	// ShardReleased means that this daemon handed over the shard.
	ShardReleased
	// ShardFull means that the shard's journal has no room left.
	ShardFull
	// ShardCorrupt means that a value of the shard's journal cannot be decoded.
	ShardCorrupt
)

// ShardNotice is an event of a shard that is logged for operators.
type ShardNotice struct {
	Kind   ShardNoticeKind
	Shard  int
	Detail string
}

// CallOutbox holds the commands that result from a tick of the shards.
type CallOutbox struct {
	Ops        []StoreOp
	Dispatches []CallID
	Replies    []CallReply
	Notices    []ShardNotice
	// Wake is the latest time for the next tick; zero means that none is needed.
	Wake time.Time
}

// Reset empties the outbox and keeps the slices' capacity.
func (out *CallOutbox) Reset() {
	*out = CallOutbox{Ops: out.Ops[:0], Dispatches: out.Dispatches[:0], Replies: out.Replies[:0], Notices: out.Notices[:0]}
}

// WakeAt sets Wake to the given time unless Wake is earlier. A zero time is ignored.
func (out *CallOutbox) WakeAt(at time.Time) {
	if !at.IsZero() && (out.Wake.IsZero() || at.Before(out.Wake)) {
		out.Wake = at
	}
}
