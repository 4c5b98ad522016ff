package core

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/reach"
	"bulrushpond.example/bulrushpond/internal/core/retry"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// cutOff lets the core find that it reaches none of the engines, while other daemons may serve their requests.
func (w *chainHarness) cutOff(hasProxies bool) {
	w.t.Helper()
	w.in.HasProxies = &hasProxies
	w.core.SuspectCutOff("m")
	w.probe(0)
	assert.DeepEqual(w.t, w.core.CutOff(), []string{"m"})
}

// probe answers the probes that are due with a share of the servers reached.
func (w *chainHarness) probe(reached float64) {
	w.t.Helper()
	for _, p := range w.core.ReachProbes(w.now) {
		tried := len(p.Addresses)
		w.in.ReachProbes = append(w.in.ReachProbes, reach.Result{Service: p.Service, Tried: tried, Reached: int(reached * float64(tried))})
	}
	w.tick()
}

// TestCutOffRequestsUseProxies guards against requests that wait at a daemon without a way to the engines: whatever
// their state, other daemons serve the rest of them at once, unless they may have run and must not run twice.
func TestCutOffRequestsUseProxies(t *testing.T) {
	type scenario struct {
		name       string
		arrival    msgs.Arrival
		tokens     int
		notArrived bool
		quiet      bool
		wantProxy  bool
		wantNext   int
	}
	for _, tc := range []scenario{
		{name: "a new request", notArrived: true, wantProxy: true},
		{name: "a new request that must not run twice", arrival: msgs.Arrival{AtMostOnce: true}, notArrived: true, wantProxy: true},
		{name: "a request without output", quiet: true, wantProxy: true},
		{name: "a request without output that must not run twice", arrival: msgs.Arrival{AtMostOnce: true}, quiet: true},
		{name: "a stream that stands still", tokens: 3, quiet: true, wantProxy: true, wantNext: 3},
		{name: "a stream that stands still and must not run twice", arrival: msgs.Arrival{AtMostOnce: true}, tokens: 3, quiet: true},
		{name: "a stream on a connection that lives on", tokens: 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newChainHarness(t, 2, WithBudget(retry.New(0, 100, 10*time.Second)))
			tc.arrival.ID = 1
			tc.arrival.Model, tc.arrival.Deadline = "m", w.now.Add(20*time.Second)
			if tc.notArrived {
				w.cutOff(true)
				w.in.Arrivals = append(w.in.Arrivals, tc.arrival)
				w.tick()
			} else {
				w.in.Arrivals = append(w.in.Arrivals, tc.arrival)
				w.tick()
				assert.Equal(t, len(w.out.Opens), 1)
				o := w.out.Opens[0]
				for i := range tc.tokens {
					w.deliverTokens(i, []msgs.Open{o})
				}
				w.tick()
				if tc.quiet {
					w.now = w.now.Add(proxyAfterSilence)
				}
				w.cutOff(true)
			}
			if !tc.wantProxy {
				assert.Equal(t, len(w.out.Finishes), 0)
				assert.Equal(t, len(w.out.Cancels), 0)
				return
			}
			assert.Equal(t, len(w.out.Opens), 0)
			assert.Equal(t, len(w.out.Finishes), 1)
			f := w.out.Finishes[0]
			assert.Assert(t, f.Proxy)
			assert.Equal(t, f.Next, tc.wantNext)
			assert.Equal(t, f.Failure.Reason, verdt.Unreachable)
			assert.Equal(t, f.Failure.Verdict == verdt.NotRun, tc.notArrived)
			assert.Equal(t, w.core.InProgress(), 0)
		})
	}
}

// TestCutOffWithoutProxiesKeepsRequests guards against requests that are refused because their engines are down for all
// daemons: they wait for them as ever.
func TestCutOffWithoutProxiesKeepsRequests(t *testing.T) {
	w := newChainHarness(t, 2)
	w.cutOff(false)
	o := w.submit(msgs.Arrival{ID: 1})
	w.endStream(o, verdt.New(verdt.NotRun, verdt.StageFailed, "no connection", verdt.Server(string(o.Route.Hops[0].Server))), true)
	assert.Equal(t, len(w.out.Finishes), 0)
}

// TestProxiedRequestIsNotPassedOn guards against requests that go from daemon to daemon in a circle: one that came from
// another daemon is given back as not run, or with what is known of its run.
func TestProxiedRequestIsNotPassedOn(t *testing.T) {
	w := newChainHarness(t, 2)
	o := w.startStream(msgs.Arrival{ID: 1, Proxied: true})
	w.now = w.now.Add(proxyAfterSilence)
	w.cutOff(true)
	assert.Equal(t, len(w.out.Finishes), 1)
	assert.Assert(t, !w.out.Finishes[0].Proxy)
	assert.Equal(t, w.out.Finishes[0].Failure.Verdict, verdt.Ran)
	assert.Equal(t, o.Request, model.RequestID(1))
	w.in.Arrivals = append(w.in.Arrivals, msgs.Arrival{ID: 2, Model: "m", Deadline: w.now.Add(time.Second), Proxied: true})
	w.tick()
	assert.Equal(t, len(w.out.Finishes), 1)
	assert.Assert(t, !w.out.Finishes[0].Proxy)
	assert.Equal(t, w.out.Finishes[0].Failure.Verdict, verdt.NotRun)
}

