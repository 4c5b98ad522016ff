package elect

import (
	"fmt"
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
	revision       uint64
	leases         map[model.LeaseID]time.Time
	lastLease      model.LeaseID
	value          string
	createRevision uint64
	lease          model.LeaseID
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

func (s *fakeStore) execute(now time.Time, call Call) (model.Outcome, model.LeaseID, uint64) {
	s.expire(now)
	switch call.Kind {
	case Grant:
		s.lastLease++
		s.leases[s.lastLease] = now.Add(LeaseTTL)
		return model.Done, s.lastLease, 0
	case Renew:
		if _, ok := s.leases[call.Lease]; !ok {
			return model.Conflict, 0, 0
		}
		s.leases[call.Lease] = now.Add(LeaseTTL)
		return model.Done, call.Lease, 0
	case Claim:
		if _, ok := s.leases[call.CAS.Lease]; !ok || s.value != "" {
			return model.Conflict, 0, 0
		}
		s.revision++
		s.value, s.createRevision, s.lease = string(call.CAS.Value), s.revision, call.CAS.Lease
		return model.Done, 0, s.revision
	case Release:
		if s.value == "" || s.createRevision != call.CAS.Expect {
			return model.Conflict, 0, 0
		}
		s.revision++
		s.value, s.lease = "", 0
		return model.Done, 0, s.revision
	case None:
	}
	return model.Refused, 0, 0
}

func (s *fakeStore) snapshot() OwnerView {
	snapshot := OwnerView{Known: true, Owner: s.value}
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
// tokens never accepts the same token from two owners, and that a daemon does not reuse
// a rejected token, under lost responses, outdated copies and passing time.
func TestEachFencingTokenHasOneOwner(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		s := &fakeStore{leases: map[model.LeaseID]time.Time{}}
		var candidates []*candidate
		for i := range 3 {
			candidates = append(candidates, &candidate{state: &State{Process: fmt.Sprintf("p%d", i), DutyKey: dutyKey}})
		}
		ownerByFence := map[uint64]string{}
		highestFence := uint64(0)
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
					c.state.Result(now, call, model.Refused, 0, 0)
				case 1:
					// The call succeeds, but its response is lost.
					s.execute(now, call)
					c.state.Result(now, call, model.Unknown, 0, 0)
				default:
					outcome, lease, revision := s.execute(now, call)
					c.state.Result(now, call, outcome, lease, revision)
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
		})
	})
}

// acquireDuty makes one daemon the duty's owner.
func acquireDuty(t *testing.T, now time.Time, st *State, s *fakeStore) {
	t.Helper()
	for range 3 {
		call := st.Next(now, s.snapshot())
		outcome, lease, revision := s.execute(now, call)
		st.Result(now, call, outcome, lease, revision)
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
			s := &fakeStore{leases: map[model.LeaseID]time.Time{}}
			st := &State{Process: "p", DutyKey: dutyKey}
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
