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

const callerPart, badPart uint64 = 0xca, 0xbad

// pass lets time pass without events.
func (w *chainHarness) pass(d time.Duration) {
	w.now = w.now.Add(d)
	w.tick()
}

// token sends a token of a stream.
func (w *chainHarness) token(o msgs.Open, position int, end bool) {
	w.in.Tokens = append(w.in.Tokens, model.Token{Request: o.Request, Epoch: o.Epoch, Position: position, End: end})
	w.tick()
}

// crashFirstServer ends the connection of a stream at its first engine.
func (w *chainHarness) crashFirstServer(o msgs.Open) {
	w.in.Ends = append(w.in.Ends, msgs.StreamEnd{Request: o.Request, Epoch: o.Epoch, Failure: resetError(o.Route.Hops[0].Server), ConnectionLost: true})
	w.tick()
}

// evidence returns what the daemon tells the others of engines that ended.
func (w *chainHarness) evidence() []crash.Evidence {
	return w.core.DaemonStatus(w.now).CrashEvidence
}

// finished returns how a request ended in the last tick; nil if it did not.
func (w *chainHarness) finished(id model.RequestID) *msgs.Finish {
	for _, f := range w.out.Finishes {
		if f.Request == id {
			return &f
		}
	}
	return nil
}

// tellEvidence makes other daemons report engines that ended under requests with badPart.
func (w *chainHarness) tellEvidence(servers ...model.ServerID) {
	w.in.OthersUntil = w.now.Add(board.StatusTTL)
	for _, id := range servers {
		w.in.Others.CrashEvidence = append(w.in.Others.CrashEvidence, crash.Evidence{Server: id, Part: badPart})
	}
	w.tick()
}

// TestRequestsWithBlockedPartFail guards against requests with a part that crashes engines that
// still reach one after the part is blocked, and against harm to others.
func TestRequestsWithBlockedPartFail(t *testing.T) {
	w := newChainHarness(t, 4)
	w.tellEvidence("x1")
	w.pass(time.Second)
	w.tellEvidence("x1", "x2")
	w.pass(time.Second)
	noOutput := w.submit(msgs.Arrival{ID: 1, Parts: []uint64{callerPart, badPart}})
	begun := w.submit(msgs.Arrival{ID: 2, Parts: []uint64{callerPart, badPart}})
	w.token(begun, 0, false)
	sound := w.submit(msgs.Arrival{ID: 3, Parts: []uint64{callerPart}})
	w.tellEvidence("x1", "x2", "x3")
	f := w.finished(noOutput.Request)
	assert.Assert(t, f != nil && f.Failure != nil)
	assert.Equal(t, f.Failure.Reason, verdt.PromptBlocked)
	assert.Equal(t, f.Failure.Verdict, verdt.MayHaveRun)
	assert.Equal(t, len(w.out.Cancels), 1)
	assert.Assert(t, w.finished(begun.Request) == nil && w.finished(sound.Request) == nil)

	w.in.Arrivals = append(w.in.Arrivals, msgs.Arrival{ID: 4, Model: "m", Deadline: w.now.Add(time.Second), Parts: []uint64{badPart}})
	w.tick()
	f = w.finished(4)
	assert.Assert(t, f != nil && f.Failure != nil)
	assert.Equal(t, f.Failure.Reason, verdt.PromptBlocked)
	assert.Equal(t, f.Failure.Verdict, verdt.NotRun)
	assert.Assert(t, f.Failure.RetryAt.Equal(w.now.Add(crash.BlockDuration)), "%s", f.Failure.RetryAt)
	assert.Equal(t, len(w.out.Opens), 0)
	w.submit(msgs.Arrival{ID: 5, Parts: []uint64{callerPart}})
	assert.Equal(t, w.core.CrashMetrics(), CrashMetrics{PartsBlocked: 1, PartsBlockedNow: 1, RequestsBlocked: 2})
}