// TestProxiedRequestsCountOnce guards against a retry budget that grows because two daemons count one request, and
// against requests that are sent again over another daemon beyond it.
func TestProxiedRequestsCountOnce(t *testing.T) {
	budget := retry.New(1, 2, 10*time.Second)
	budget.SetDaemons(time.Unix(0, 0), 1)
	w := newChainHarness(t, 4, WithBudget(budget))
	w.in.Daemons = 1
	for i := range 80 {
		id := model.RequestID(i + 1)
		w.submit(msgs.Arrival{ID: id, Proxied: true})
		w.in.CallerGone = append(w.in.CallerGone, id)
		w.tick()
		w.now = w.now.Add(250 * time.Millisecond)
	}
	taken := 0
	for budget.TryTake(w.now, "m", 1) {
		taken++
	}
	assert.Equal(t, taken, 2, "proxied requests raised the budget")

	budget = retry.New(0, 4, 10*time.Second)
	w = newChainHarness(t, 4, WithBudget(budget))
	w.in.Daemons = 1
	w.tick()
	for i := range 8 {
		w.in.Arrivals = append(w.in.Arrivals, msgs.Arrival{ID: model.RequestID(i + 1), Model: "m", Deadline: w.now.Add(20 * time.Second)})
	}
	w.tick()
	opens := append([]msgs.Open(nil), w.out.Opens...)
	w.deliverTokens(0, opens)
	w.tick()
	w.now = w.now.Add(proxyAfterSilence)
	w.cutOff(true)
	assert.Assert(t, len(w.out.Finishes) <= 4, "%d requests were sent again", len(w.out.Finishes))
	assert.Equal(t, w.core.InProgress(), 8-len(w.out.Finishes))
}

// TestCutOffDaemonSuspectsNoEngine guards against engines that all daemons avoid, and whose layers are placed anew,
// because one daemon has lost its way to them.
func TestCutOffDaemonSuspectsNoEngine(t *testing.T) {
	w := newChainHarness(t, 2, WithStallCheck())
	o := w.startStream(msgs.Arrival{ID: 1})
	w.reportStall(o)
	assert.Equal(t, len(w.core.DaemonStatus(w.now).Suspects), 1)
	w.cutOff(true)
	assert.Equal(t, len(w.core.DaemonStatus(w.now).Suspects), 0)
	for range 4 {
		w.now = w.now.Add(time.Second)
		w.probe(1)
	}
	assert.Equal(t, len(w.core.CutOff()), 0)
	w.submit(msgs.Arrival{ID: 2})
}

// TestSilentStreamsRaiseSuspicion guards against a cut that is found only after callers have left: their streams stand
// still and the connections stay open, while new requests come all the time.
func TestSilentStreamsRaiseSuspicion(t *testing.T) {
	w := newChainHarness(t, 4)
	var opens []msgs.Open
	for i := range 4 {
		opens = append(opens, w.submit(msgs.Arrival{ID: model.RequestID(i + 1)}))
	}
	w.deliverTokens(0, opens)
	w.tick()
	silentSince := w.now
	for i := 0; len(w.core.ReachProbes(w.now)) == 0; i++ {
		w.now = w.now.Add(25 * time.Millisecond)
		if i%3 == 0 {
			w.submit(msgs.Arrival{ID: model.RequestID(100 + i)})
		}
		assert.Assert(t, w.now.Sub(silentSince) <= 500*time.Millisecond, "no probe after %s", w.now.Sub(silentSince))
	}
}

// TestCutOffStreamsStayOffCutServers guards against streams that are moved from one server behind the cut to another,
// and use up the retry budget, while no other daemon can take them yet.
func TestCutOffStreamsStayOffCutServers(t *testing.T) {
	budget := retry.New(0, 0, 10*time.Second)
	w := newChainHarness(t, 4, WithStallCheck(), WithBudget(budget))
	o := w.startStream(msgs.Arrival{ID: 1})
	w.now = w.now.Add(proxyAfterSilence)
	w.cutOff(true)
	budget.Burst = 100
	w.core.hasProxies = true
	w.endStream(o, resetError(o.Route.Hops[0].Server), false)
	assert.Equal(t, len(w.out.Opens), 0)
	w.now = w.now.Add(time.Second)
	w.tick()
	assert.Equal(t, len(w.out.Opens), 0)
}

// TestCutThatResetsAccusesNoRequest guards against requests and prompt parts that all daemons hold for crashing engines,
// because a cut reset the streams of one daemon that were just beginning.
func TestCutThatResetsAccusesNoRequest(t *testing.T) {
	w := newChainHarness(t, 6)
	w.tellCrashes()
	for i := range 4 {
		w.crashFirstServer(w.submit(msgs.Arrival{ID: model.RequestID(i + 1), Parts: []uint64{badPart}, Digest: uint64(100 + i)}))
	}
	status := func() (evidence int) {
		s := w.core.DaemonStatus(w.now)
		return len(s.CrashEvidence) + len(s.ModelRequests.Evidence)
	}
	assert.Assert(t, status() > 0)
	w.now = w.now.Add(300 * time.Millisecond)
	w.cutOff(true)
	assert.Equal(t, status(), 0)
	assert.Equal(t, w.core.CrashMetrics().PartsBlockedNow, 0)
}
