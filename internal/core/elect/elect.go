// Package elect elects the daemon that owns a duty. The owner holds a key in the
// platform's key-value service that is attached to its lease. The fencing token of the
// owner's orders is made of the era and the revision of the key's creation. Revisions alone
// are given out again if the service is restored from an older copy of itself.
package elect

import (
	"strconv"
	"strings"
	"time"

	"bulrushpond.example/bulrushpond/pkg/model"
)

const (
	// LeaseTTL is how long an owner keeps a duty after its last renewal.
	LeaseTTL = 2500 * time.Millisecond
	// renewInterval is the time between two renewals of the lease.
	renewInterval = 800 * time.Millisecond
	// retryDelay is the delay before the next call after a failed call or a write.
	retryDelay = 300 * time.Millisecond
	// leaseSafetyMargin is the remaining lease time that an order requires, so that it
	// does not reach its receiver after the lease has expired.
	leaseSafetyMargin = 500 * time.Millisecond
	// suspensionThreshold is by how much the wall clock may advance more than the
	// monotonic clock before the process counts as having been suspended.
	suspensionThreshold = 500 * time.Millisecond
	// yieldDelay is how much longer a duty must be unowned before a daemon claims it that should leave it to
	// others.
	yieldDelay = 2 * time.Second
	// eraShift is the number of bits of a fencing token that hold the revision. Tokens stay
	// exact in receivers that read numbers as float64 up to era 8191.
	eraShift = 40
)

// fencingToken returns the token of a key that was created at a position. Tokens grow with
// the position.
func fencingToken(created model.Position) uint64 { return created.Era<<eraShift | created.Revision }

// eraOf returns the era of a fencing token.
func eraOf(token uint64) uint64 { return token >> eraShift }

//go:generate enumer -type=Kind -transform=snake -output=kind_enumer.go

// Kind is the operation of a call to the key-value service.
type Kind uint8

const (
	// None means that there is no call to make.
	None Kind = iota
	// Grant creates the lease.
	Grant
	// Renew renews the lease.
	Renew
	// Claim creates the owner's key.
	Claim
	// Release deletes the owner's key.
	Release
)

// Call is one call to the key-value service.
type Call struct {
	Kind  Kind
	Lease model.LeaseID
	CAS   model.CAS
}

// OwnerView is the duty's owner according to the daemon's local copy of the key-value
// service, which may be out of date.
type OwnerView struct {
	// Known is set once the service has been read.
	Known bool
	// Owner is the value of the owner's key, and OwnerRevision its revision; they are
	// empty and 0 if nobody owns the duty.
	Owner         string
	OwnerRevision uint64
	// Era is the era of the copy.
	Era uint64
}

// State is one daemon's side of the election.
type State struct {
	// Process is unique per process, also across restarts of one daemon. It contains no
	// space.
	Process string
	// DutyKey is the key of the duty's owner.
	DutyKey string
	// Wait is how long a duty must be unowned before this daemon claims it. It differs
	// between daemons, so that few claim it at once.
	Wait time.Duration
	// FleetStarts is set while the whole fleet starts for the first time, so that no owner
	// can be left over from before this process started.
	FleetStarts bool

	// era is the newest known era of the service; eraKnown is set once there is one.
	era      uint64
	eraKnown bool
	// actsFrom is when this daemon may claim the duty or act as its owner at the earliest.
	// An owner of an earlier era may act until its lease expires.
	actsFrom time.Time
	lease    model.LeaseID
	// leaseEra is the era in which the lease was granted.
	leaseEra uint64
	// leaseExpiry is when the lease expires, counted from when its last renewal was sent.
	leaseExpiry time.Time
	renewAt     time.Time
	nextCallAt  time.Time
	// callInFlight is set while a call is in flight; callSentAt is when it was sent.
	callInFlight bool
	callSentAt   time.Time
	// unownedSince is when the duty lost its owner; zero while it is owned or unknown.
	unownedSince time.Time
	// fence is the fencing token of the acknowledged claim; 0 means none.
	fence uint64
	// rejectedFence is the highest fencing token that a receiver has rejected.
	rejectedFence uint64
	stopping      bool
	// yielding is set while others should own the duty, and releasing from then on until the duty was released.
	yielding, releasing bool
	lastNow             time.Time
}

