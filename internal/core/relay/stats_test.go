package relay

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/core/retry"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

const (
	// callInterval is the time between two calls of one daemon of a large fleet, whose servers are idle nearly always.
	callInterval = time.Second
	// usualLatency is the response time of a sound server, and slowFactor how much slower a slow one is.
	usualLatency = 15 * time.Millisecond
	slowFactor   = 12
	// settling is the time after which servers get requests according to their real pace.
	settling = time.Minute
)

// callServers makes one call each callInterval to three servers, and returns the servers' shares of the calls after
// settling. outcome says what a server does with a call at a time since the start.
func callServers(t *testing.T, outcome func(server string, at time.Duration) (time.Duration, Outcome)) map[string]float64 {
	t.Helper()
	const calls = 300
	start := time.Unix(1_000_000, 0)
	st := New("z0", retry.New(1, 1000, 10*time.Second), 1)
	for i := range 3 {
		st.UpsertServer(model.Member{ID: fmt.Sprintf("s%d", i), Service: "app", Zone: "z0", Address: "10.0.0.1:80"})
	}
	counts := map[string]float64{}
	for at := time.Duration(0); at < settling+calls*callInterval; at += callInterval {
		now := start.Add(at)
		r := &Request{Service: "app", Deadline: now.Add(time.Minute), MaxAttempts: 1}
		attempt, failure := st.Next(now, r)
		assert.Assert(t, failure == nil)
		if at >= settling {
			counts[attempt.Server.ID] += 1.0 / calls
		}
		latency, o := outcome(attempt.Server.ID, at)
		st.RecordOutcome(now.Add(latency), r, attempt, o)
	}
	return counts
}

// TestServersGetCallsByTheirPace: each of many daemons makes one call a second to three servers that are nearly idle, and
// knows a server by its own calls only. A server that was slow or failed gets calls again according to its real pace, and
// one that stays slow a few.
func TestServersGetCallsByTheirPace(t *testing.T) {
	const even = 1.0 / 3
	type scenario struct {
		name string
		// outcome is what server s0 does.
		outcome func(at time.Duration) (time.Duration, Outcome)
		// least and most bound the share of s0: half of that by its pace, and one and a half times.
		least, most float64
	}
	slowPace := 1.0 / slowFactor / (2 + 1.0/slowFactor)
	for _, tc := range []scenario{
		{"sound", func(time.Duration) (time.Duration, Outcome) { return usualLatency, Outcome{} }, even / 2, even * 1.5},
		{"slow first answer", func(at time.Duration) (time.Duration, Outcome) {
			if at < 10*time.Second {
				return slowFactor * usualLatency, Outcome{}
			}
			return usualLatency, Outcome{}
		}, even / 2, even * 1.5},
		{"failed at first", func(at time.Duration) (time.Duration, Outcome) {
			return usualLatency, Outcome{Faulty: at < 10*time.Second}
		}, even / 2, even * 1.5},
		{"reset its connections at first", func(at time.Duration) (time.Duration, Outcome) {
			if at < 10*time.Second {
				return time.Millisecond, Outcome{Failure: verdt.New(verdt.MayHaveRun, verdt.StageFailed, "reset")}
			}
			return usualLatency, Outcome{}
		}, even / 2, even * 1.5},
		{"slow for good", func(time.Duration) (time.Duration, Outcome) { return slowFactor * usualLatency, Outcome{} }, slowPace / 2, slowPace * 1.5},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := callServers(t, func(server string, at time.Duration) (time.Duration, Outcome) {
				if server == "s0" {
					return tc.outcome(at)
				}
				return usualLatency, Outcome{}
			})["s0"]
			assert.Assert(t, got >= tc.least && got <= tc.most, "%.3f of the calls, want %.3f to %.3f", got, tc.least, tc.most)
		})
	}
}
