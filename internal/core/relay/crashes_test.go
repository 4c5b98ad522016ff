package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/core/crash"
	"bulrushpond.example/bulrushpond/internal/core/reach"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// TestRequestThatCrashesServersIsRefused guards against a request to a plain service that comes again and crashes a
// server each time. Other requests, and those that servers answered before, are sent on.
func TestRequestThatCrashesServersIsRefused(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	st := newState(12)
	const bad, sound, popular uint64 = 1, 2, 3
	lost := Outcome{Failure: verdt.New(verdt.MayHaveRun, verdt.StageFailed, "EOF"), ConnectionLost: true}
	// run sends a request until it ends, and returns the number of attempts and the failure.
	run := func(digest uint64, o Outcome) (int, *verdt.Error) {
		r := &Request{Service: "app", Repeatable: true, Deadline: now.Add(time.Second), MaxAttempts: 5, Digest: digest}
		for {
			attempt, f := st.Next(now, r)
			if f != nil {
				return r.Attempts, f
			}
			if !st.RecordOutcome(now, r, attempt, o) {
				return r.Attempts, o.Failure
			}
		}
	}
	exchange := func() {
		for range 8 {
			now = now.Add(250 * time.Millisecond)
			st.ApplyCrashes(now, st.CrashReport(now))
		}
	}
	exchange()
	_, f := run(popular, Outcome{})
	assert.Assert(t, f == nil)
	attempts, _ := run(bad, lost)
	assert.Equal(t, attempts, 3)
	attempts, _ = run(popular, lost)
	assert.Equal(t, attempts, 5)
	exchange()
	attempts, f = run(bad, Outcome{})
	assert.Equal(t, attempts, 0)
	assert.Equal(t, f.Verdict, verdt.NotRun)
	assert.Equal(t, f.Reason, verdt.RequestBlocked)
	assert.Assert(t, f.RetryAt.Sub(now) > time.Minute)
	for _, digest := range []uint64{sound, popular} {
		attempts, f = run(digest, Outcome{})
		assert.Equal(t, attempts, 1)
		assert.Assert(t, f == nil, "request %d", digest)
	}
	blocks, changed := st.StoredBlocks(now, nil)
	assert.Assert(t, changed)
	assert.Equal(t, len(blocks), 1)

	restarted := newState(2)
	restarted.ApplyStoredBlocks(now, []crash.Block{blocks[0]})
	_, f = restarted.Next(now, &Request{Service: "app", Deadline: now.Add(time.Second), MaxAttempts: 2, Digest: bad})
	assert.Equal(t, f.Reason, verdt.RequestBlocked)
}

// TestCutThatResetsAccusesNoRequest guards against requests that all daemons hold for crashing servers, because a cut
// reset this daemon's connections.
func TestCutThatResetsAccusesNoRequest(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	st := newState(3)
	lost := Outcome{Failure: verdt.New(verdt.MayHaveRun, verdt.StageFailed, "reset"), ConnectionLost: true}
	send := func(digest uint64) {
		r := &Request{Service: "app", Deadline: now.Add(time.Second), MaxAttempts: 1, Digest: digest}
		attempt, f := st.Next(now, r)
		assert.Assert(t, f == nil)
		st.RecordOutcome(now, r, attempt, lost)
	}
	send(1)
	send(2)
	assert.Equal(t, len(st.CrashReport(now).Evidence), 2)
	now = now.Add(300 * time.Millisecond)
	st.ApplyReach(now, reach.Result{Service: "app", Tried: 3})
	assert.Equal(t, len(st.CrashReport(now).Evidence), 0)
	send(3)
	assert.Equal(t, len(st.CrashReport(now).Evidence), 0)
}
