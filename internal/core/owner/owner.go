// Package owner implements at-most-once calls by idempotency key. The keys are
// divided into shards, each owned by one daemon at a time. The owner writes an
// intent to the shard's journal before it dispatches a call and an outcome after
// the call ended, and answers repeated calls from them.
package owner

import (
	"fmt"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/rings"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// Config holds the constants of shard ownership and journals.
type Config struct {
	Self model.DaemonID
	// Process names this process; two processes of one VM differ.
	Process string
	// LeaseTTL is how long an owner that stops renewing its lease keeps its
	// shards.
	LeaseTTL time.Duration
	// Slots is the number of slots in each journal's ring.
	Slots int
	// SealBytes is the size from which a slot is sealed once the next one may be
	// overwritten. Until then it grows up to MaxSlotBytes.
	SealBytes    int
	MaxSlotBytes int
	// CommitInterval is the minimum time between two commits of a shard.
	CommitInterval time.Duration
	// OutcomeDelay is how long an outcome may wait to share a commit with an
	// intent.
	OutcomeDelay time.Duration
	// CommitTimeout is how long the calls of a commit wait for it before they
	// are refused.
	CommitTimeout time.Duration
	// PollInterval is the time between attempts to claim a shard that has another
	// owner, and between other retries.
	PollInterval time.Duration
	// MaxAnswerBytes is the size of the largest answer body that is stored.
	MaxAnswerBytes int
}

// DefaultConfig returns the constants that daemons use.
func DefaultConfig(self model.DaemonID, process string) Config {
	return Config{
		Self: self, Process: process,
		LeaseTTL: 6 * time.Second, Slots: 32, SealBytes: 48 << 10, MaxSlotBytes: 512 << 10,
		CommitInterval: 100 * time.Millisecond, OutcomeDelay: 500 * time.Millisecond,
		CommitTimeout: 2 * time.Second, PollInterval: 500 * time.Millisecond, MaxAnswerBytes: 4 << 10,
	}
}

// refusalRetryDelay is the time after which a caller that was refused for a
// transient reason should retry.
const refusalRetryDelay = time.Second

// call is an accepted call that has no reply yet.
type call struct {
	msgs.Call
	shard int
	// retries counts dispatches after the first; it stays 0 unless the service
	// itself honours the key.
	retries int
}

// State is this daemon's view of all shards.
type State struct {
	cfg      Config
	shards   []*shard
	calls    map[msgs.CallID]*call
	fleet    msgs.Fleet
	lease    leaseState
	stopping bool
}

// New returns the state of a daemon that owns no shards.
func New(cfg Config) *State {
	return &State{cfg: cfg, calls: map[msgs.CallID]*call{}}
}

// Tick applies the inbox and fills out with the resulting actions.
func (st *State) Tick(now time.Time, in *msgs.CallInbox, out *msgs.CallOutbox) {
	out.Reset()
	if in.Shards > 0 && len(st.shards) == 0 {
		st.createShards(in.Shards)
	}
	if in.Fleet != nil {
		st.fleet = *in.Fleet
	}
	st.stopping = st.stopping || in.Stop
	for _, s := range in.Released {
		if s >= 0 && s < len(st.shards) {
			st.shards[s].pollAt = time.Time{}
		}
	}
	for _, r := range in.Results {
		st.handleResult(now, r, out)
	}
	for _, e := range in.Ends {
		st.handleCallEnd(now, e, out)
	}
	for _, c := range in.Calls {
		st.handleCall(now, c, out)
	}
	st.lease.step(now, st, out)
	for _, s := range st.shards {
		s.step(now, out)
	}
}

func (st *State) createShards(n int) {
	for i := range n {
		st.shards = append(st.shards, newShard(st, i))
	}
}

// handleResult passes a result of the key-value service to the lease or to its
// shard.
func (st *State) handleResult(now time.Time, r msgs.StoreResult, out *msgs.CallOutbox) {
	if r.Tag.Shard < 0 {
		st.lease.handleResult(now, r, st, out)
		return
	}
	if r.Tag.Shard < len(st.shards) {
		st.shards[r.Tag.Shard].handleResult(now, r, out)
	}
}

// ShardOf returns the shard of a key, or false before the settings are known.
func (st *State) ShardOf(k rings.Digest) (int, bool) {
	if len(st.shards) == 0 {
		return 0, false
	}
	return k.Shard(len(st.shards)), true
}

// Owns reports whether this daemon owns a shard and accepts its calls.
func (st *State) Owns(shard int) bool {
	return shard < len(st.shards) && st.shards[shard].phase == Active
}

// OwnedShards lists the shards that this daemon owns.
func (st *State) OwnedShards() []int {
	var owned []int
	for i, s := range st.shards {
		if s.phase == Active {
			owned = append(owned, i)
		}
	}
	return owned
}

// Idle reports whether no shard is owned or being claimed and no call is in
// progress, so that the process may exit.
func (st *State) Idle() bool {
	for _, s := range st.shards {
		if s.phase != Idle {
			return false
		}
	}
	return len(st.calls) == 0
}

// handleCall passes a call to its shard, or refuses it if this daemon is not the
// owner.
func (st *State) handleCall(now time.Time, c msgs.Call, out *msgs.CallOutbox) {
	n, ok := st.ShardOf(c.Key)
	if !ok || !st.Owns(n) {
		refuse(now, c.ID, verdt.OwnerUnknown, "this daemon does not own the key's shard", out)
		return
	}
	st.shards[n].handleCall(now, c, out)
}

// handleCallEnd handles the end of a dispatched call: it dispatches the call again
// if it may be retried, and else replies and records the outcome.
func (st *State) handleCallEnd(now time.Time, e msgs.CallEnd, out *msgs.CallOutbox) {
	c := st.calls[e.ID]
	if c == nil {
		return
	}
	if e.Failure != nil && c.mayRetry(now) {
		c.retries++
		out.Dispatches = append(out.Dispatches, c.ID)
		return
	}
	delete(st.calls, e.ID)
	out.Replies = append(out.Replies, msgs.CallReply(e))
	st.shards[c.shard].recordOutcome(now, c, e)
}

// maxRetries limits the retries of a call to a service that itself honours the
// key.
const maxRetries = 3

func (c *call) mayRetry(now time.Time) bool {
	return c.Repeatable && c.retries < maxRetries && now.Before(c.Deadline)
}

// refuse replies that a call did not run and may be retried later.
func refuse(now time.Time, id msgs.CallID, reason verdt.Reason, message string, out *msgs.CallOutbox) {
	fail(id, verdt.New(verdt.NotRun, reason, message, verdt.RetryAt(now.Add(refusalRetryDelay))), out)
}

// fail replies to a call with a failure.
func fail(id msgs.CallID, f *verdt.Error, out *msgs.CallOutbox) {
	out.Replies = append(out.Replies, msgs.CallReply{ID: id, Failure: f})
}

// Check returns the first broken invariant.
func (st *State) Check() error {
	for _, s := range st.shards {
		if err := s.checkInvariants(); err != nil {
			return fmt.Errorf("shard %d: %w", s.index, err)
		}
	}
	return nil
}

// HasLease reports whether this daemon may claim shards.
func (st *State) HasLease(now time.Time) bool { return !st.stopping && st.lease.valid(now) }

// Epoch returns the fencing token under which this daemon last owned a shard.
func (st *State) Epoch(shard int) uint64 { return st.shards[shard].epoch }

// ShardOwnership returns the number of shards, the epochs of those that this daemon owns,
// and when its lease expires.
func (st *State) ShardOwnership() (shards int, epochs map[int]uint64, leaseUntil time.Time) {
	epochs = map[int]uint64{}
	for i, s := range st.shards {
		if s.phase == Active {
			epochs[i] = s.epoch
		}
	}
	return len(st.shards), epochs, st.lease.expiresAt
}
