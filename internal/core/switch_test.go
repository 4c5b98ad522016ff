package core

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/core/board"
	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/retry"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// unlist removes servers from the membership list.
func (w *chainHarness) unlist(ids ...model.ServerID) {
	w.list = slices.DeleteFunc(w.list, func(m model.Member) bool { return slices.Contains(ids, model.ServerID(m.ID)) })
	w.sendListAndReports()
	w.tick()
}

// startStream submits a request and delivers its first token.
func (w *chainHarness) startStream(a msgs.Arrival) msgs.Open {
	w.t.Helper()
	o := w.submit(a)
	w.deliverTokens(0, []msgs.Open{o})
	w.tick()
	return o
}

// reportStall lets a stream pause until its first engine is asked, and answers that the engine
// waits for the one of the second stage.
func (w *chainHarness) reportStall(o msgs.Open) {
	w.t.Helper()
	ask := w.awaitAsk()
	faulty := o.Route.Hops[1]
	w.in.Diagnoses = append(w.in.Diagnoses, msgs.Diagnosis{Server: o.Route.Hops[0].Server, AskedAt: ask.At, Faulty: []string{faulty.Address}})
	w.tick()
}

// TestSilentEngineCutsNoStream guards against streams that the daemon cuts because of an engine
// that is silent for a moment. Whatever keeps a stream from being moved to another route, it
// stays open and goes on when the engine does.
func TestSilentEngineCutsNoStream(t *testing.T) {
	type scenario struct {
		name    string
		pairs   int
		budget  *retry.Budget
		arrival msgs.Arrival
		// prepare runs after the first token.
		prepare func(*chainHarness, msgs.Open)
	}
	for _, tc := range []scenario{
		{name: "no other route", pairs: 1},
		{
			name: "attempts used up at a server that left", pairs: 2, arrival: msgs.Arrival{MaxAttempts: 1},
			prepare: func(w *chainHarness, o msgs.Open) { w.unlist(o.Route.Hops[0].Server) },
		},
		{name: "retry budget used up", pairs: 2, budget: retry.New(0, 0, 10*time.Second)},
		{name: "recoveries used up", pairs: 2, prepare: func(w *chainHarness, _ msgs.Open) { w.core.requests.Get(1).MaxRecoveries = 0 }},
		{name: "not repeatable", pairs: 2, arrival: msgs.Arrival{AtMostOnce: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			opts := []Option{WithStallCheck()}
			if tc.budget != nil {
				opts = append(opts, WithBudget(tc.budget))
			}
			w := newChainHarness(t, tc.pairs, opts...)
			tc.arrival.ID = 1
			o := w.startStream(tc.arrival)
			if tc.prepare != nil {
				tc.prepare(w, o)
			}
			w.reportStall(o)
			asks := 0
			for range 240 {
				assert.Equal(t, len(w.out.Cancels), 0, "the stream was cancelled")
				assert.Equal(t, len(w.out.Finishes), 0, "the request was ended: %v", w.out.Finishes)
				for _, ask := range w.out.Asks {
					asks++
					w.in.Diagnoses = append(w.in.Diagnoses, msgs.Diagnosis{Server: ask.Server, AskedAt: ask.At, Faulty: []string{o.Route.Hops[1].Address}})
				}
				w.now = w.now.Add(25 * time.Millisecond)
				w.tick()
			}
			assert.Assert(t, asks <= 6, "asked %d times in 6 s", asks)
			w.deliverTokens(1, []msgs.Open{o})
			w.tick()
			assert.Equal(t, len(w.out.Sends), 1)
			w.in.Tokens = append(w.in.Tokens, model.Token{Request: 1, Epoch: o.Epoch, Position: 2, End: true})
			w.tick()
			assert.Equal(t, len(w.out.Finishes), 1)
			assert.Assert(t, w.out.Finishes[0].Failure == nil)
		})
	}
}

