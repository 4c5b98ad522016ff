package elect

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpond.example/bulrushpond/internal/proof"
	"bulrushpond.example/bulrushpond/pkg/model"
)

const dutyKey = "duty"

// fakeStore models the key-value service: one key that is attached to a lease.
type fakeStore struct {
	era            uint64
	revision       uint64
	leases         map[model.LeaseID]time.Time
	lastLease      model.LeaseID
	value          string
	createRevision uint64
	lease          model.LeaseID
	// copies are the states before each change, oldest first.
	copies []fakeStore
}

func newFakeStore() *fakeStore { return &fakeStore{leases: map[model.LeaseID]time.Time{}} }

// recordCopy keeps the current state for a later restore.
func (s *fakeStore) recordCopy() {
	kept := *s
	kept.leases, kept.copies = maps.Clone(s.leases), nil
	s.copies = append(s.copies, kept)
}

// restore goes back some changes. Revisions and lease IDs are then given out again.
func (s *fakeStore) restore(changes int, withLeases bool) {
	changes = min(changes, len(s.copies))
	if changes > 0 {
		older := s.copies[len(s.copies)-changes]
		era, copies := s.era, s.copies[:len(s.copies)-changes]
		*s = older
		s.era, s.copies, s.leases = era, copies, maps.Clone(older.leases)
	}
	s.era++
	if !withLeases {
		clear(s.leases)
		if s.value != "" {
			s.revision++
			s.value, s.lease = "", 0
		}
	}
}

func (s *fakeStore) expire(now time.Time) {
	for id, until := range s.leases {
		if !now.Before(until) {
			delete(s.leases, id)
			if s.lease == id && s.value != "" {
				s.revision++
				s.value, s.lease = "", 0
			}
		}
	}
}

func (s *fakeStore) execute(now time.Time, call Call) (model.Outcome, model.LeaseID, model.Position) {
	s.expire(now)
	answered := model.Position{Era: s.era}
	switch call.Kind {
	case Grant:
		s.recordCopy()
		s.lastLease++
		s.leases[s.lastLease] = now.Add(LeaseTTL)
		return model.Done, s.lastLease, answered
	case Renew:
		if _, ok := s.leases[call.Lease]; !ok {
			return model.Conflict, 0, answered
		}
		s.leases[call.Lease] = now.Add(LeaseTTL)
		return model.Done, call.Lease, answered
	case Claim:
		if _, ok := s.leases[call.CAS.Lease]; !ok || s.value != "" {
			return model.Conflict, 0, answered
		}
		s.recordCopy()
		s.revision++
		s.value, s.createRevision, s.lease = string(call.CAS.Value), s.revision, call.CAS.Lease
		return model.Done, 0, model.Position{Era: s.era, Revision: s.revision}
	case Release:
		if s.value == "" || s.createRevision != call.CAS.Expect {
			return model.Conflict, 0, answered
		}
		s.recordCopy()
		s.revision++
		s.value, s.lease = "", 0
		return model.Done, 0, model.Position{Era: s.era, Revision: s.revision}
	case None:
	}
	return model.Refused, 0, answered
}

func (s *fakeStore) snapshot() OwnerView {
	snapshot := OwnerView{Known: true, Owner: s.value, Era: s.era}
	if s.value != "" {
		snapshot.OwnerRevision = s.createRevision
	}
	return snapshot
}

// candidate is a daemon whose copy of the service may be out of date.
type candidate struct {
	state *State
	seen  OwnerView
}

