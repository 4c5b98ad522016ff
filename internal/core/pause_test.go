package core

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// pause makes a server ask for a pause.
func (w *chainHarness) pause(until time.Time, ids ...model.ServerID) {
	for _, id := range ids {
		w.in.Pauses = append(w.in.Pauses, msgs.Pause{Server: id, Until: until})
	}
}

// TestPausedEngineGetsNoRequests: busy engines decline requests and ask for a pause. None of a
// steady stream of requests is sent to such an engine until the pause ends, however idle it
// seems, and then it is used again.
func TestPausedEngineGetsNoRequests(t *testing.T) {
	w := newChainHarness(t, 2)
	paused := model.ServerID("e00")
	w.pause(w.now.Add(3*time.Second), paused)
	usedAgain := false
	for i := range 60 {
		o := w.submit(msgs.Arrival{ID: model.RequestID(i + 1)})
		if o.Route.Uses(paused) {
			assert.Assert(t, i >= 30, "used %d00 ms after it asked for a pause of 3 s", i)
			usedAgain = true
		}
		w.in.CallerGone = append(w.in.CallerGone, o.Request)
		w.now = w.now.Add(100 * time.Millisecond)
		w.tick()
	}
	assert.Assert(t, usedAgain)
}

// TestAllEnginesPaused: the engines of one half of the model all ask for a pause, as after a
// burst. A request that they could still serve in time waits for them; one that they could not is
// refused at once, as not run, with the time at which the first of them takes requests again.
func TestAllEnginesPaused(t *testing.T) {
	type scenario struct {
		name    string
		pause   time.Duration
		refused bool
	}
	for _, tc := range []scenario{
		{"shorter than the request may wait", 100 * time.Millisecond, false},
		{"longer than the request may wait", 5 * time.Second, true},
		{"absurdly long", 1000 * time.Hour, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newChainHarness(t, 2)
			w.pause(w.now.Add(tc.pause), "e00")
			w.pause(w.now.Add(2*tc.pause), "e01")
			w.in.Arrivals = append(w.in.Arrivals, msgs.Arrival{ID: 1, Model: "m", Deadline: w.now.Add(20 * time.Second)})
			w.tick()
			assert.Equal(t, len(w.out.Opens), 0)
			if !tc.refused {
				assert.Equal(t, len(w.out.Finishes), 0)
				w.now = w.now.Add(tc.pause)
				w.tick()
				assert.Equal(t, len(w.out.Opens), 1)
				return
			}
			assert.Equal(t, len(w.out.Finishes), 1)
			f := w.out.Finishes[0].Failure
			assert.Equal(t, f.Verdict, verdt.NotRun)
			assert.Equal(t, f.RetryAt, w.now.Add(min(tc.pause, time.Minute)))
		})
	}
}

// TestStreamLeavesPausedEngines: a stream that lost an engine, while all others that hold its
// layers have asked for a longer pause than the stream may wait, fails at once instead of when
// its wait is over.
func TestStreamLeavesPausedEngines(t *testing.T) {
	w := newChainHarness(t, 2)
	o := w.submit(msgs.Arrival{ID: 1})
	pauseEnd := w.now.Add(30 * time.Second)
	w.pause(pauseEnd, "e10", "e11")
	w.endStream(o, resetError(o.Route.Hops[1].Server), false)
	assert.Equal(t, len(w.out.Finishes), 1)
	assert.Equal(t, w.out.Finishes[0].Failure.Verdict, verdt.MayHaveRun)
	assert.Equal(t, w.out.Finishes[0].Failure.RetryAt, pauseEnd)
}

// TestShorterPauseChangesNothing: answers of one engine arrive in any order, so a shorter pause
// does not end a longer one, and the end of a stream does not end the pause either.
func TestShorterPauseChangesNothing(t *testing.T) {
	w := newChainHarness(t, 2)
	w.pause(w.now.Add(4*time.Second), "e00")
	w.pause(w.now.Add(time.Second), "e00")
	w.tick()
	assert.Equal(t, len(w.out.Notices), 1)
	w.now = w.now.Add(3900 * time.Millisecond)
	for i := range 10 {
		o := w.submit(msgs.Arrival{ID: model.RequestID(i + 1)})
		assert.Assert(t, !o.Route.Uses("e00"))
		w.in.CallerGone = append(w.in.CallerGone, o.Request)
		w.tick()
	}
}