// TestQueuedRequestWithBlockedPartIsRefused checks that a request that waits for a server fails as
// not run once one of its parts is blocked.
func TestQueuedRequestWithBlockedPartIsRefused(t *testing.T) {
	w := newChainHarness(t, 1)
	w.tellEvidence("x1")
	w.pass(time.Second)
	w.tellEvidence("x1", "x2")
	w.pass(time.Second)
	for id := range model.RequestID(20) {
		w.in.Arrivals = append(w.in.Arrivals, msgs.Arrival{ID: id + 10, Model: "m", Deadline: w.now.Add(time.Minute), Parts: []uint64{callerPart}})
	}
	w.tick()
	w.in.Arrivals = append(w.in.Arrivals, msgs.Arrival{ID: 1, Model: "m", Deadline: w.now.Add(time.Minute), Parts: []uint64{badPart}})
	w.tick()
	assert.Assert(t, w.finished(1) == nil && len(w.out.Opens) == 0)
	w.tellEvidence("x1", "x2", "x3")
	f := w.finished(1)
	assert.Assert(t, f != nil && f.Failure != nil)
	assert.Equal(t, f.Failure.Reason, verdt.PromptBlocked)
	assert.Equal(t, f.Failure.Verdict, verdt.NotRun)
}

// TestCrashEvidence checks which ends of streams count as the crash of an engine on a prompt.
func TestCrashEvidence(t *testing.T) {
	type scenario struct {
		name string
		// outputFor is the time from the first token to the end; negative without any token.
		outputFor time.Duration
		end       func(o msgs.Open) msgs.StreamEnd
		want      bool
	}
	lost := func(server model.ServerID) msgs.StreamEnd {
		return msgs.StreamEnd{Failure: resetError(server), ConnectionLost: true}
	}
	first := func(o msgs.Open) msgs.StreamEnd { return lost(o.Route.Hops[0].Server) }
	for _, s := range []scenario{
		{"without output", -1, first, true},
		{"just begun", 100 * time.Millisecond, first, true},
		{"begun some time ago", crash.BeginningDuration, first, false},
		{"at a later engine", -1, func(o msgs.Open) msgs.StreamEnd { return lost(o.Route.Hops[1].Server) }, false},
		{"declined", -1, func(o msgs.Open) msgs.StreamEnd {
			e := first(o)
			e.Declined = true
			return e
		}, false},
		{"another failure", -1, func(o msgs.Open) msgs.StreamEnd {
			return msgs.StreamEnd{Failure: resetError(o.Route.Hops[0].Server)}
		}, false},
		{"no failure", -1, func(msgs.Open) msgs.StreamEnd { return msgs.StreamEnd{ConnectionLost: true} }, false},
	} {
		t.Run(s.name, func(t *testing.T) {
			w := newChainHarness(t, 4)
			o := w.submit(msgs.Arrival{ID: 1, Parts: []uint64{badPart}})
			if s.outputFor >= 0 {
				w.token(o, 0, false)
				w.pass(s.outputFor)
			}
			e := s.end(o)
			e.Request, e.Epoch = o.Request, o.Epoch
			w.in.Ends = append(w.in.Ends, e)
			w.tick()
			assert.Equal(t, len(w.evidence()) == 1, s.want)
		})
	}
}

// TestCrashingRequestIsNotSentAgain guards against a request that ends one engine after the other.
func TestCrashingRequestIsNotSentAgain(t *testing.T) {
	w := newChainHarness(t, 6)
	sound := w.submit(msgs.Arrival{ID: 1, Parts: []uint64{callerPart}})
	w.token(sound, 0, false)
	w.token(sound, 1, true)
	bad := w.submit(msgs.Arrival{ID: 2, Parts: []uint64{callerPart, badPart}})
	w.crashFirstServer(bad)
	assert.Equal(t, len(w.out.Opens), 1)
	w.crashFirstServer(w.out.Opens[0])
	assert.Equal(t, len(w.out.Opens), 0)
	assert.Equal(t, w.finished(2).Failure.Verdict, verdt.MayHaveRun)

	soundAgain := w.submit(msgs.Arrival{ID: 3, Parts: []uint64{callerPart}})
	for range 2 {
		w.crashFirstServer(soundAgain)
		assert.Equal(t, len(w.out.Opens), 1)
		soundAgain = w.out.Opens[0]
	}

	w.pass(time.Second)
	w.tellEvidence("x1")
	suspect := w.submit(msgs.Arrival{ID: 4, Parts: []uint64{callerPart, badPart}})
	w.crashFirstServer(suspect)
	assert.Equal(t, len(w.out.Opens), 0)
	assert.Assert(t, w.finished(4) != nil)
}

