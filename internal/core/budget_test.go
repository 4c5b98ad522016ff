package core

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/retry"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// cutStreams opens streams, lets each deliver one token and then cuts them all at the same engine.
func (w *chainHarness) cutStreams(n int, engine model.ServerID) {
	w.t.Helper()
	var opens []msgs.Open
	for i := range n {
		opens = append(opens, w.submit(msgs.Arrival{ID: model.RequestID(i + 1)}))
	}
	w.deliverTokens(0, opens)
	for _, o := range opens {
		w.in.Ends = append(w.in.Ends, msgs.StreamEnd{Request: o.Request, Epoch: o.Epoch, Failure: resetError(engine)})
	}
	w.tick()
}

// TestStreamsBeyondBudgetFailAtOnce: an engine that is the only one with its layers cuts many
// streams at once, more than the retry budget has room for. Those that may not be sent again end
// at once, so that their callers can turn to another daemon; the others wait for a route. Requests
// that ended without using their retry give it back.
func TestStreamsBeyondBudgetFailAtOnce(t *testing.T) {
	const streams, budget = 4, 2
	w := newChainHarness(t, 1, WithBudget(retry.New(0, budget*8, 10*time.Second)))
	w.cutStreams(streams, "e10")
	assert.Equal(t, len(w.out.Finishes), streams-budget)
	for _, f := range w.out.Finishes {
		assert.Equal(t, f.Failure.Reason, verdt.Overloaded)
		assert.Equal(t, f.Failure.Verdict, verdt.Ran)
	}
	w.now = w.now.Add(6 * time.Second)
	w.tick()
	assert.Equal(t, len(w.out.Finishes), budget, "no route came in time")
	for range budget {
		assert.Assert(t, w.core.budget.TryTake(w.now, "m", 1))
	}
	assert.Assert(t, !w.core.budget.TryTake(w.now, "m", 1))
}

// TestReservedRetryCountsWhenSent: a retry that waited for a route counts in the budget from the
// time at which it is sent, not twice and not from when it was reserved.
func TestReservedRetryCountsWhenSent(t *testing.T) {
	w := newChainHarness(t, 1, WithBudget(retry.New(0, 8, 10*time.Second)))
	w.cutStreams(1, "e10")
	assert.Equal(t, len(w.out.Opens), 0)
	w.now = w.now.Add(3 * time.Second)
	w.list = append(w.list, model.Member{ID: "n", Address: "n:1", Zone: "a", Role: model.Engine, Span: model.Span{From: 1, To: 2}})
	w.sendListAndReports()
	w.tick()
	assert.Equal(t, len(w.out.Opens), 1)
	w.now = w.now.Add(8 * time.Second)
	assert.Assert(t, !w.core.budget.TryTake(w.now, "m", 1), "the retry was sent 8 s ago")
	w.now = w.now.Add(3 * time.Second)
	assert.Assert(t, w.core.budget.TryTake(w.now, "m", 1))
}
