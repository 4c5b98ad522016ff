package core

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/core/board"
	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/route"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

var ranksAll = flag.Bool("ranks.all", false, "run the tests of ranks over fleets with all seeds")

const (
	rankStep     = 20 * time.Millisecond
	rankExchange = 250 * time.Millisecond
	// rankService is the mean time of a stream on an engine.
	rankService = time.Second
	rankTarget  = 500 * time.Millisecond
	// rankPatience is how long callers wait for a first event.
	rankPatience = 2 * time.Second
	rankEngines  = 10
	rankSlots    = 30
)

// rankEngine serves up to rankSlots streams; half as many wait, the most urgent first, and others are declined.
type rankEngine struct {
	running, waiting []*rankStream
	dead             bool
	// idle is for how long the engine has had room while requests waited.
	idle time.Duration
}

// rankStream is one stream on an engine.
type rankStream struct {
	daemon, priority int
	open             msgs.Open
	arrived, until   time.Time
}

// rankCount counts the requests of one rank.
type rankCount struct{ offered, served, onTime, refused int }

func (c rankCount) servedShare() float64 { return float64(c.served) / float64(max(1, c.offered)) }
func (c rankCount) onTimeShare() float64 { return float64(c.onTime) / float64(max(1, c.served)) }

// rankFleet is a number of daemons that share engines, each with its requests in flight.
type rankFleet struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Time
	daemons  []*Core
	inboxes  []msgs.Inbox
	requests []map[model.RequestID]msgs.Arrival
	views    [][]rankNews
	board    *board.State
	newsAge  time.Duration
	hubDead  bool
	engines  []*rankEngine
	// counts holds the requests that arrived since countFrom.
	counts    map[int]*rankCount
	countFrom model.RequestID
	lastID    model.RequestID
	// begun holds the requests whose callers got a token.
	begun map[model.RequestID]bool
	// longestIdle is the longest time for which an engine had room while requests waited.
	longestIdle time.Duration
}

// rankNews is a view on its way to a daemon.
type rankNews struct {
	at   time.Time
	view board.View
}

func newRankFleet(t *testing.T, daemons int, newsAge time.Duration, seed uint64) *rankFleet {
	f := &rankFleet{
		t: t, rng: rand.New(rand.NewPCG(seed, uint64(daemons))), now: time.Unix(1_000_000, 0), board: board.New(), newsAge: newsAge,
		inboxes: make([]msgs.Inbox, daemons), views: make([][]rankNews, daemons), counts: map[int]*rankCount{},
		begun: map[model.RequestID]bool{},
	}
	for range rankEngines {
		f.engines = append(f.engines, &rankEngine{})
	}
	for rank := range 3 {
		f.counts[rank] = &rankCount{}
	}
	root := setts.Defaults()
	root.Models["m"] = 1
	settings := setts.EffectiveSettingsOf(1, root, nil)
	settings.Ranks = map[string][]int{"m": {0, 1, 2}}
	for i := range daemons {
		f.daemons = append(f.daemons, New(WithPicker(route.NewChains("a", uint64(i))), WithSeed(uint64(i))))
		f.requests = append(f.requests, map[model.RequestID]msgs.Arrival{})
		in := &f.inboxes[i]
		in.Settings, in.Daemons, in.List = settings, daemons, f.list()
		for e := range rankEngines {
			id := fmt.Sprintf("e%d", e)
			in.Reports = append(in.Reports, model.Report{Server: model.ServerID(id), Model: "m", Span: model.Span{To: 1}, Slots: rankSlots, TokensPerSecond: 1, StepTime: time.Millisecond, ReportedAt: f.now})
		}
	}
	return f
}

// list returns the engines that live.
func (f *rankFleet) list() []model.Member {
	var list []model.Member
	for e, engine := range f.engines {
		if id := fmt.Sprintf("e%d", e); !engine.dead {
			list = append(list, model.Member{ID: id, Address: id + ":1", Zone: "a", Role: model.Engine})
		}
	}
	return list
}