// TestLeavingServerKeepsStreamWithoutAnotherRoute guards against streams that are cut because a
// server of their route leaves and no other can take its place yet. They stay until one can.
func TestLeavingServerKeepsStreamWithoutAnotherRoute(t *testing.T) {
	w := newChainHarness(t, 1)
	o := w.startStream(msgs.Arrival{ID: 1})
	root := setts.Defaults()
	root.Models["m"], root.DrainGrace, root.DrainServers = 2, time.Second, []string{"e10"}
	w.in.Settings = setts.EffectiveSettingsOf(2, root, nil)
	w.tick()
	for range 8 {
		w.now = w.now.Add(time.Second)
		w.tick()
		assert.Equal(t, len(w.out.Cancels)+len(w.out.Finishes), 0)
	}
	w.deliverTokens(1, []msgs.Open{o})
	w.tick()
	assert.Equal(t, len(w.out.Sends), 1)
	w.list = append(w.list, model.Member{ID: "e11", Address: "e11:1", Zone: "a", Role: model.Engine, Span: model.Span{From: 1, To: 2}})
	w.sendListAndReports()
	w.tick()
	assert.Equal(t, len(w.out.Cancels), 1)
	assert.Equal(t, len(w.out.Opens), 1)
	assert.Equal(t, w.out.Opens[0].From, 2)
	assert.Assert(t, w.out.Opens[0].Route.Uses("e11"))
}

// TestDisplacedRequestRunsOnce guards against a second run of a request that must not be repeated,
// because a server of its route stops.
func TestDisplacedRequestRunsOnce(t *testing.T) {
	w := newChainHarness(t, 2)
	o := w.startStream(msgs.Arrival{ID: 1, AtMostOnce: true})
	root := setts.Defaults()
	root.Models["m"], root.DrainGrace, root.DrainServers = 2, time.Second, []string{string(o.Route.Hops[1].Server)}
	w.in.Settings = setts.EffectiveSettingsOf(2, root, nil)
	w.tick()
	for range 8 {
		w.now = w.now.Add(time.Second)
		w.tick()
		assert.Equal(t, len(w.out.Opens)+len(w.out.Cancels)+len(w.out.Finishes), 0)
	}
}

// TestStreamThatGoesOnIsNotSwitched guards against a second run of a stream whose engine was only
// silent for a moment, once another route is found.
func TestStreamThatGoesOnIsNotSwitched(t *testing.T) {
	w := newChainHarness(t, 1, WithStallCheck())
	o := w.startStream(msgs.Arrival{ID: 1})
	w.reportStall(o)
	w.deliverTokens(1, []msgs.Open{o})
	w.tick()
	w.addPair()
	assert.Equal(t, len(w.out.Cancels)+len(w.out.Opens), 0)
}

// TestStalledStreamUsesItsOwnRoom guards against streams that stay at a stalled engine because they hold
// the last room on another engine of their route themselves.
func TestStalledStreamUsesItsOwnRoom(t *testing.T) {
	w := newChainHarness(t, 2, WithStallCheck())
	w.unlist("e01")
	w.in.Reports = append(w.in.Reports, model.Report{Server: "e00", Model: "m", Span: model.Span{From: 0, To: 1}, Slots: 1, TokensPerSecond: 1, ReportedAt: w.now})
	w.tick()
	o := w.startStream(msgs.Arrival{ID: 1})
	w.reportStall(o)
	assert.Equal(t, len(w.out.Opens), 1)
	next := w.out.Opens[0].Route
	assert.Equal(t, next.Hops[0].Server, o.Route.Hops[0].Server)
	assert.Assert(t, next.Hops[1].Server != o.Route.Hops[1].Server)
}

// TestEndOfStalledStreamBlamesStalledServer guards against a sound first engine that is avoided because it
// ended a stream that had waited for another engine. The stream is opened again at once.
func TestEndOfStalledStreamBlamesStalledServer(t *testing.T) {
	for _, attempts := range []int{0, 1, 2} {
		w := newChainHarness(t, 1, WithStallCheck())
		o := w.startStream(msgs.Arrival{ID: 1, MaxAttempts: attempts})
		w.reportStall(o)
		w.now = w.now.Add(1800 * time.Millisecond)
		w.endStream(o, resetError("e00"), false)
		w.list = append(w.list, model.Member{ID: "e11", Address: "e11:1", Zone: "a", Role: model.Engine, Span: model.Span{From: 1, To: 2}})
		w.sendListAndReports()
		w.tick()
		assert.Equal(t, len(w.out.Opens), 1, "with %d attempts", attempts)
		assert.Assert(t, w.out.Opens[0].Route.Uses("e00") && w.out.Opens[0].Route.Uses("e11"))
	}
}