// Stop makes the daemon release the duty and not claim it again.
func (st *State) Stop() { st.stopping = true }

// Yield sets whether this daemon should leave the duty to others that can carry it out better. It then releases the
// duty and sends no orders. It claims the duty only if no other daemon does, and keeps it then.
func (st *State) Yield(yield bool) {
	if yield != st.yielding {
		st.yielding, st.releasing = yield, yield
	}
}

// claimDelay returns how long the duty must be unowned before this daemon claims it.
func (st *State) claimDelay() time.Duration {
	if st.yielding {
		return st.Wait + yieldDelay
	}
	return st.Wait
}

// Next returns the call to make now. It returns no other call until Result was called
// with the call's result.
func (st *State) Next(now time.Time, view OwnerView) Call {
	st.detectSuspension(now)
	if view.Known {
		st.noteEra(now, view.Era)
	}
	if st.lease != 0 && st.leaseEra < view.Era && !st.ownsDuty(view) {
		// The restored service may have given the lease's ID to another daemon.
		st.forgetLease()
	}
	switch {
	case !view.Known || view.Owner != "":
		st.unownedSince = time.Time{}
	case st.unownedSince.IsZero():
		st.unownedSince = now
	}
	if st.callInFlight || now.Before(st.nextCallAt) {
		return Call{}
	}
	call := st.chooseCall(now, view)
	if call.Kind != None {
		st.callInFlight, st.callSentAt = true, now
	}
	return call
}

// detectSuspension forgets the lease of a process that was suspended: the monotonic
// clock does not count that time, so the lease may have expired meanwhile.
func (st *State) detectSuspension(now time.Time) {
	if !st.lastNow.IsZero() && now.Round(0).Sub(st.lastNow.Round(0))-now.Sub(st.lastNow) > suspensionThreshold {
		st.forgetLease()
	}
	st.lastNow = now
}

// noteEra records that the service is in an era. An owner may act at once, since all other
// daemons wait until its lease has expired, whatever the restored service knows of it.
func (st *State) noteEra(now time.Time, era uint64) {
	if st.eraKnown && era <= st.era {
		return
	}
	fleetStarts := !st.eraKnown && st.FleetStarts
	acts := st.fence != 0 && !now.Before(st.actsFrom) && now.Before(st.leaseExpiry)
	st.era, st.eraKnown = era, true
	if !fleetStarts && !acts {
		st.actsFrom = now.Add(LeaseTTL)
	}
}

// forgetLease forgets the lease and the claim that is attached to it.
func (st *State) forgetLease() { st.lease, st.fence = 0, 0 }

// leasedValue returns the value of a key that is attached to the current lease. It
// names the lease, because a key of an earlier lease of the same process may expire at
// any moment.
func (st *State) leasedValue(process string) string {
	return process + " " + strconv.FormatUint(uint64(st.lease), 10)
}

// ProcessOf returns the process named in the value of a duty's key.
func ProcessOf(value string) string {
	process, _, _ := strings.Cut(value, " ")
	return process
}

// ownsDuty reports whether the duty's key is attached to this daemon's lease.
func (st *State) ownsDuty(view OwnerView) bool {
	return st.lease != 0 && view.Owner == st.leasedValue(st.Process)
}

