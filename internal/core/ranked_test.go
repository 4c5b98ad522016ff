package core

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/core/board"
	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/ranks"
	"bulrushpond.example/bulrushpond/internal/core/retry"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// withRanks gives the requests to the model different ranks.
func (w *chainHarness) withRanks(numbers ...int) *chainHarness {
	root := setts.Defaults()
	root.Models["m"] = 2
	root.FirstToken = 500 * time.Millisecond
	w.in.Settings = setts.EffectiveSettingsOf(2, root, nil)
	w.in.Settings.Ranks = map[string][]int{"m": numbers}
	w.tick()
	return w
}

// TestOneRankDecidesAsNone answers a load in which all requests have the same rank: routes, order and refusals are the same as
// without ranks. Where the routing names one priority only, the whole outbox is.
func TestOneRankDecidesAsNone(t *testing.T) {
	type scenario struct {
		name   string
		ranks  []int
		except []string
	}
	for _, tc := range []scenario{
		{"one priority in the routing", ranks.Of(&setts.Routing{Routes: []setts.RouteRule{{Priority: 2, Shares: []setts.ServiceShare{{Service: "m", Weight: 1}}}}})["m"], nil},
		{"requests of one of two ranks", []int{0, 2}, []string{"Priority", "RetryAt"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			without, with := newChainHarness(t, 3, WithBudget(retry.New(5, 0.1, time.Second))), newChainHarness(t, 3, WithBudget(retry.New(5, 0.1, time.Second)))
			without.in.Settings = nil
			with.withRanks(tc.ranks...)
			rng := rand.New(rand.NewPCG(1, 2))
			open := map[model.RequestID]msgs.Open{}
			id, refused := model.RequestID(0), 0
			for range 1500 {
				var in msgs.Inbox
				for range rng.IntN(3) {
					id++
					in.Arrivals = append(in.Arrivals, msgs.Arrival{
						ID: id, Team: model.Team(fmt.Sprintf("/t%d", rng.IntN(3))), Model: "m", Rank: 2, PromptTokens: rng.IntN(500),
						Deadline: with.now.Add(5 * time.Second), FirstTokenDeadline: with.now.Add(300 * time.Millisecond), MaxAttempts: 2,
					})
				}
				for request := range id {
					o, running := open[request+1]
					if !running || rng.IntN(40) > 0 {
						continue
					}
					delete(open, o.Request)
					if rng.IntN(4) == 0 {
						in.Ends = append(in.Ends, msgs.StreamEnd{Request: o.Request, Epoch: o.Epoch, Failure: resetError(o.Route.Hops[1].Server)})
					} else {
						in.Tokens = append(in.Tokens, model.Token{Request: o.Request, Epoch: o.Epoch, Position: o.From, End: true})
					}
				}
				for _, w := range []*chainHarness{without, with} {
					w.now = w.now.Add(20 * time.Millisecond)
					w.in = in
					w.tick()
				}
				for _, o := range with.out.Opens {
					open[o.Request] = o
				}
				for _, f := range with.out.Finishes {
					if delete(open, f.Request); f.Failure != nil && f.Failure.Reason == verdt.Overloaded {
						refused++
					}
				}
				assert.DeepEqual(t, without.out.Opens, with.out.Opens, cmpopts.EquateEmpty(), cmpopts.IgnoreFields(msgs.Open{}, ifAny(tc.except, "Priority")...))
				assert.DeepEqual(t, without.out.Finishes, with.out.Finishes, cmpopts.EquateEmpty(), cmpopts.IgnoreFields(verdt.Error{}, ifAny(tc.except, "RetryAt")...))
				assert.DeepEqual(t, without.out.Cancels, with.out.Cancels, cmpopts.EquateEmpty())
				assert.DeepEqual(t, without.out.Notices, with.out.Notices, cmpopts.EquateEmpty())
				assert.Equal(t, without.out.Wake, with.out.Wake)
			}
			assert.Assert(t, refused > 50, "%d refused", refused)
		})
	}
}