// TestFullServerOfStalledStreamsIsNotDead guards against a sound engine that counts as dead because it
// declines a request while streams over it wait for another engine.
func TestFullServerOfStalledStreamsIsNotDead(t *testing.T) {
	w := newChainHarness(t, 1, WithStallCheck())
	var opens []msgs.Open
	for id := range 3 {
		opens = append(opens, w.submit(msgs.Arrival{ID: model.RequestID(id + 1), AtMostOnce: true}))
	}
	w.deliverTokens(0, opens)
	w.tick()
	w.reportStall(opens[0])
	w.list = append(w.list, model.Member{ID: "e11", Address: "e11:1", Zone: "a", Role: model.Engine, Span: model.Span{From: 1, To: 2}})
	w.sendListAndReports()
	w.tick()
	o := w.submit(msgs.Arrival{ID: 4})
	assert.Equal(t, o.Route.Hops[0].Server, model.ServerID("e00"))
	w.endStream(o, verdt.New(verdt.NotRun, verdt.Overloaded, "declined", verdt.Server("e00")), true)
	for range 4 {
		w.now = w.now.Add(25 * time.Millisecond)
		w.tick()
		assert.DeepEqual(t, w.core.Suspects(w.now), []model.ServerID{"e10"})
	}
}

// TestStalledStreamsDoNotStarveOthers guards against a stalled stream that is not moved because others,
// which have no route, are always tried before it.
func TestStalledStreamsDoNotStarveOthers(t *testing.T) {
	const withoutRoute = 2 * maxFailedSearches
	w := newChainHarness(t, 1, WithStallCheck())
	for _, id := range []model.ServerID{"e00", "e10"} {
		w.in.Reports = append(w.in.Reports, model.Report{Server: id, Model: "m", Span: w.core.servers.Get(id).Report.Span, TokensPerSecond: 1, ReportedAt: w.now})
	}
	w.tick()
	var opens []msgs.Open
	for id := range withoutRoute + 1 {
		opens = append(opens, w.submit(msgs.Arrival{ID: model.RequestID(id + 1)}))
	}
	w.deliverTokens(0, opens)
	w.tick()
	for id := range withoutRoute {
		w.core.requests.Get(model.RequestID(id + 1)).Failed = []model.ServerID{"e01", "e11"}
	}
	w.reportStall(opens[0])
	assert.Equal(t, len(w.core.requests.Stalled), withoutRoute+1)
	w.addPair()
	moved := len(w.out.Opens)
	for range 40 {
		w.now = w.now.Add(25 * time.Millisecond)
		w.tick()
		moved += len(w.out.Opens)
	}
	assert.Equal(t, moved, 1)
}

// TestStalledServerIsDiagnosedAgain guards against a stream that stays at a stalled engine because it is
// marked as waiting for another one, which has gone on since.
func TestStalledServerIsDiagnosedAgain(t *testing.T) {
	w := newChainHarness(t, 1, WithStallCheck())
	o := w.startStream(msgs.Arrival{ID: 1})
	w.reportStall(o)
	w.list = append(w.list, model.Member{ID: "e01", Address: "e01:1", Zone: "a", Role: model.Engine, Span: model.Span{From: 0, To: 1}})
	w.sendListAndReports()
	w.tick()
	assert.Equal(t, len(w.out.Opens), 0, "e10, which the stream waits for, has no replacement")
	for range 20 {
		w.now = w.now.Add(25 * time.Millisecond)
		w.tick()
	}
	w.out.Asks = []msgs.Ask{w.awaitAsk()}
	moved := 0
	for range 240 {
		for _, ask := range w.out.Asks {
			w.in.Diagnoses = append(w.in.Diagnoses, msgs.Diagnosis{Server: ask.Server, AskedAt: ask.At, Unresponsive: true})
		}
		w.now = w.now.Add(25 * time.Millisecond)
		w.tick()
		moved += len(w.out.Opens)
	}
	assert.Equal(t, moved, 1)
}