// chooseCall returns the call that the state requires now, forgetting an expired lease.
func (st *State) chooseCall(now time.Time, view OwnerView) Call {
	switch {
	case view.Era < st.era:
		// The revision in the copy may be that of another daemon's key by now.
		return Call{}
	case (st.stopping || st.releasing || st.fenceRejected()) && st.ownsDuty(view):
		return Call{Kind: Release, CAS: model.CAS{Key: st.DutyKey, Expect: view.OwnerRevision, Delete: true}}
	case !view.Known:
		return Call{}
	case st.lease != 0 && !now.Before(st.leaseExpiry):
		st.forgetLease()
	case st.lease != 0 && st.ownsDuty(view) && !now.Before(st.renewAt):
		return Call{Kind: Renew, Lease: st.lease}
	case st.stopping || st.unownedSince.IsZero() || now.Sub(st.unownedSince) < st.claimDelay() || now.Before(st.actsFrom):
	case st.lease == 0 || !now.Before(st.renewAt):
		// A claim requires a lease with time left.
		return Call{Kind: Grant}
	default:
		return Call{Kind: Claim, CAS: model.CAS{Key: st.DutyKey, Value: []byte(st.leasedValue(st.Process)), Lease: st.lease}}
	}
	return Call{}
}

// Result records the result of a call: the lease of a Grant, the position of a Claim. The era
// of position counts for every call that was answered.
func (st *State) Result(now time.Time, call Call, outcome model.Outcome, lease model.LeaseID, position model.Position) {
	st.callInFlight = false
	st.nextCallAt = now
	if outcome != model.Unknown {
		st.noteEra(now, position.Era)
	}
	if outcome != model.Done {
		st.nextCallAt = now.Add(retryDelay)
	}
	switch call.Kind {
	case Grant:
		if outcome == model.Done {
			st.lease, st.leaseEra = lease, position.Era
			st.extendLease()
		}
	case Renew:
		switch outcome {
		case model.Done:
			st.extendLease()
		case model.Conflict:
			st.forgetLease()
		case model.Refused, model.Unknown:
		}
	case Claim, Release:
		// The local copy will show the result of the write. Until it does, the same
		// write would be refused.
		st.nextCallAt = now.Add(retryDelay)
		if call.Kind == Claim && outcome == model.Done {
			st.fence = fencingToken(position)
		}
		if call.Kind == Release {
			st.fence = 0
			st.releasing = st.releasing && outcome != model.Done
		}
	case None:
	}
}

// extendLease records that the lease was granted or renewed by the last call.
func (st *State) extendLease() {
	st.leaseExpiry = st.callSentAt.Add(LeaseTTL)
	st.renewAt = st.callSentAt.Add(renewInterval)
}

// RejectFence records that a receiver rejected a fencing token for a higher one.
func (st *State) RejectFence(fence uint64) { st.rejectedFence = max(st.rejectedFence, fence) }

// Owner returns the fencing token of this daemon's duty, or false if the daemon must
// not act because another one may own the duty by the time that an order arrives.
func (st *State) Owner(now time.Time, view OwnerView) (fence uint64, ok bool) {
	if view.Known {
		st.noteEra(now, view.Era)
	}
	if view.Era < st.era || now.Before(st.actsFrom) {
		return 0, false
	}
	if st.ownsDuty(view) && st.fence == 0 {
		// The claim succeeded, but its response was lost.
		st.fence = fencingToken(model.Position{Era: view.Era, Revision: view.OwnerRevision})
	}
	if eraOf(st.fence) < view.Era && !st.ownsDuty(view) {
		// The restored service has lost the claim.
		st.fence = 0
	}
	if st.fence == 0 || st.fence <= st.rejectedFence || st.stopping || st.yielding || st.lease == 0 || now.After(st.leaseExpiry.Add(-leaseSafetyMargin)) {
		return 0, false
	}
	if view.Owner != "" && !st.ownsDuty(view) && fencingToken(model.Position{Era: view.Era, Revision: view.OwnerRevision}) > st.fence {
		return 0, false
	}
	return st.fence, true
}

// fenceRejected reports whether a receiver has rejected this daemon's fencing token.
// The claim is then released and made anew to get a higher token.
func (st *State) fenceRejected() bool { return st.fence != 0 && st.fence <= st.rejectedFence }
