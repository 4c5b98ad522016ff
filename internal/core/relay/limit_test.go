package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/core/limit"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// TestServerWithLimitGetsItsShare guards against plain servers that get more requests than this daemon's share of
// their limits: the others go to another server, or are refused with a time to come back.
func TestServerWithLimitGetsItsShare(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	st := newState(2)
	limited := limit.Statement{Server: "s0", Limited: true, PerSecond: 4}
	assert.Assert(t, st.RecordLimit(now, limited))
	assert.Assert(t, !st.RecordLimit(now, limit.Statement{Server: "unknown", Limited: true, PerSecond: 4}))
	st.ApplyLimits(now, []limit.Grant{{Statement: limited, Requests: 2, Rate: 2}})
	sent := map[string]int{}
	send := func(n int) (failure *verdt.Error) {
		for range n {
			r := &Request{Service: "app", Deadline: now.Add(time.Second), MaxAttempts: 1}
			attempt, f := st.Next(now, r)
			if f != nil {
				failure = f
				continue
			}
			sent[attempt.Server.ID]++
			st.RecordOutcome(now, r, attempt, Outcome{})
		}
		return failure
	}
	assert.Assert(t, send(40) == nil)
	assert.Equal(t, sent["s0"], 2)
	assert.Equal(t, sent["s1"], 38)
	assert.Assert(t, st.LimitReports(now)[0].Demand > 0)

	st.RetainServers(map[string]bool{"s0": true})
	for i := range 3 {
		f := send(1)
		assert.Equal(t, f.Verdict, verdt.NotRun)
		assert.Equal(t, f.RetryAt, now.Add(time.Duration(i+1)*500*time.Millisecond))
	}
	st.RetainServers(nil)
	assert.Equal(t, st.Limited(), 0)
}