// TestReturnedServerKeepsStream guards against a stream that is moved off a server which no longer leaves.
func TestReturnedServerKeepsStream(t *testing.T) {
	w := newChainHarness(t, 1)
	w.startStream(msgs.Arrival{ID: 1})
	for revision, drained := range [][]string{{"e10"}, nil} {
		root := setts.Defaults()
		root.Models["m"], root.DrainGrace, root.DrainServers = 2, time.Second, drained
		w.in.Settings = setts.EffectiveSettingsOf(model.Revision(revision+2), root, nil)
		w.tick()
		w.now = w.now.Add(12 * time.Second)
		w.tick()
	}
	w.addPair()
	for range 3 {
		assert.Equal(t, len(w.out.Cancels)+len(w.out.Opens), 0)
		w.now = w.now.Add(100 * time.Millisecond)
		w.tick()
	}
}

// TestDeclinedSwitchCutsNoStream guards against streams that are cut because the new route declines them after
// the daemon ended the old stream. Its engines would have gone on, so the caller is not cut.
func TestDeclinedSwitchCutsNoStream(t *testing.T) {
	type scenario struct {
		name    string
		budget  *retry.Budget
		arrival msgs.Arrival
		// beforeDecline runs after the move to the other route.
		beforeDecline func(w *chainHarness, first msgs.Open)
	}
	for _, tc := range []scenario{
		{name: "retry budget used up by the move", budget: retry.New(0, 8, 10*time.Second), arrival: msgs.Arrival{MaxAttempts: 2}},
		{name: "the only first server leaves", arrival: msgs.Arrival{MaxAttempts: 1}, beforeDecline: func(w *chainHarness, first msgs.Open) {
			for i := range w.list {
				if w.list[i].ID == string(first.Route.Hops[0].Server) {
					w.list[i].State = model.Leaving
				}
			}
			w.in.List = w.list
		}},
		{name: "the others ask for a pause", arrival: msgs.Arrival{MaxAttempts: 2}, beforeDecline: func(w *chainHarness, _ msgs.Open) {
			w.pause(w.now.Add(8*time.Second), "e00", "e01", "e10", "e11")
		}},
		{name: "no other route", arrival: msgs.Arrival{MaxAttempts: 2}, beforeDecline: func(w *chainHarness, _ msgs.Open) {
			w.unlist("e01", "e10", "e11")
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			opts := []Option{WithStallCheck()}
			if tc.budget != nil {
				opts = append(opts, WithBudget(tc.budget))
			}
			w := newChainHarness(t, 2, opts...)
			tc.arrival.ID = 1
			first := w.startStream(tc.arrival)
			w.reportStall(first)
			assert.Equal(t, len(w.out.Opens), 1)
			second := w.out.Opens[0]
			if tc.beforeDecline != nil {
				tc.beforeDecline(w, first)
			}
			server := string(second.Route.Hops[0].Server)
			w.endStream(second, verdt.New(verdt.NotRun, verdt.Overloaded, "declined", verdt.Server(server)), true)
			for range 240 {
				assert.Equal(t, len(w.out.Finishes), 0, "cut: %v", w.out.Finishes)
				w.now = w.now.Add(25 * time.Millisecond)
				w.tick()
			}
		})
	}
}

