package reach

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/pkg/model"
)

// serversOf returns a list of n servers for each service.
func serversOf(n int) func(string) []model.Member {
	return func(service string) []model.Member {
		var members []model.Member
		for i := range n {
			members = append(members, model.Member{ID: fmt.Sprintf("%s%d", service, i), Address: fmt.Sprintf("%s%d:1", service, i)})
		}
		return members
	}
}

// TestSharesReachedDecide guards against requests that are sent to other daemons because some servers are down, and
// against a daemon that counts as reachable because of the one server behind its cut that is left.
func TestSharesReachedDecide(t *testing.T) {
	type scenario struct {
		name           string
		servers        int
		reached        float64
		cutOff, remain bool
	}
	for _, tc := range []scenario{
		{"no server reached", 38, 0, true, true},
		{"one of eight reached", 38, 0.125, true, true},
		{"a third reached", 38, 0.3, false, true},
		{"most reached", 38, 0.8, false, false},
		{"one server, not reached", 1, 0, true, true},
		{"one server, reached", 1, 1, false, false},
		{"one of three reached", 3, 0.34, false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for _, before := range []bool{false, true} {
				now := time.Unix(1000, 0)
				st := New(1)
				if before {
					st.Apply(now, Result{Service: "s", Tried: 1})
				}
				st.Suspect("s")
				now = now.Add(time.Second)
				probes := st.Probes(now, serversOf(tc.servers))
				assert.Equal(t, len(probes), 1)
				tried := len(probes[0].Addresses)
				assert.Equal(t, tried, min(tc.servers, maxProbedServers))
				st.Apply(now, Result{Service: "s", Tried: tried, Reached: int(tc.reached*float64(tried) + 0.5)})
				want := tc.cutOff
				if before {
					want = tc.remain
				}
				assert.Equal(t, st.CutOff("s"), want, "cut off before: %t", before)
			}
		})
	}
}

// TestProbesAreBounded guards against daemons that connect to servers again and again: a service is probed once a
// second at most, or twice while it is cut off, and not at all without a sign.
func TestProbesAreBounded(t *testing.T) {
	for _, cutOff := range []bool{false, true} {
		now := time.Unix(1000, 0)
		st := New(1)
		assert.Equal(t, len(st.Probes(now, serversOf(9))), 0)
		probes := 0
		for range 100 {
			st.Suspect("s")
			for _, p := range st.Probes(now, serversOf(9)) {
				probes++
				assert.Equal(t, len(st.Probes(now, serversOf(9))), 0, "two probes at one time")
				r := Result{Service: p.Service, Tried: len(p.Addresses), Reached: len(p.Addresses)}
				if cutOff {
					r.Reached = 0
				}
				st.Apply(now, r)
			}
			now = now.Add(100 * time.Millisecond)
		}
		want := 10
		if cutOff {
			want = 20
		}
		assert.Equal(t, probes, want)
	}
}

// TestSilenceRaisesSuspicion guards against a cut that nobody looks for because its connections stay open. A single
// server may be silent for a moment, so few requests have to wait longer.
func TestSilenceRaisesSuspicion(t *testing.T) {
	type scenario struct {
		requests int
		silence  time.Duration
		suspect  bool
	}
	for _, tc := range []scenario{
		{0, time.Hour, false},
		{1, 500 * time.Millisecond, false},
		{1, 600 * time.Millisecond, true},
		{3, 200 * time.Millisecond, false},
		{3, 250 * time.Millisecond, true},
	} {
		now := time.Unix(1000, 0)
		st := New(1)
		st.SuspectIfSilent(now, "s", tc.requests, now.Add(-tc.silence))
		assert.Equal(t, len(st.Probes(now, serversOf(1))) > 0, tc.suspect, "%+v", tc)
	}
}

// TestVoidProbeDecidesNothing guards against a daemon that takes itself for cut off, and gives up the placement, because
// its process stood still while it probed.
func TestVoidProbeDecidesNothing(t *testing.T) {
	for _, before := range []bool{false, true} {
		now := time.Unix(1000, 0)
		st := New(1)
		if before {
			st.Apply(now, Result{Service: "s", Tried: 1})
		}
		st.Suspect("s")
		now = now.Add(time.Second)
		assert.Equal(t, len(st.Probes(now, serversOf(9))), 1)
		assert.Assert(t, !st.Apply(now, Result{Service: "s", Tried: 8, Void: true}))
		assert.Equal(t, st.CutOff("s"), before)
		assert.Equal(t, len(st.Probes(now, serversOf(9))), 1, "not probed again at once")
	}
}

// TestProbesAreReproducible guards against choices that depend on the order of a map, since the decision core gives the
// same commands for the same events.
func TestProbesAreReproducible(t *testing.T) {
	var want []Probe
	for n := range 20 {
		st := New(7)
		for _, service := range []string{"a", "b", "c", "d"} {
			st.Suspect(service)
		}
		probes := st.Probes(time.Unix(1000, 0), serversOf(30))
		if n == 0 {
			want = probes
		}
		assert.DeepEqual(t, probes, want)
	}
}
