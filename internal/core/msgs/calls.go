package msgs

import (
	"time"

	"bulrushpond.example/bulrushpond/internal/rings"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// CallID names one call to a plain service within a daemon's process.
type CallID uint64

// Call is a call with an idempotency key, at the daemon that may own its shard.
type Call struct {
	ID   CallID
	Key  rings.Key
	Body rings.Key
	// Deadline is when the caller no longer waits.
	Deadline time.Time
	// Until is when the key may be forgotten.
	Until time.Time
	// Repeatable is set where the service itself honours the key.
	Repeatable bool
}

// CallEnd tells how a dispatched call ended: with an answer or a failure.
type CallEnd struct {
	ID      CallID
	Answer  *rings.Stored
	Failure *verdt.Error
}

//go:generate enumer -type=StoreKind -transform=snake -output=storekind_enumer.go

// StoreKind is what is asked of the key-value service.
type StoreKind uint8

const (
	// StoreGet reads a key.
	StoreGet StoreKind = iota
	// StoreCAS writes a key.
	StoreCAS
	// StoreGrant makes a lease.
	StoreGrant
	// StoreKeepAlive renews a lease.
	StoreKeepAlive
)

// Tag ties an answer to its question.
type Tag struct {
	// Shard is -1 for the daemon's lease.
	Shard int
	// Try numbers the questions of a shard; answers to an older one are stale.
	Try uint64
	// Slot is the position in the ring for a read of one, or -1.
	Slot int
}

// StoreOp is one call to the key-value service.
type StoreOp struct {
	Tag  Tag
	Kind StoreKind
	// Key is read by StoreGet.
	Key string
	// CAS is written by StoreCAS.
	CAS model.CAS
	// Expires is when a lease made or renewed now should lapse.
	Expires time.Time
	Lease   model.LeaseID
}

// StoreResult is the answer to a StoreOp.
type StoreResult struct {
	Tag     Tag
	Kind    StoreKind
	Outcome model.Outcome
	// Entry is what StoreGet read.
	Entry model.Entry
	// Revision is what StoreCAS made.
	Revision uint64
	Lease    model.LeaseID
}

// CallReply is the final answer to the caller of a call with a key.
type CallReply struct {
	ID      CallID
	Answer  *rings.Stored
	Failure *verdt.Error
}

// Fleet is what is known of the other daemons.
type Fleet struct {
	// Live are the daemons that may own shards, this one included, in order.
	Live []model.DaemonID
}

// CallInbox is what concerns the shards since the last tick.
type CallInbox struct {
	// Shards is the number of shards in the settings; 0 is no news.
	Shards  int
	Fleet   *Fleet
	Results []StoreResult
	Calls   []Call
	Ends    []CallEnd
	// Released are shards whose owner gave them back just now.
	Released []int
	// Stop makes the daemon hand over all its shards.
	Stop bool
}

// Reset empties the inbox and keeps its memory.
func (in *CallInbox) Reset() {
	*in = CallInbox{Results: in.Results[:0], Calls: in.Calls[:0], Ends: in.Ends[:0], Released: in.Released[:0]}
}

// Empty reports whether nothing happened.
func (in *CallInbox) Empty() bool {
	return in.Shards == 0 && in.Fleet == nil && !in.Stop && len(in.Results)+len(in.Calls)+len(in.Ends)+len(in.Released) == 0
}

//go:generate enumer -type=ShardNoticeKind -transform=snake -output=shardnoticekind_enumer.go

// ShardNoticeKind is what happened to a shard.
type ShardNoticeKind uint8

const (
	// ShardOwned is a shard that this daemon owns from now on.
	ShardOwned ShardNoticeKind = iota
	// ShardLost is a shard that another daemon took over.
	ShardLost
	// ShardReleased is a shard that was handed over.
	ShardReleased
	// ShardFull is a journal without room.
	ShardFull
	// ShardCorrupt is a journal value that cannot be read.
	ShardCorrupt
)

// ShardNotice is something that a person may want to know.
type ShardNotice struct {
	Kind   ShardNoticeKind
	Shard  int
	Detail string
}

// CallOutbox is what the shards want done.
type CallOutbox struct {
	Ops        []StoreOp
	Dispatches []CallID
	Replies    []CallReply
	Notices    []ShardNotice
	// Wake is when the next tick is needed at the latest; zero is never.
	Wake time.Time
}

// Reset empties the outbox and keeps its memory.
func (out *CallOutbox) Reset() {
	*out = CallOutbox{Ops: out.Ops[:0], Dispatches: out.Dispatches[:0], Replies: out.Replies[:0], Notices: out.Notices[:0]}
}

// WakeAt asks for a tick at a moment, if none is wanted earlier.
func (out *CallOutbox) WakeAt(at time.Time) {
	if !at.IsZero() && (out.Wake.IsZero() || at.Before(out.Wake)) {
		out.Wake = at
	}
}
