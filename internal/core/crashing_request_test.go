package core

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/core/board"
	"bulrushpond.example/bulrushpond/internal/core/crash"
	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// badDigest is the digest of a request that crashes engines.
const badDigest = 0xbad0d1

// tellCrashes makes other daemons report engines that ended under the request with badDigest.
func (w *chainHarness) tellCrashes(servers ...model.ServerID) {
	w.in.OthersUntil = w.now.Add(board.StatusTTL)
	for _, id := range servers {
		w.in.Others.ModelRequests.Evidence = append(w.in.Others.ModelRequests.Evidence, crash.Evidence{Server: id, Part: badDigest})
	}
	w.tick()
}

// TestRequestThatCrashesEnginesIsRefused guards against a request that comes again and crashes an engine each time:
// after three, at any daemons, it is refused as not run, and its parts are not blamed.
func TestRequestThatCrashesEnginesIsRefused(t *testing.T) {
	w := newChainHarness(t, 6)
	w.tellCrashes()
	bad := msgs.Arrival{ID: 1, Parts: []uint64{badPart}, Digest: badDigest}
	w.crashFirstServer(w.submit(bad))
	assert.Equal(t, len(w.out.Opens), 1)
	w.token(w.out.Opens[0], 0, false)
	w.in.CallerGone = append(w.in.CallerGone, 1)
	w.tick()
	again := bad
	again.ID = 2
	w.crashFirstServer(w.submit(again))
	w.in.CallerGone = append(w.in.CallerGone, 2)
	w.tick()
	assert.Equal(t, len(w.evidence()), 1)
	for range 8 {
		w.tellCrashes("x1", "x2")
		w.pass(250 * time.Millisecond)
	}
	assert.Equal(t, w.core.CrashMetrics().RequestBlocksNow, 1)
	assert.Equal(t, w.core.CrashMetrics().PartsBlockedNow, 0)
	w.in.Arrivals = append(w.in.Arrivals, msgs.Arrival{ID: 3, Model: "m", Deadline: w.now.Add(20 * time.Second), Digest: badDigest})
	w.tick()
	f := w.finished(3)
	assert.Assert(t, f != nil)
	assert.Equal(t, f.Failure.Verdict, verdt.NotRun)
	assert.Equal(t, f.Failure.Reason, verdt.RequestBlocked)
	assert.Assert(t, f.Failure.RetryAt.Sub(w.now) > time.Minute)
	w.submit(msgs.Arrival{ID: 4, Parts: []uint64{badPart}, Digest: badDigest + 1})
}

// TestRequestIsSentToThirdEngine checks that a request of which nothing is known is sent to a third engine after two
// ended beside another request, and not to a fourth.
func TestRequestIsSentToThirdEngine(t *testing.T) {
	w := newChainHarness(t, 6)
	sound := w.submit(msgs.Arrival{ID: 1, Parts: []uint64{callerPart}, Digest: 7})
	w.token(sound, 0, false)
	w.token(sound, 1, true)
	o := w.submit(msgs.Arrival{ID: 2, Parts: []uint64{callerPart}, Digest: 8})
	for range 2 {
		w.crashFirstServer(o)
		assert.Equal(t, len(w.out.Opens), 1)
		o = w.out.Opens[0]
	}
	w.crashFirstServer(o)
	assert.Equal(t, len(w.out.Opens), 0)
	assert.Equal(t, w.finished(2).Failure.Verdict, verdt.MayHaveRun)
}

// TestCrashesOnBlockedPartBlockNoRequest guards against a block of sound requests that lost their engines to requests
// with a part that is known to crash them.
func TestCrashesOnBlockedPartBlockNoRequest(t *testing.T) {
	w := newChainHarness(t, 6)
	for _, id := range []model.ServerID{"x1", "x2", "x3", "x4"} {
		for range 4 {
			w.tellEvidence(id)
			w.pass(250 * time.Millisecond)
		}
	}
	assert.Equal(t, w.core.CrashMetrics().PartsBlockedNow, 1)
	for range 8 {
		w.tellCrashes("x1", "x2", "x3")
		w.pass(250 * time.Millisecond)
	}
	assert.Equal(t, w.core.CrashMetrics().RequestBlocksNow, 0)
	for range 8 {
		w.tellCrashes("y1", "y2", "y3")
		w.pass(250 * time.Millisecond)
	}
	assert.Equal(t, w.core.CrashMetrics().RequestBlocksNow, 1)
}
