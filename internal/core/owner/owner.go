// Package owner decides about calls that may run at most once: which daemon
// owns which shard of the keys, what is made durable before a call is
// dispatched, and what a repeated call is answered.
package owner

import (
	"fmt"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/rings"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// Config are the constants of the ownership of shards.
type Config struct {
	Self model.DaemonID
	// Process names this process; two processes of one VM differ.
	Process string
	// LeaseTTL is how long an owner that falls silent keeps its shards.
	LeaseTTL time.Duration
	// Slots is the number of slots in each ring.
	Slots int
	// SlotBytes is when a slot is sealed; MaxSlotBytes is when it takes no more.
	SlotBytes    int
	MaxSlotBytes int
	// CommitEvery is the least time between two commits of a shard.
	CommitEvery time.Duration
	// OutcomeDelay is how long an outcome may wait for an intent to share its
	// commit.
	OutcomeDelay time.Duration
	// Patience is how long an unresolved commit may hold back its calls.
	Patience time.Duration
	// Poll is the time between looks at a shard that is wanted but not free.
	Poll time.Duration
	// MaxAnswer is the largest answer kept, in bytes.
	MaxAnswer int
}

// DefaultConfig returns the constants in use.
func DefaultConfig(self model.DaemonID, process string) Config {
	return Config{
		Self: self, Process: process,
		LeaseTTL: 6 * time.Second, Slots: 32, SlotBytes: 48 << 10, MaxSlotBytes: 512 << 10,
		CommitEvery: 100 * time.Millisecond, OutcomeDelay: 500 * time.Millisecond,
		Patience: 2 * time.Second, Poll: 500 * time.Millisecond, MaxAnswer: 4 << 10,
	}
}

// quickRetry is when a caller refused for a passing reason should come back.
const quickRetry = time.Second

// call is a call between its arrival and its reply.
type call struct {
	msgs.Call
	shard int
	// retries counts dispatches after the first, where the service takes keys.
	retries int
}

// State holds all shards as this daemon sees them.
type State struct {
	cfg    Config
	shards []*shard
	calls  map[msgs.CallID]*call
	fleet  msgs.Fleet
	lease  leaseState
	stop   bool
}

// New returns the state of a daemon that owns nothing.
func New(cfg Config) *State {
	return &State{cfg: cfg, calls: map[msgs.CallID]*call{}}
}

// Tick takes in what happened and fills out with what is to be done.
func (st *State) Tick(now time.Time, in *msgs.CallInbox, out *msgs.CallOutbox) {
	out.Reset()
	if in.Shards > 0 && len(st.shards) == 0 {
		st.makeShards(in.Shards)
	}
	if in.Fleet != nil {
		st.fleet = *in.Fleet
	}
	st.stop = st.stop || in.Stop
	for _, s := range in.Released {
		if s >= 0 && s < len(st.shards) {
			st.shards[s].pollAt = time.Time{}
		}
	}
	for _, r := range in.Results {
		st.result(now, r, out)
	}
	for _, e := range in.Ends {
		st.end(now, e, out)
	}
	for _, c := range in.Calls {
		st.arrive(now, c, out)
	}
	st.lease.step(now, st, out)
	for _, s := range st.shards {
		s.step(now, out)
	}
}

func (st *State) makeShards(n int) {
	for i := range n {
		st.shards = append(st.shards, newShard(st, i))
	}
}

func (st *State) result(now time.Time, r msgs.StoreResult, out *msgs.CallOutbox) {
	if r.Tag.Shard < 0 {
		st.lease.result(now, r, st, out)
		return
	}
	if r.Tag.Shard < len(st.shards) {
		st.shards[r.Tag.Shard].result(now, r, out)
	}
}

// ShardOf returns the shard of a key, or false before the settings are known.
func (st *State) ShardOf(k rings.Key) (int, bool) {
	if len(st.shards) == 0 {
		return 0, false
	}
	return k.Shard(len(st.shards)), true
}

// Owns reports whether this daemon may take calls for a shard.
func (st *State) Owns(shard int) bool {
	return shard < len(st.shards) && st.shards[shard].phase == Active
}

// Owned lists the shards that this daemon owns.
func (st *State) Owned() []int {
	var owned []int
	for i, s := range st.shards {
		if s.phase == Active {
			owned = append(owned, i)
		}
	}
	return owned
}

// Idle reports whether nothing is owned and no call is in progress, so that the
// process may end.
func (st *State) Idle() bool {
	for _, s := range st.shards {
		if s.phase != Idle {
			return false
		}
	}
	return len(st.calls) == 0
}

// arrive takes in a call at its shard.
func (st *State) arrive(now time.Time, c msgs.Call, out *msgs.CallOutbox) {
	n, ok := st.ShardOf(c.Key)
	if !ok || !st.Owns(n) {
		refuse(now, c.ID, verdt.OwnerUnknown, "this daemon does not own the key's shard", out)
		return
	}
	st.shards[n].arrive(now, c, out)
}

// end takes in how a dispatched call ended.
func (st *State) end(now time.Time, e msgs.CallEnd, out *msgs.CallOutbox) {
	c := st.calls[e.ID]
	if c == nil {
		return
	}
	if e.Failure != nil && c.mayRepeat(now) {
		c.retries++
		out.Dispatches = append(out.Dispatches, c.ID)
		return
	}
	delete(st.calls, e.ID)
	out.Replies = append(out.Replies, msgs.CallReply(e))
	st.shards[c.shard].ended(now, c, e)
}

// maxRepeats bounds how often a call is repeated at a service that takes keys.
const maxRepeats = 3

func (c *call) mayRepeat(now time.Time) bool {
	return c.Repeatable && c.retries < maxRepeats && now.Before(c.Deadline)
}

func refuse(now time.Time, id msgs.CallID, reason verdt.Reason, message string, out *msgs.CallOutbox) {
	fail(id, verdt.New(verdt.NotRun, reason, message, verdt.RetryAt(now.Add(quickRetry))), out)
}

func fail(id msgs.CallID, f *verdt.Error, out *msgs.CallOutbox) {
	out.Replies = append(out.Replies, msgs.CallReply{ID: id, Failure: f})
}

// Check returns the first broken invariant.
func (st *State) Check() error {
	for _, s := range st.shards {
		if err := s.check(); err != nil {
			return fmt.Errorf("shard %d: %w", s.index, err)
		}
	}
	return nil
}

// HasLease reports whether this daemon may claim shards.
func (st *State) HasLease(now time.Time) bool { return !st.stop && st.lease.valid(now) }

// Epoch returns the fencing number under which this daemon last owned a shard.
func (st *State) Epoch(shard int) uint64 { return st.shards[shard].epoch }

// Grants returns the epochs of the shards owned here, and when the lease ends.
func (st *State) Grants() (shards int, epochs map[int]uint64, leaseUntil time.Time) {
	epochs = map[int]uint64{}
	for i, s := range st.shards {
		if s.phase == Active {
			epochs[i] = s.epoch
		}
	}
	return len(st.shards), epochs, st.lease.until
}