// run lets time pass with requests of each rank at a rate a second, in random order at random daemons.
func (f *rankFleet) run(d time.Duration, rates ...float64) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(rankStep) {
		for rank, rate := range rates {
			expected := rate * rankStep.Seconds()
			for ; f.rng.Float64() < expected; expected-- {
				f.arrive(rank)
			}
		}
		f.exchange()
		for _, i := range f.rng.Perm(len(f.daemons)) {
			f.tick(i)
		}
		f.serve()
	}
}

func (f *rankFleet) arrive(rank int) {
	f.lastID++
	i := f.rng.IntN(len(f.daemons))
	a := msgs.Arrival{
		ID: f.lastID, Team: "/t", Model: "m", Rank: rank, Deadline: f.now.Add(20 * time.Second), FirstTokenDeadline: f.now.Add(rankTarget),
	}
	f.count(a).offered++
	f.requests[i][a.ID] = a
	f.inboxes[i].Arrivals = append(f.inboxes[i].Arrivals, a)
}

// exchange reports the daemons' loads to the board and delivers the sums.
func (f *rankFleet) exchange() {
	for i, c := range f.daemons {
		step, steps := int(f.now.UnixNano()/int64(rankStep)), int(rankExchange/rankStep)
		if id := model.DaemonID(strconv.Itoa(i)); !f.hubDead && (step+i)%steps == 0 {
			f.board.Put(f.now, id, c.DaemonStatus(f.now))
			f.views[i] = append(f.views[i], rankNews{at: f.now.Add(f.newsAge), view: f.board.Others(f.now, id)})
		}
		for len(f.views[i]) > 0 && !f.views[i][0].at.After(f.now) {
			f.inboxes[i].Others, f.inboxes[i].OthersUntil = f.views[i][0].view, f.now.Add(board.StatusTTL)
			f.views[i] = f.views[i][1:]
		}
	}
}

func (f *rankFleet) tick(i int) {
	var out msgs.Outbox
	f.daemons[i].Tick(f.now, &f.inboxes[i], &out)
	f.inboxes[i].Reset()
	for _, o := range out.Opens {
		e := f.engines[f.engineOf(o)]
		switch {
		case e.dead:
			f.end(i, o, verdt.MayHaveRun, verdt.StageFailed)
		case len(e.running)+len(e.waiting) >= rankSlots+rankSlots/2:
			f.end(i, o, verdt.NotRun, verdt.Overloaded)
		default:
			e.waiting = append(e.waiting, &rankStream{daemon: i, priority: o.Priority, open: o, arrived: f.now})
		}
	}
	for _, finish := range out.Finishes {
		count := f.count(f.requests[i][finish.Request])
		delete(f.requests[i], finish.Request)
		if finish.Failure == nil {
			count.served++
		} else if finish.Failure.Reason == verdt.Overloaded {
			count.refused++
		}
	}
}

// count returns where a request is counted.
func (f *rankFleet) count(a msgs.Arrival) *rankCount {
	if a.ID <= f.countFrom {
		return &rankCount{}
	}
	return f.counts[a.Rank]
}

// startCounting leaves the requests that came before out of the counts.
func (f *rankFleet) startCounting() {
	f.countFrom = f.lastID
	for rank := range f.counts {
		f.counts[rank] = &rankCount{}
	}
}

func (f *rankFleet) engineOf(o msgs.Open) int {
	var n int
	_, err := fmt.Sscanf(string(o.Route.Hops[0].Server), "e%d", &n)
	assert.NilError(f.t, err)
	return n
}

func (f *rankFleet) end(i int, o msgs.Open, v verdt.Verdict, reason verdt.Reason) {
	failure := verdt.New(v, reason, "declined", verdt.Server(string(o.Route.Hops[0].Server)))
	f.inboxes[i].Ends = append(f.inboxes[i].Ends, msgs.StreamEnd{Request: o.Request, Epoch: o.Epoch, Failure: failure, Declined: v == verdt.NotRun})
}