// TestSilentUnlistedFirstServerIsAnAttempt guards against requests that run at more servers than allowed: a
// first engine that left the list and is silent for a moment may still run the request. Only after
// silentServerTimeout another one may.
func TestSilentUnlistedFirstServerIsAnAttempt(t *testing.T) {
	w := newChainHarness(t, 2, WithStallCheck())
	o := w.startStream(msgs.Arrival{ID: 1, MaxAttempts: 1})
	silentSince := w.now
	w.unlist(o.Route.Hops[0].Server)
	var movedAfter time.Duration
	for range 120 {
		for _, ask := range w.out.Asks {
			w.in.Diagnoses = append(w.in.Diagnoses, msgs.Diagnosis{Server: ask.Server, AskedAt: ask.At, Unresponsive: true})
		}
		w.now = w.now.Add(25 * time.Millisecond)
		w.tick()
		if len(w.out.Opens) > 0 && movedAfter == 0 {
			movedAfter = w.now.Sub(silentSince)
		}
	}
	assert.Assert(t, movedAfter >= silentServerTimeout, "moved after %s", movedAfter)
}

// TestSwitchDrawsOnRetryBudget guards against moves of stalled streams that exceed the retry budget.
func TestSwitchDrawsOnRetryBudget(t *testing.T) {
	const burstOfEight = 8
	// Eight daemons are assumed, so that this one has room for one retry.
	w := newChainHarness(t, 1, WithStallCheck(), WithBudget(retry.New(0, burstOfEight, 10*time.Second)))
	w.core.budget.SetDaemons(w.now, burstOfEight)
	opens := []msgs.Open{w.submit(msgs.Arrival{ID: 1}), w.submit(msgs.Arrival{ID: 2})}
	w.addPair()
	w.deliverTokens(0, opens)
	w.tick()
	w.reportStall(opens[0])
	moved := len(w.out.Opens)
	for range 20 {
		w.now = w.now.Add(25 * time.Millisecond)
		w.tick()
		moved += len(w.out.Opens)
	}
	assert.Equal(t, moved, 1)
}

// TestSwitchedFirstServerIsAnAttempt guards against requests that run at more servers than allowed because
// the first server of a stalled stream is forgotten.
func TestSwitchedFirstServerIsAnAttempt(t *testing.T) {
	w := newChainHarness(t, 3, WithStallCheck())
	first := w.startStream(msgs.Arrival{ID: 1, MaxAttempts: 2})
	ask := w.awaitAsk()
	w.in.Diagnoses = append(w.in.Diagnoses, msgs.Diagnosis{Server: ask.Server, AskedAt: ask.At, Unresponsive: true})
	w.tick()
	assert.Equal(t, len(w.out.Opens), 1)
	second := w.out.Opens[0]
	w.endStream(second, resetError(second.Route.Hops[1].Server), false)
	heads := []model.ServerID{first.Route.Hops[0].Server, second.Route.Hops[0].Server}
	assert.Equal(t, len(w.out.Opens), 1)
	assert.Assert(t, slices.Contains(heads, w.out.Opens[0].Route.Hops[0].Server), "%v, then %v", heads, w.out.Opens[0].Route)
}

// TestLastStreamsLeaveReplacingEngine guards against an engine that cannot take over missing layers for as long as
// one stream on it lasts. Its last streams are moved; while it has many, or without another route, they stay.
func TestLastStreamsLeaveReplacingEngine(t *testing.T) {
	type scenario struct {
		name   string
		pairs  int
		others int
		moved  int
	}
	for _, tc := range []scenario{
		{"last streams", 2, maxMovedStreams - 1, 1},
		{"many streams of other daemons", 2, maxMovedStreams, 0},
		{"no other route", 1, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newChainHarness(t, tc.pairs)
			o := w.startStream(msgs.Arrival{ID: 1})
			replacing := o.Route.Hops[1].Server
			w.in.OthersUntil = w.now.Add(time.Second)
			w.in.Others = board.View{ReplacingLayers: []model.ServerID{replacing}, Loads: []board.Load{{Server: replacing, Streams: tc.others}}}
			w.tick()
			assert.Equal(t, len(w.out.Cancels), tc.moved)
			assert.Equal(t, len(w.out.Opens), tc.moved)
			if tc.moved > 0 {
				assert.Assert(t, !w.out.Opens[0].Route.Uses(replacing))
				return
			}
			w.now = w.now.Add(2 * layerChangeHold)
			w.addPair()
			assert.Equal(t, len(w.out.Cancels), 0, "moved although the engine no longer waits")
		})
	}
}