// ifAny returns a name if it is in a list.
func ifAny(names []string, name string) []string {
	for _, n := range names {
		if n == name {
			return []string{name}
		}
	}
	return nil
}

// TestEnginesGetTheRank: engines get a request's rank as its priority where requests have ranks, and the team's policy elsewhere.
func TestEnginesGetTheRank(t *testing.T) {
	assert.Equal(t, newChainHarness(t, 1).submit(msgs.Arrival{ID: 1, Rank: 2}).Priority, 0)
	assert.Equal(t, newChainHarness(t, 1).withRanks(0, 2).submit(msgs.Arrival{ID: 1, Rank: 2}).Priority, 2)
}

// TestInterruptedStreamsByRank answers the loss of all engines with streams of two ranks: the streams that have begun get new
// routes first, then the more important ones, then those whose callers have waited longest. Without ranks, they get them
// in the order in which the requests came.
func TestInterruptedStreamsByRank(t *testing.T) {
	type scenario struct {
		name  string
		ranks []int
		want  []model.RequestID
	}
	for _, tc := range []scenario{
		{"without ranks", nil, []model.RequestID{1, 2, 3, 4}},
		{"with ranks", []int{0, 1}, []model.RequestID{4, 3, 1, 2}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newChainHarness(t, 1)
			if tc.ranks != nil {
				w.withRanks(tc.ranks...)
			}
			opens := map[model.RequestID]msgs.Open{}
			for id := range model.RequestID(4) {
				rank := 0
				if id == 0 {
					rank = 1
				}
				opens[id+1] = w.submit(msgs.Arrival{ID: id + 1, Rank: rank})
			}
			// Request 4 got its last token before requests 1 and 3 did, and request 2 got none.
			for _, id := range []model.RequestID{4, 1, 3} {
				w.now = w.now.Add(10 * time.Millisecond)
				w.in.Tokens = append(w.in.Tokens, model.Token{Request: id, Epoch: 1})
				w.tick()
			}
			for id := range model.RequestID(4) {
				o := opens[id+1]
				w.in.Ends = append(w.in.Ends, msgs.StreamEnd{Request: o.Request, Epoch: o.Epoch, Failure: resetError(o.Route.Hops[0].Server)})
			}
			w.tick()
			assert.Equal(t, len(w.out.Opens), 0)
			w.now = w.now.Add(100 * time.Millisecond)
			w.addPair()
			var got []model.RequestID
			for _, o := range w.out.Opens {
				got = append(got, o.Request)
			}
			assert.DeepEqual(t, got, tc.want)
		})
	}
}

// TestStalledStreamsByRank answers many streams that an engine stalls, of which only a few searches are made at a time: the
// most important ones are searched first, and the others' turn comes.
func TestStalledStreamsByRank(t *testing.T) {
	w := newChainHarness(t, 2).withRanks(0, 2)
	search := func(id model.RequestID, rank int, tryAt time.Time) time.Time {
		r := w.core.requests.Get(id)
		r.Rank, r.TryAt, r.Next = rank, tryAt, 1
		return w.core.searchAt(r)
	}
	w.submit(msgs.Arrival{ID: 1})
	assert.Assert(t, search(1, 0, w.now).Before(search(1, 2, w.now)))
	assert.Assert(t, search(1, 2, w.now).Before(search(1, 0, w.now.Add(3*dispatchRetryInterval))))
}