// serve lets the engines begin and end streams, and callers leave that wait for too long.
func (f *rankFleet) serve() {
	waiting := 0
	for _, c := range f.daemons {
		waiting += c.admit.Waiting
	}
	for _, e := range f.engines {
		if e.dead {
			continue
		}
		e.running = slices.DeleteFunc(e.running, func(s *rankStream) bool {
			if f.now.Before(s.until) {
				return false
			}
			f.token(s, model.Token{Position: s.open.From + 1, End: true})
			return true
		})
		e.waiting = slices.DeleteFunc(e.waiting, func(s *rankStream) bool {
			a, known := f.requests[s.daemon][s.open.Request]
			since := a.FirstTokenDeadline.Add(-rankTarget)
			if s.open.From > 0 {
				since = s.arrived
			}
			if known && f.now.Sub(since) < rankPatience {
				return false
			}
			f.inboxes[s.daemon].CallerGone = append(f.inboxes[s.daemon].CallerGone, s.open.Request)
			return true
		})
		slices.SortStableFunc(e.waiting, func(a, b *rankStream) int { return cmp.Compare(a.priority, b.priority) })
		for len(e.waiting) > 0 && len(e.running) < rankSlots {
			s := e.waiting[0]
			e.waiting, e.running = e.waiting[1:], append(e.running, s)
			s.until = f.now.Add(time.Duration((0.5 + f.rng.Float64()) * float64(rankService)))
			f.token(s, model.Token{Position: s.open.From})
			if a, begun := f.requests[s.daemon][s.open.Request], f.begun[s.open.Request]; !begun && !f.now.After(a.FirstTokenDeadline) {
				f.count(a).onTime++
			}
			f.begun[s.open.Request] = true
		}
		if e.idle += rankStep; len(e.running) == rankSlots || waiting == 0 {
			e.idle = 0
		}
		f.longestIdle = max(f.longestIdle, e.idle)
	}
}

func (f *rankFleet) token(s *rankStream, tok model.Token) {
	tok.Request, tok.Epoch = s.open.Request, s.open.Epoch
	f.inboxes[s.daemon].Tokens = append(f.inboxes[s.daemon].Tokens, tok)
}

// kill ends engines with all their streams.
func (f *rankFleet) kill(engines int) {
	for _, e := range f.engines[:engines] {
		for _, s := range append(e.running, e.waiting...) {
			f.end(s.daemon, s.open, verdt.MayHaveRun, verdt.StageFailed)
		}
		*e = rankEngine{dead: true}
	}
}

// unlistDead takes the engines that ended from the membership list.
func (f *rankFleet) unlistDead() {
	for i := range f.inboxes {
		f.inboxes[i].List = f.list()
	}
}

// check compares the counts with what callers need: a more important rank is served less often than a less important one by at
// most 5 in 100, its share on time is smaller by at most 15 in 100, no rank falls under a quarter of the service rate of
// all, and no engine has room for two seconds while requests wait.
func (f *rankFleet) check() {
	var all rankCount
	for rank := range 3 {
		c := *f.counts[rank]
		f.t.Logf("rank %d: offered %d, served %.3f, on time %.3f of these, refused %d", rank, c.offered, c.servedShare(), c.onTimeShare(), c.refused)
		all.offered, all.served = all.offered+c.offered, all.served+c.served
	}
	f.t.Logf("served %.3f of all, longest idle %s", all.servedShare(), f.longestIdle)
	for high := range 3 {
		h := f.counts[high]
		for low := high + 1; low < 3; low++ {
			l := f.counts[low]
			assert.Check(f.t, h.servedShare() >= l.servedShare()-0.05, "rank %d is served %.3f, rank %d %.3f", high, h.servedShare(), low, l.servedShare())
			assert.Check(f.t, h.onTimeShare() >= l.onTimeShare()-0.15, "rank %d is on time %.3f, rank %d %.3f", high, h.onTimeShare(), low, l.onTimeShare())
		}
		assert.Check(f.t, h.servedShare() >= 0.25*all.servedShare(), "rank %d is served %.3f of %.3f", high, h.servedShare(), all.servedShare())
	}
	assert.Check(f.t, f.longestIdle < 2*time.Second, "an engine had room for %s while requests waited", f.longestIdle)
}