// TestEachFencingTokenHasOneOwner checks that a receiver which rejects lower fencing
// tokens never accepts the same token from two owners, that a daemon does not reuse a
// rejected token, and that no two daemons act at once, under lost responses, outdated
// copies, restarts, passing time, and restores of the service from older copies.
func TestEachFencingTokenHasOneOwner(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		s := newFakeStore()
		var candidates []*candidate
		for i := range 3 {
			candidates = append(candidates, &candidate{state: &State{Process: fmt.Sprintf("p%d", i), DutyKey: dutyKey, FleetStarts: true}})
		}
		ownerByFence := map[uint64]string{}
		highestFence := uint64(0)
		restarts := 0
		sendOrder := func(c *candidate) {
			fence, ok := c.state.Owner(now, c.seen)
			if !ok {
				return
			}
			if fence < highestFence {
				c.state.RejectFence(fence)
				if _, again := c.state.Owner(now, c.seen); again {
					t.Fatalf("%s still uses fencing token %d after it was rejected", c.state.Process, fence)
				}
				return
			}
			highestFence = fence
			if previous, known := ownerByFence[fence]; known && previous != c.state.Process {
				t.Fatalf("%s and %s both used fencing token %d", previous, c.state.Process, fence)
			}
			ownerByFence[fence] = c.state.Process
		}
		checkOneActs := func(t *rapid.T) {
			var acting []string
			for _, c := range candidates {
				if fence, ok := c.state.Owner(now, c.seen); ok {
					acting = append(acting, fmt.Sprintf("%s with token %d", c.state.Process, fence))
				}
			}
			if len(acting) > 1 {
				t.Fatalf("two daemons act at once: %v", acting)
			}
		}
		drawCandidate := func(t *rapid.T) *candidate { return candidates[rapid.IntRange(0, len(candidates)-1).Draw(t, "daemon")] }
		t.Repeat(map[string]func(*rapid.T){
			"run candidate": func(t *rapid.T) {
				c := drawCandidate(t)
				call := c.state.Next(now, c.seen)
				sendOrder(c)
				if call.Kind == None {
					return
				}
				switch rapid.IntRange(0, 4).Draw(t, "answer") {
				case 0:
					c.state.Result(now, call, model.Refused, 0, model.Position{Era: s.era})
				case 1:
					// The call succeeds, but its response is lost.
					s.execute(now, call)
					c.state.Result(now, call, model.Unknown, 0, model.Position{})
				default:
					outcome, lease, position := s.execute(now, call)
					c.state.Result(now, call, outcome, lease, position)
				}
			},
			"refresh copy": func(t *rapid.T) {
				s.expire(now)
				drawCandidate(t).seen = s.snapshot()
			},
			"time passes": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(10, 1500).Draw(t, "ms")) * time.Millisecond)
				s.expire(now)
			},
			"restore": func(t *rapid.T) {
				s.restore(rapid.IntRange(0, 4).Draw(t, "changes"), rapid.Bool().Draw(t, "leases kept"))
			},
			"restart": func(t *rapid.T) {
				restarts++
				c := drawCandidate(t)
				c.seen = OwnerView{}
				c.state = &State{Process: fmt.Sprintf("%s-%d", c.state.Process, restarts), DutyKey: dutyKey}
			},
			"": checkOneActs,
		})
	})
}

// TestDutyIsOwnedAgainAfterRestore checks that after a restore the former owner resumes at once
// with a higher fencing token, although the token's revision is given out again, and that
// another daemon waits until the former owner's lease has expired.
func TestDutyIsOwnedAgainAfterRestore(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	s := newFakeStore()
	owner, other := &State{Process: "p", DutyKey: dutyKey, FleetStarts: true}, &State{Process: "q", DutyKey: dutyKey, FleetStarts: true}
	acquireDuty(t, start, owner, s)
	before, _ := owner.Owner(start, s.snapshot())
	assert.Equal(t, other.Next(start, s.snapshot()).Kind, None)
	s.restore(2, false)

	now := start.Add(retryDelay)
	_, ok := owner.Owner(now, s.snapshot())
	assert.Assert(t, !ok, "the restored service has lost the claim")
	assert.Equal(t, other.Next(now, s.snapshot()).Kind, None)
	acquireDuty(t, now, owner, s)
	after, _ := owner.Owner(now, s.snapshot())
	assert.Equal(t, s.createRevision, uint64(1), "the revision is given out again")
	assert.Assert(t, after > before, "%d after %d", after, before)

	s.restore(1, false)
	assert.Equal(t, other.Next(now, s.snapshot()).Kind, None, "the owner may act until its lease expires")
	now = now.Add(LeaseTTL)
	assert.Equal(t, other.Next(now, s.snapshot()).Kind, Grant)
}