// TestImportantComeBackFirstAfterOutage answers an outage that lasts too long for requests of all ranks: the most important ones
// are told the first times after its end.
func TestImportantComeBackFirstAfterOutage(t *testing.T) {
	w := newChainHarness(t, 1).withRanks(0, 1)
	w.unlist("e00")
	w.in.Others.Outages = []board.Outage{{Service: "m", Left: 5 * time.Second}}
	w.in.OthersUntil = w.now.Add(board.StatusTTL)
	for id := range model.RequestID(40) {
		w.in.Arrivals = append(w.in.Arrivals, msgs.Arrival{ID: id + 1, Rank: int(id) % 2, Model: "m", Deadline: w.now.Add(20 * time.Second)})
	}
	w.tick()
	assert.Equal(t, len(w.out.Finishes), 40)
	var lastImportant, firstOther time.Time
	for _, f := range w.out.Finishes {
		at := f.Failure.RetryAt
		assert.Assert(t, !at.Before(w.now.Add(5*time.Second)))
		if important := f.Request%2 == 1; important && at.After(lastImportant) {
			lastImportant = at
		} else if !important && (firstOther.IsZero() || at.Before(firstOther)) {
			firstOther = at
		}
	}
	assert.Assert(t, !firstOther.Before(lastImportant), "others come back at %s, the important until %s", firstOther.Sub(w.now), lastImportant.Sub(w.now))
}

// TestMovesLeaveRoomToTheMostImportant answers an engine that waits for its last streams before it replaces its layers, while more
// important requests lack room: the streams stay, since the room that they would take is needed. Without a shortage,
// or if the stream is one of the most important itself, they move.
func TestMovesLeaveRoomToTheMostImportant(t *testing.T) {
	type scenario struct {
		name       string
		rank       int
		short      bool
		wantsMoved bool
	}
	for _, tc := range []scenario{
		{"a shortage of more important ones", 1, true, false},
		{"no shortage", 1, false, true},
		{"one of the most important", 0, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newChainHarness(t, 2).withRanks(0, 1)
			o := w.submit(msgs.Arrival{ID: 1, Rank: tc.rank})
			w.in.Tokens = append(w.in.Tokens, model.Token{Request: 1, Epoch: 1})
			w.tick()
			first := o.Route.Hops[0].Server
			for _, m := range w.list {
				if !o.Route.Uses(model.ServerID(m.ID)) {
					w.in.Others.Loads = append(w.in.Others.Loads, board.Load{Server: model.ServerID(m.ID), Streams: 3})
				}
			}
			w.in.Others.ReplacingLayers, w.in.OthersUntil = []model.ServerID{first}, w.now.Add(board.StatusTTL)
			if tc.short {
				w.in.Others.Ranks = []ranks.ServiceLoads{{Service: "m", Loads: []ranks.Load{{Rank: 0, Waiting: 2, Started: 4}}}}
			}
			w.tick()
			assert.Equal(t, len(w.out.Opens) == 1, tc.wantsMoved, "%+v", w.out.Opens)
		})
	}
}

// TestHungStreamHoldsNobodyBack answers an engine that takes a stream of the most important rank and never sends a token, while the
// other engines have room: two seconds after the token was due, less important requests are refused no more.
func TestHungStreamHoldsNobodyBack(t *testing.T) {
	w := newChainHarness(t, 2).withRanks(0, 1)
	due := w.now.Add(100 * time.Millisecond)
	w.submit(msgs.Arrival{ID: 1, FirstTokenDeadline: due})
	refused, lastRefused, id := 0, due, model.RequestID(1)
	for w.now.Before(due.Add(6 * time.Second)) {
		w.now = w.now.Add(10 * time.Millisecond)
		id++
		w.in.Arrivals = append(w.in.Arrivals, msgs.Arrival{ID: id, Rank: 1, Model: "m", Deadline: w.now.Add(20 * time.Second), FirstTokenDeadline: w.now.Add(500 * time.Millisecond)})
		w.core.DaemonStatus(w.now)
		w.tick()
		for _, f := range w.out.Finishes {
			if f.Failure != nil {
				refused, lastRefused = refused+1, w.now
			}
		}
		for _, o := range w.out.Opens {
			w.in.Tokens = append(w.in.Tokens, model.Token{Request: o.Request, Epoch: o.Epoch}, model.Token{Request: o.Request, Epoch: o.Epoch, Position: 1, End: true})
		}
	}
	assert.Assert(t, refused > 0)
	assert.Assert(t, lastRefused.Sub(due) <= 2*time.Second, "%d refused, the last one after %s", refused, lastRefused.Sub(due))
}
