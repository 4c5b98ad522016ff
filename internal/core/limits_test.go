package core

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/core/limit"
	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// say makes engines name a limit of requests a second.
func (w *chainHarness) say(perSecond float64, ids ...model.ServerID) {
	for _, id := range ids {
		w.in.Limits = append(w.in.Limits, limit.Statement{Server: id, Limited: true, PerSecond: perSecond})
	}
}

// grant adds this daemon's shares of limits, as the daemon that shares them out would.
func (w *chainHarness) grant(requests int, rate float64, ids ...model.ServerID) {
	w.in.OthersUntil = w.now.Add(time.Second)
	for _, id := range ids {
		w.in.Others.Limits = append(w.in.Others.Limits, limit.Grant{
			Statement: limit.Statement{Server: id, Limited: true, PerSecond: 4}, Requests: requests, Rate: rate,
		})
	}
}

// TestLimitedEngineGetsItsShare guards against an engine with a limit that gets more requests than this
// daemon's share of it. The others go to another engine; once the limit has ended, both are used.
func TestLimitedEngineGetsItsShare(t *testing.T) {
	w := newChainHarness(t, 2)
	limited := model.ServerID("e00")
	id := model.RequestID(0)
	// send submits requests and returns how many began at the limited engine.
	send := func(n int) (atLimited int) {
		for range n {
			id++
			o := w.submit(msgs.Arrival{ID: id})
			if o.Route.Hops[0].Server == limited {
				atLimited++
			}
			w.in.CallerGone = append(w.in.CallerGone, o.Request)
			w.tick()
		}
		return atLimited
	}
	assert.Assert(t, send(40) > 5)
	w.say(4, limited)
	w.grant(0, 0, limited)
	w.tick()
	assert.Equal(t, len(w.out.Notices), 1)
	assert.Equal(t, send(40), 0)
	assert.Assert(t, w.core.DaemonStatus(w.now).Limits[0].Demand > 5)
	w.grant(3, 1, limited)
	w.tick()
	assert.Equal(t, send(40), 3)
	w.in.Limits = append(w.in.Limits, limit.Statement{Server: limited})
	w.tick()
	assert.Assert(t, send(40) > 5)
}

// TestLimitOfLaterEngineBoundsNoRequest: the limit counts the requests that an engine is sent, not those
// that other engines pass through it.
func TestLimitOfLaterEngineBoundsNoRequest(t *testing.T) {
	w := newChainHarness(t, 2)
	w.say(1, "e10", "e11")
	w.grant(0, 0, "e10", "e11")
	for id := range model.RequestID(20) {
		o := w.submit(msgs.Arrival{ID: id + 1})
		w.in.CallerGone = append(w.in.CallerGone, o.Request)
		w.tick()
	}
}

// TestAllFirstEnginesLimited guards against requests that wait in vain for engines at their limits: they are
// refused at once, as not run, and each is told another time to come back, at the rate of the limits.
func TestAllFirstEnginesLimited(t *testing.T) {
	w := newChainHarness(t, 2)
	first := []model.ServerID{"e00", "e01"}
	w.say(4, first...)
	w.grant(0, 0.5, first...)
	w.tick()
	for i := range 4 {
		w.in.Arrivals = append(w.in.Arrivals, msgs.Arrival{ID: model.RequestID(i + 1), Model: "m", Deadline: w.now.Add(20 * time.Second)})
		w.tick()
		assert.Equal(t, len(w.out.Opens), 0)
		assert.Equal(t, len(w.out.Finishes), 1)
		f := w.out.Finishes[0].Failure
		assert.Equal(t, f.Verdict, verdt.NotRun)
		// Two engines at 0.5 requests a second each.
		assert.Equal(t, f.RetryAt, w.now.Add(time.Duration(i+1)*time.Second))
	}
}

// TestRequestWaitsForShortLimit checks that a request waits for a limit that will allow it in time, and that
// of more requests than it will allow only those wait that it serves in time.
func TestRequestWaitsForShortLimit(t *testing.T) {
	w := newChainHarness(t, 2)
	first := []model.ServerID{"e00", "e01"}
	w.say(40, first...)
	w.grant(0, 5, first...)
	w.tick()
	refused := 0
	for i := range 10 {
		w.in.Arrivals = append(w.in.Arrivals, msgs.Arrival{ID: model.RequestID(i + 1), Model: "m", Deadline: w.now.Add(20 * time.Second), FirstTokenDeadline: w.now.Add(500 * time.Millisecond)})
		w.tick()
		assert.Equal(t, len(w.out.Opens), 0)
		refused += len(w.out.Finishes)
	}
	// 500 ms at ten requests a second.
	assert.Equal(t, refused, 5)
	w.grant(5, 5, first...)
	w.tick()
	assert.Equal(t, len(w.out.Opens), 5)
}

// TestStreamWaitsForLimitedEngine checks that a begun stream that lost its engine waits while the others are at
// their limits, and goes on.
func TestStreamWaitsForLimitedEngine(t *testing.T) {
	w := newChainHarness(t, 2)
	o := w.submit(msgs.Arrival{ID: 1})
	w.in.Tokens = append(w.in.Tokens, model.Token{Request: 1, Epoch: o.Epoch, Position: 0, Trail: model.TrailOf(o.Route)})
	w.tick()
	first := []model.ServerID{"e00", "e01"}
	w.say(4, first...)
	w.grant(0, 1, first...)
	w.endStream(o, resetError(o.Route.Hops[0].Server), false)
	assert.Equal(t, len(w.out.Finishes)+len(w.out.Opens), 0)
	w.now = w.now.Add(100 * time.Millisecond)
	w.grant(1, 1, first...)
	w.tick()
	assert.Equal(t, len(w.out.Opens), 1)
	assert.Equal(t, w.out.Opens[0].From, 1)
}

// TestRestartedEngineHasNoLimit checks that the limit of an engine ends with it.
func TestRestartedEngineHasNoLimit(t *testing.T) {
	w := newChainHarness(t, 2)
	w.say(1, "e00")
	w.tick()
	assert.Equal(t, w.core.LimitedServers(), 1)
	w.in.List = slices.DeleteFunc(slices.Clone(w.list), func(m model.Member) bool { return m.ID == "e00" })
	w.tick()
	assert.Equal(t, w.core.LimitedServers(), 0)
	w.grant(5, 5, "e00")
	w.tick()
	assert.Equal(t, w.core.LimitedServers(), 0)
}