// TestSoundParts checks what shows that the parts of a prompt crash no engine.
func TestSoundParts(t *testing.T) {
	type scenario struct {
		name string
		run  func(w *chainHarness, o msgs.Open)
		want bool
	}
	for _, s := range []scenario{
		{"a complete answer", func(w *chainHarness, o msgs.Open) {
			w.token(o, 0, false)
			w.token(o, 1, true)
		}, true},
		{"an answer without output", func(w *chainHarness, o msgs.Open) { w.token(o, 0, true) }, false},
		{"a stream that goes on", func(w *chainHarness, o msgs.Open) {
			w.token(o, 0, false)
			w.pass(crash.SoundAfter)
			w.token(o, 1, false)
		}, true},
		{"a stream that has just begun", func(w *chainHarness, o msgs.Open) {
			w.token(o, 0, false)
			w.pass(crash.SoundAfter / 2)
			w.token(o, 1, false)
		}, false},
		{"a stream that was quiet before it ended", func(w *chainHarness, o msgs.Open) {
			w.token(o, 0, false)
			w.pass(2 * crash.SoundAfter)
		}, false},
	} {
		t.Run(s.name, func(t *testing.T) {
			w := newChainHarness(t, 4)
			s.run(w, w.submit(msgs.Arrival{ID: 1, Parts: []uint64{badPart}}))
			w.tellEvidence("x1")
			assert.Equal(t, len(w.core.DaemonStatus(w.now).SoundParts) == 1, s.want)
		})
	}
}

// TestEngineThatBreaksOffAnswersIsNoCrash checks that evidence is withdrawn when the engine gives
// output to a stream that was opened later.
func TestEngineThatBreaksOffAnswersIsNoCrash(t *testing.T) {
	w := newChainHarness(t, 1)
	broken := w.submit(msgs.Arrival{ID: 1, Parts: []uint64{badPart}})
	before := w.submit(msgs.Arrival{ID: 2, Parts: []uint64{callerPart}})
	w.pass(10 * time.Millisecond)
	w.crashFirstServer(broken)
	w.token(before, 0, false)
	assert.Equal(t, len(w.evidence()), 1)
	w.in.CallerGone = append(w.in.CallerGone, 1)
	w.pass(2 * time.Second)
	later := w.submit(msgs.Arrival{ID: 3, Parts: []uint64{callerPart}})
	w.token(later, 0, false)
	assert.Equal(t, len(w.evidence()), 0)
}

// TestWaitForLaterEngineIsNoCrash guards against prompt parts that come under suspicion because a first
// engine gave up its wait for a later one of the route.
func TestWaitForLaterEngineIsNoCrash(t *testing.T) {
	w := newChainHarness(t, 1, WithStallCheck())
	o := w.submit(msgs.Arrival{ID: 1, Parts: []uint64{callerPart, badPart}})
	w.reportStall(o)
	w.crashFirstServer(o)
	assert.Equal(t, len(w.evidence()), 0)
}

// TestStalledRequestWithSuspectPartIsNotMoved guards against a request that may have crashed its engine and
// is moved to the next one because the engine is silent.
func TestStalledRequestWithSuspectPartIsNotMoved(t *testing.T) {
	w := newChainHarness(t, 3, WithStallCheck())
	w.tellEvidence("x1")
	w.pass(time.Second)
	w.tellEvidence("x1", "x2")
	for i, parts := range [][]uint64{{callerPart, badPart}, {callerPart}} {
		o := w.submit(msgs.Arrival{ID: model.RequestID(i + 1), Parts: parts})
		w.core.recov.StallStream(w.now, o.Request, o.Route.Hops[0].Server, w.core.tables, &w.out)
	}
	w.pass(25 * time.Millisecond)
	assert.Equal(t, len(w.out.Opens), 1)
	assert.Equal(t, w.out.Opens[0].Request, model.RequestID(2))
}
