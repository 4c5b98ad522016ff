package core

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/retry"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// TestBegunStreamsWaitForBudget: an engine cuts more streams at once than the retry budget has
// room for, while the retries of an earlier burst are about to leave the budget's window. The
// streams that have begun go on as soon as there is room, instead of being cut; one that has sent
// nothing is refused at once, and a begun one after half a second.
func TestBegunStreamsWaitForBudget(t *testing.T) {
	type scenario struct {
		name string
		// begun is whether the stream has sent a token; roomIn is when the budget has room.
		begun  bool
		roomIn time.Duration
		want   bool
	}
	for _, tc := range []scenario{
		{"room soon", true, 300 * time.Millisecond, true},
		{"room too late", true, 4 * time.Second, false},
		{"nothing sent yet", false, 300 * time.Millisecond, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			// The budget counts a retry for up to a twentieth of the window longer.
			const window, counted = 10 * time.Second, 10500 * time.Millisecond
			budget := retry.New(0, 16, window)
			w := newChainHarness(t, 2, WithBudget(budget))
			for budget.TryTake(w.now, "m", 1) {
			}
			w.now = w.now.Add(counted - tc.roomIn)
			o := w.submit(msgs.Arrival{ID: 1})
			if tc.begun {
				w.deliverTokens(0, []msgs.Open{o})
			}
			w.endStream(o, resetError(o.Route.Hops[1].Server), false)
			resumed, began := false, w.now
			for len(w.out.Finishes) == 0 && !resumed {
				resumed = len(w.out.Opens) > 0
				w.now = w.now.Add(50 * time.Millisecond)
				w.tick()
			}
			assert.Equal(t, resumed, tc.want)
			if !tc.want {
				assert.Assert(t, w.now.Sub(began) <= 600*time.Millisecond)
			}
			if !tc.begun {
				assert.Assert(t, w.now.Sub(began) <= 50*time.Millisecond)
			}
		})
	}
}

// TestRetriesWithoutConnectionUseNoBudget guards against a retry budget that is used up by attempts which reached no
// server: a begun stream tries server after server of which none accepts a connection, and is then cut for want of room.
func TestRetriesWithoutConnectionUseNoBudget(t *testing.T) {
	const pairs, window = 12, 10 * time.Second
	budget := retry.New(0, 1, window)
	w := newChainHarness(t, pairs, WithBudget(budget))
	w.in.Daemons = 1
	w.now = w.now.Add(2 * window)
	w.tick()
	w.now = w.now.Add(2 * window)
	w.in.Daemons = 1
	w.tick()
	o := w.submit(msgs.Arrival{ID: 1})
	w.deliverTokens(0, []msgs.Open{o})
	w.tick()
	w.endStream(o, resetError(o.Route.Hops[0].Server), false)
	for n := range pairs - 2 {
		assert.Equal(t, len(w.out.Opens), 1, "after %d servers: %v", n, w.out.Finishes)
		o = w.out.Opens[0]
		w.now = w.now.Add(300 * time.Millisecond)
		f := verdt.New(verdt.NotRun, verdt.StageFailed, "no connection", verdt.Server(string(o.Route.Hops[0].Server)))
		w.in.Ends = append(w.in.Ends, msgs.StreamEnd{Request: o.Request, Epoch: o.Epoch, Failure: f, Declined: true, NotConnected: true})
		w.tick()
	}
	assert.Equal(t, len(w.out.Opens), 1)
	assert.Assert(t, !budget.HasRoom(w.now, "m", 1), "the retry in progress is not counted")
}