// TestStaleEraEndsOwnership checks that an owner stops acting as soon as any answer of the
// service shows a later era than the local copy, since its claim may be lost.
func TestStaleEraEndsOwnership(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := newFakeStore()
	st := &State{Process: "p", DutyKey: dutyKey, FleetStarts: true}
	acquireDuty(t, now, st, s)
	copyBefore := s.snapshot()
	s.restore(0, true)
	now = now.Add(renewInterval)
	call := st.Next(now, copyBefore)
	assert.Equal(t, call.Kind, Renew)
	outcome, lease, position := s.execute(now, call)
	st.Result(now, call, outcome, lease, position)
	_, ok := st.Owner(now, copyBefore)
	assert.Assert(t, !ok)
	_, ok = st.Owner(now, s.snapshot())
	assert.Assert(t, ok, "the claim survived the restore")
}

// TestOutdatedCopyReleasesNothing checks that a daemon that stops does not delete the duty's key
// by a revision from before a restore, since another daemon's key may have that revision.
func TestOutdatedCopyReleasesNothing(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := newFakeStore()
	st := &State{Process: "p", DutyKey: dutyKey, FleetStarts: true}
	acquireDuty(t, now, st, s)
	copyBefore := s.snapshot()
	s.restore(1, true)
	now = now.Add(renewInterval)
	call := st.Next(now, copyBefore)
	outcome, lease, position := s.execute(now, call)
	st.Result(now, call, outcome, lease, position)
	st.Stop()
	assert.Equal(t, st.Next(now.Add(retryDelay), copyBefore).Kind, None)
}

// TestReleasedClaimThatReturnsWaits checks that a daemon which released the duty, and whose claim
// is back after a restore, does not act before the lease of the owner in between has expired.
func TestReleasedClaimThatReturnsWaits(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := newFakeStore()
	st := &State{Process: "p", DutyKey: dutyKey, FleetStarts: true}
	acquireDuty(t, now, st, s)
	fence, _ := st.Owner(now, s.snapshot())
	st.RejectFence(fence)
	now = now.Add(retryDelay)
	call := st.Next(now, s.snapshot())
	assert.Equal(t, call.Kind, Release)
	outcome, lease, position := s.execute(now, call)
	st.Result(now, call, outcome, lease, position)
	s.restore(1, true)
	for ; now.Before(st.actsFrom) || st.actsFrom.IsZero(); now = now.Add(retryDelay) {
		call := st.Next(now, s.snapshot())
		_, acts := st.Owner(now, s.snapshot())
		assert.Assert(t, !acts)
		outcome, lease, position := s.execute(now, call)
		st.Result(now, call, outcome, lease, position)
	}
	_, acts := st.Owner(now, s.snapshot())
	assert.Assert(t, acts)
}

// TestStartedDaemonWaitsForFormerOwner checks that a daemon that starts after the fleet did
// claims an unowned duty only when the lease of an owner from before a restore that it did not
// see must have expired.
func TestStartedDaemonWaitsForFormerOwner(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := newFakeStore()
	st := &State{Process: "p", DutyKey: dutyKey}
	assert.Equal(t, st.Next(now, s.snapshot()).Kind, None)
	assert.Equal(t, st.Next(now.Add(LeaseTTL-1), s.snapshot()).Kind, None)
	assert.Equal(t, st.Next(now.Add(LeaseTTL), s.snapshot()).Kind, Grant)
}

