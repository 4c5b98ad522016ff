// Package elect decides which daemon owns a duty, by a key of the platform's key-value
// service that hangs on a lease of the owner. The revision at which the key was created
// is the fencing number of what the owner orders, since no revision is ever used twice.
package elect

import (
	"strconv"
	"strings"
	"time"

	"bulrushpond.example/bulrushpond/pkg/model"
)

const (
	// LeaseTTL is how long an owner stays in office after it was last heard.
	LeaseTTL = 2500 * time.Millisecond
	// renewEvery is how often the lease is renewed.
	renewEvery = 800 * time.Millisecond
	// retryEvery is how long after a failure the next call is made.
	retryEvery = 300 * time.Millisecond
	// ownMargin is how much of the lease must be left for an order: it must not
	// reach its receiver after the lease has lapsed.
	ownMargin = 500 * time.Millisecond
	// stoodStill is by how much the time of day may run ahead of the steady clock
	// before the process counts as having been suspended.
	stoodStill = 500 * time.Millisecond
)

//go:generate enumer -type=Kind -transform=snake -output=kind_enumer.go

// Kind is what a call to the key-value service does.
type Kind uint8

const (
	// None is no call.
	None Kind = iota
	// Grant makes the lease.
	Grant
	// Renew renews the lease.
	Renew
	// Claim writes the owner's key.
	Claim
	// Release removes the owner's key.
	Release
)

// Call is one call to the key-value service.
type Call struct {
	Kind  Kind
	Lease model.LeaseID
	CAS   model.CAS
}

// Seen is what the daemon's copy of the key-value service says.
type Seen struct {
	// Known is set once the service was read.
	Known bool
	// Owner is the value of the owner's key, OwnerRevision its revision; empty and
	// 0 where nobody owns the duty.
	Owner         string
	OwnerRevision uint64
}

// State is one daemon's part. Its fields are the names that it uses.
type State struct {
	// Process differs between any two processes, also of one daemon. It holds no space.
	Process string
	// DutyKey is the key of the duty's owner.
	DutyKey string
	// Wait is how long a duty must be free before this daemon claims it. It differs
	// between daemons, so that few claim at once.
	Wait time.Duration

	lease model.LeaseID
	// until is when the lease lapses, counted from before it was renewed.
	until   time.Time
	renewAt time.Time
	nextAt  time.Time
	// busy is set while a call is under way, sent is when it was made.
	busy bool
	sent time.Time
	// freeSince is since when nobody has owned the duty; zero while somebody does.
	freeSince time.Time
	// fence is the fencing number of a claim that was acknowledged; 0 is none.
	fence uint64
	// outdated is the highest fencing number that a receiver refused.
	outdated uint64
	stopping bool
	last     time.Time
}

// Stop makes the daemon give the duty back.
func (st *State) Stop() { st.stopping = true }

// Next returns the call to make now. Its result must be handed to Result before
// Next returns another one.
func (st *State) Next(now time.Time, seen Seen) Call {
	st.watchClock(now)
	switch {
	case !seen.Known || seen.Owner != "":
		st.freeSince = time.Time{}
	case st.freeSince.IsZero():
		st.freeSince = now
	}
	if st.busy || now.Before(st.nextAt) {
		return Call{}
	}
	c := st.choose(now, seen)
	if c.Kind != None {
		st.busy, st.sent = true, now
	}
	return c
}

// watchClock drops the lease of a process that was suspended: the steady clock does
// not count that time, so the lease may have lapsed meanwhile.
func (st *State) watchClock(now time.Time) {
	if !st.last.IsZero() && now.Round(0).Sub(st.last.Round(0))-now.Sub(st.last) > stoodStill {
		st.drop()
	}
	st.last = now
}

// drop forgets the lease and all that hangs on it.
func (st *State) drop() { st.lease, st.fence = 0, 0 }

// tied names the lease that a key hangs on: a key of an earlier lease of the same
// process may vanish at any moment.
func (st *State) tied(value string) string {
	return value + " " + strconv.FormatUint(uint64(st.lease), 10)
}

// ProcessOf returns the process in the value of a duty's key.
func ProcessOf(value string) string {
	process, _, _ := strings.Cut(value, " ")
	return process
}

// owns reports whether the duty's key hangs on this daemon's lease.
func (st *State) owns(seen Seen) bool { return st.lease != 0 && seen.Owner == st.tied(st.Process) }

func (st *State) choose(now time.Time, seen Seen) Call {
	switch {
	case (st.stopping || st.outdatedClaim()) && st.owns(seen):
		return Call{Kind: Release, CAS: model.CAS{Key: st.DutyKey, Expect: seen.OwnerRevision, Delete: true}}
	case !seen.Known:
		return Call{}
	case st.lease != 0 && !now.Before(st.until):
		st.drop()
	case st.lease != 0 && st.owns(seen) && !now.Before(st.renewAt):
		return Call{Kind: Renew, Lease: st.lease}
	case st.stopping || st.freeSince.IsZero() || now.Sub(st.freeSince) < st.Wait:
	case st.lease == 0 || !now.Before(st.renewAt):
		// A claim needs a lease with some time left.
		return Call{Kind: Grant}
	default:
		return Call{Kind: Claim, CAS: model.CAS{Key: st.DutyKey, Value: []byte(st.tied(st.Process)), Lease: st.lease}}
	}
	return Call{}
}

// Result takes in how a call ended.
func (st *State) Result(now time.Time, c Call, outcome model.Outcome, lease model.LeaseID, revision uint64) {
	st.busy = false
	st.nextAt = now
	if outcome != model.Done {
		st.nextAt = now.Add(retryEvery)
	}
	switch c.Kind {
	case Grant:
		if outcome == model.Done {
			st.lease = lease
			st.renewed()
		}
	case Renew:
		switch outcome {
		case model.Done:
			st.renewed()
		case model.Conflict:
			st.drop()
		case model.Refused, model.Unknown:
		}
	case Claim, Release:
		// The copy of the service shows what became of the write. Until it does,
		// the same write would be refused.
		st.nextAt = now.Add(retryEvery)
		if c.Kind == Claim && outcome == model.Done {
			st.fence = revision
		}
		if c.Kind == Release {
			st.fence = 0
		}
	case None:
	}
}

func (st *State) renewed() {
	st.until = st.sent.Add(LeaseTTL)
	st.renewAt = st.sent.Add(renewEvery)
}

// Outdated takes in that a receiver has seen a higher fencing number.
func (st *State) Outdated(fence uint64) { st.outdated = max(st.outdated, fence) }

// Owner returns the fencing number of this daemon's duty, or false where it may not
// act: another daemon may own the duty by the time that an order arrives.
func (st *State) Owner(now time.Time, seen Seen) (fence uint64, ok bool) {
	if st.owns(seen) && st.fence == 0 {
		// A claim whose answer was lost.
		st.fence = seen.OwnerRevision
	}
	if st.fence == 0 || st.fence <= st.outdated || st.stopping || st.lease == 0 || now.After(st.until.Add(-ownMargin)) {
		return 0, false
	}
	if seen.Owner != "" && !st.owns(seen) && seen.OwnerRevision > st.fence {
		return 0, false
	}
	return st.fence, true
}

// outdatedClaim reports whether a receiver has refused this daemon's fencing number.
// The claim is given back for a new one with a higher number.
func (st *State) outdatedClaim() bool { return st.fence != 0 && st.fence <= st.outdated }