// TestRoomGoesToTheMostImportant answers a load of three ranks of which the engines can serve the most important
// one and the others' floors. Two seconds after it began, the most important rank gets the room that it
// needs, up to 5 in 100.
func TestRoomGoesToTheMostImportant(t *testing.T) { testSteadyShortage(t, 250*time.Millisecond) }

// TestRoomGoesToTheMostImportantOnOldNews is the same with news of 1.5 seconds' age.
func TestRoomGoesToTheMostImportantOnOldNews(t *testing.T) {
	testSteadyShortage(t, 1500*time.Millisecond)
}

func testSteadyShortage(t *testing.T, newsAge time.Duration) {
	forRankFleets(t, func(t *testing.T, daemons int, seed uint64) {
		f := newRankFleet(t, daemons, newsAge, seed)
		f.run(2*time.Second, 240, 120, 180)
		f.startCounting()
		f.run(5*time.Second, 240, 120, 180)
		f.run(3 * time.Second)
		f.check()
		assert.Check(t, f.counts[0].servedShare() >= 0.95, "the most important rank is served %.3f", f.counts[0].servedShare())
	})
}

// forRankFleets runs a test for fleets of all sizes, with one seed or with several.
func forRankFleets(t *testing.T, test func(t *testing.T, daemons int, seed uint64)) {
	seeds := uint64(1)
	if *ranksAll {
		seeds = 3
	}
	for _, daemons := range []int{7, 72, 390} {
		for seed := range seeds {
			t.Run(fmt.Sprintf("daemons=%d/seed=%d", daemons, seed), func(t *testing.T) { test(t, daemons, seed) })
		}
	}
}

// TestRanksThroughBurstAndLoss answers a burst of the least important rank that fills the engines just before the most
// important one comes; then three engines of ten fail.
func TestRanksThroughBurstAndLoss(t *testing.T) { testBurstAndLoss(t, 250*time.Millisecond, false) }

// TestRanksThroughBurstAndLossWithoutHub is the same while the hub is dead from the burst on.
func TestRanksThroughBurstAndLossWithoutHub(t *testing.T) {
	testBurstAndLoss(t, 250*time.Millisecond, true)
}

// TestRanksInMixedFleet is a steady shortage while every other daemon is of an earlier build, which knows no ranks.
func TestRanksInMixedFleet(t *testing.T) {
	forRankFleets(t, func(t *testing.T, daemons int, seed uint64) {
		f := newRankFleet(t, daemons, 250*time.Millisecond, seed)
		for i := 0; i < daemons; i += 2 {
			earlier := *f.inboxes[i].Settings
			earlier.Ranks = nil
			f.inboxes[i].Settings = &earlier
		}
		f.run(2*time.Second, 240, 120, 180)
		f.startCounting()
		f.run(5*time.Second, 240, 120, 180)
		f.run(3 * time.Second)
		f.check()
	})
}

// TestRanksThroughBurstAndLossOnOldNews is the same with news of 1.5 seconds' age.
func TestRanksThroughBurstAndLossOnOldNews(t *testing.T) {
	testBurstAndLoss(t, 1500*time.Millisecond, false)
}

func testBurstAndLoss(t *testing.T, newsAge time.Duration, hubDies bool) {
	forRankFleets(t, func(t *testing.T, daemons int, seed uint64) {
		f := newRankFleet(t, daemons, newsAge, seed)
		f.run(2*time.Second, 60, 40, 60)
		f.run(time.Second, 60, 40, 500)
		f.hubDead = hubDies
		f.startCounting()
		f.run(3*time.Second, 180, 80, 120)
		f.kill(3)
		f.run(time.Second, 180, 80, 120)
		f.unlistDead()
		f.run(2*time.Second, 180, 80, 120)
		f.run(3 * time.Second)
		f.check()
	})
}