// acquireDuty makes one daemon the duty's owner.
func acquireDuty(t *testing.T, now time.Time, st *State, s *fakeStore) {
	t.Helper()
	for range 3 {
		call := st.Next(now, s.snapshot())
		outcome, lease, position := s.execute(now, call)
		st.Result(now, call, outcome, lease, position)
	}
	_, ok := st.Owner(now, s.snapshot())
	assert.Assert(t, ok)
}

// TestOwnershipEnds checks that an owner stops acting before its lease expires, when it
// stops, when another owner has a higher fencing token and when its token is rejected.
func TestOwnershipEnds(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	type scenario struct {
		name   string
		change func(st *State, s *fakeStore) time.Time
	}
	for _, c := range []scenario{
		{"lease not renewed", func(*State, *fakeStore) time.Time { return start.Add(LeaseTTL - leaseSafetyMargin + 1) }},
		{"planned stop", func(st *State, _ *fakeStore) time.Time {
			st.Stop()
			return start
		}},
		{"another owner has a higher fencing token", func(_ *State, s *fakeStore) time.Time {
			s.value, s.createRevision = "other 9", 1000
			return start
		}},
		{"receiver rejected the fencing token", func(st *State, s *fakeStore) time.Time {
			st.RejectFence(s.createRevision)
			return start
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newFakeStore()
			st := &State{Process: "p", DutyKey: dutyKey, FleetStarts: true}
			acquireDuty(t, start, st, s)
			now := c.change(st, s)
			_, ok := st.Owner(now, s.snapshot())
			assert.Assert(t, !ok)
		})
	}
}

// TestNoCallBeforeFirstRead checks that a daemon makes no call before it has read the
// key-value service.
func TestNoCallBeforeFirstRead(t *testing.T) {
	st := &State{Process: "p", DutyKey: dutyKey}
	assert.Equal(t, st.Next(time.Unix(1_000_000, 0), OwnerView{}).Kind, None)
}

// TestYieldingOwnerReleasesDuty guards against a duty that stays with a daemon which cannot carry it out. It takes the
// duty again only if no other daemon does for a while, and sends no orders meanwhile.
func TestYieldingOwnerReleasesDuty(t *testing.T) {
	now := time.Unix(1000, 0)
	st := &State{Process: "p", DutyKey: "k", Wait: 100 * time.Millisecond, FleetStarts: true}
	view := OwnerView{Known: true}
	revision := uint64(10)
	step := func() {
		now = now.Add(50 * time.Millisecond)
		call := st.Next(now, view)
		switch call.Kind {
		case Grant:
			st.Result(now, call, model.Done, 7, model.Position{Revision: revision})
		case Claim:
			revision++
			view.Owner, view.OwnerRevision = string(call.CAS.Value), revision
			st.Result(now, call, model.Done, 0, model.Position{Revision: revision})
		case Release:
			view.Owner, view.OwnerRevision = "", 0
			st.Result(now, call, model.Done, 0, model.Position{Revision: revision})
		case Renew:
			st.Result(now, call, model.Done, 0, model.Position{Revision: revision})
		case None:
		}
	}
	owns := func() bool { _, ok := st.Owner(now, view); return ok }
	for range 20 {
		step()
	}
	assert.Assert(t, owns())
	st.Yield(true)
	assert.Assert(t, !owns())
	released := now
	for view.Owner != "" {
		step()
		assert.Assert(t, now.Sub(released) < time.Second, "not released")
	}
	released = now
	for view.Owner == "" {
		step()
		assert.Assert(t, now.Sub(released) < 2*yieldDelay, "not claimed though no other daemon does")
	}
	assert.Assert(t, now.Sub(released) >= yieldDelay)
	for range 40 {
		step()
		assert.Assert(t, view.Owner != "", "released again")
	}
	assert.Assert(t, !owns(), "a yielding daemon gives orders")
	st.Yield(false)
	step()
	assert.Assert(t, owns())
}
