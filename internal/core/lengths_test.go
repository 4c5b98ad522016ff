package core

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/core/board"
	"bulrushpond.example/bulrushpond/internal/core/length"
	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/route"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// sizedRequest is a request in progress at a cacheEngine. Lengths are in tokens.
type sizedRequest struct {
	msgs.Arrival
	epoch           model.Epoch
	answer, written int
	begun           bool
}

// size returns the number of cache tokens that the request takes at its end.
func (r *sizedRequest) size() int { return r.PromptTokens + r.answer }

// cacheEngine is an engine that holds all layers of a model and as many requests as its cache has room for.
type cacheEngine struct {
	id                             model.ServerID
	running                        []*sizedRequest
	declines, preemptions, samples int
	// use is the sum of the samples of the share of the cache that is in use.
	use float64
}

const (
	engineCacheTokens = 50_000
	tokensPerEvent    = 5
	eventInterval     = 50 * time.Millisecond
	usualAnswer       = 200
)

func (e *cacheEngine) held() int {
	held := 0
	for _, r := range e.running {
		held += r.PromptTokens + r.written
	}
	return held
}

func exactHint(_ *rand.Rand, tokens int) int { return tokens }

// cacheDaemon is one of the daemons that use the same engines.
type cacheDaemon struct {
	core *Core
	in   msgs.Inbox
	out  msgs.Outbox
}

// cacheFleet is a number of daemons with engines whose caches bind. The daemons hear of each other's load every
// exchangeInterval.
type cacheFleet struct {
	daemons  []*cacheDaemon
	board    *board.State
	now      time.Time
	engines  map[model.ServerID]*cacheEngine
	requests map[model.RequestID]*sizedRequest
	// served holds the sizes of the requests that began, offered those of all.
	served, offered []int
	rng             *rand.Rand
}

const exchangeInterval = 250 * time.Millisecond

func newCacheFleet(daemons, engines int) *cacheFleet {
	f := &cacheFleet{
		board: board.New(), now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(1, 2)),
		engines: map[model.ServerID]*cacheEngine{}, requests: map[model.RequestID]*sizedRequest{},
	}
	root := setts.Defaults()
	root.Models["m"] = 1
	for i := range daemons {
		d := &cacheDaemon{core: New(WithPicker(route.NewChains("a", uint64(i))))}
		d.in.Settings, d.in.Daemons = setts.EffectiveSettingsOf(1, root, nil), daemons
		f.daemons = append(f.daemons, d)
	}
	for i := range engines {
		id := model.ServerID(fmt.Sprintf("e%d", i))
		f.engines[id] = &cacheEngine{id: id}
		for _, d := range f.daemons {
			d.in.List = append(d.in.List, model.Member{ID: string(id), Address: string(id) + ":1", Zone: "a", Role: model.Engine, Span: model.Span{From: 0, To: 1}})
			d.in.Reports = append(d.in.Reports, model.Report{
				Server: id, Model: "m", Span: model.Span{From: 0, To: 1}, Slots: 192, TokensPerSecond: 1, CacheTokens: engineCacheTokens,
				StepTime: 8 * time.Millisecond, SequenceTime: 40 * time.Microsecond, AnswerTokens: usualAnswer, TokensPerEvent: tokensPerEvent, ReportedAt: f.now,
			})
		}
	}
	return f
}

// daemonOf returns the daemon that a request came to.
func (f *cacheFleet) daemonOf(r *sizedRequest) *cacheDaemon {
	return f.daemons[int(r.ID)%len(f.daemons)]
}

// tick runs a tick of each daemon, begins the streams that it opens, and lets the engines write.
func (f *cacheFleet) tick() {
	for i, d := range f.daemons {
		if f.now.UnixNano()/int64(eventInterval)%int64(exchangeInterval/eventInterval) == int64(i)%int64(exchangeInterval/eventInterval) {
			id := model.DaemonID(strconv.Itoa(i))
			f.board.Put(f.now, id, d.core.DaemonStatus(f.now))
			d.in.Others, d.in.OthersUntil = f.board.Others(f.now, id), f.now.Add(board.StatusTTL)
		}
		d.core.Tick(f.now, &d.in, &d.out)
		d.in.Reset()
		for _, o := range d.out.Opens {
			f.open(d, o)
		}
	}
	f.now = f.now.Add(eventInterval)
	for _, id := range f.daemons[0].core.ServerIDs() {
		f.write(f.engines[id])
	}
}

// open begins a stream at its engine, or declines it.
func (f *cacheFleet) open(d *cacheDaemon, o msgs.Open) {
	e, r := f.engines[o.Route.Hops[0].Server], f.requests[o.Request]
	if r.epoch = o.Epoch; e.held()+r.PromptTokens+r.written > engineCacheTokens {
		e.declines++
		d.in.Ends = append(d.in.Ends, msgs.StreamEnd{Request: o.Request, Epoch: o.Epoch, Declined: true, Failure: verdt.New(verdt.NotRun, verdt.Overloaded, "full", verdt.Server(string(e.id)))})
		return
	}
	e.running = append(e.running, r)
	if !r.begun {
		f.served = append(f.served, r.size())
	}
	r.begun = true
}

// write lets each request of an engine write an event. If the cache overflows, the newest one is preempted.
func (f *cacheFleet) write(e *cacheEngine) {
	e.running = slices.DeleteFunc(e.running, func(r *sizedRequest) bool {
		end := r.written >= r.answer
		in := &f.daemonOf(r).in
		in.Tokens = append(in.Tokens, model.Token{Request: r.ID, Epoch: r.epoch, Position: r.written / tokensPerEvent, End: end})
		r.written += tokensPerEvent
		return end
	})
	for e.held() > engineCacheTokens {
		last := e.running[len(e.running)-1]
		e.preemptions++
		e.running = e.running[:len(e.running)-1]
		in := &f.daemonOf(last).in
		in.Ends = append(in.Ends, msgs.StreamEnd{Request: last.ID, Epoch: last.epoch, Failure: verdt.New(verdt.MayHaveRun, verdt.StageFailed, "preempted")})
	}
	e.use += float64(e.held()) / engineCacheTokens
	e.samples++
}

// offer submits new requests, at random with a mean number.
func (f *cacheFleet) offer(mean float64, hint func(*rand.Rand, int) int) {
	for f.rng.Float64() < mean/(1+mean) {
		f.submit(hint)
	}
}

func (f *cacheFleet) submit(hint func(*rand.Rand, int) int) {
	answer := min(700, max(1, int(150*math.Exp(0.76*f.rng.NormFloat64()))))
	answer = (answer + tokensPerEvent - 1) / tokensPerEvent * tokensPerEvent
	r := &sizedRequest{answer: answer, Arrival: msgs.Arrival{
		ID: model.RequestID(len(f.offered) + 1), Model: "m", Route: "r", Deadline: f.now.Add(20 * time.Second), FirstTokenDeadline: f.now.Add(500 * time.Millisecond),
		PromptTokens: min(2280, 40+int(760*f.rng.ExpFloat64())), MaxTokens: 700, LengthHint: hint(f.rng, answer),
	}}
	f.requests[r.ID] = r
	f.offered = append(f.offered, r.size())
	in := &f.daemonOf(r).in
	in.Arrivals = append(in.Arrivals, r.Arrival)
}

// reset forgets what was measured.
func (f *cacheFleet) reset() {
	f.served, f.offered = nil, make([]int, len(f.offered))
	for _, e := range f.engines {
		e.declines, e.preemptions, e.samples, e.use = 0, 0, 0, 0
	}
}

// servedShare returns the share of the measured requests of at least a size that began.
func (f *cacheFleet) servedShare(size int) float64 {
	count := func(sizes []int) (n float64) {
		for _, s := range sizes {
			if s >= size && s > 0 {
				n++
			}
		}
		return n
	}
	return count(f.served) / count(f.offered)
}

// checkCachesFilled offers some engines 1.3 times the load that their caches have room for. The caches must be
// filled to nine tenths, without declines and preemptions, and large requests be served at least half as often as all.
func checkCachesFilled(t *testing.T, daemons int, hint func(*rand.Rand, int) int) {
	const engines, perTick = 4, 7.0
	f := newCacheFleet(daemons, engines)
	run := func(d time.Duration) {
		for end := f.now.Add(d); f.now.Before(end); {
			f.offer(perTick, hint)
			f.tick()
		}
		for _, d := range f.daemons {
			assert.NilError(t, d.core.Check())
		}
	}
	run(10 * time.Second)
	f.reset()
	run(60 * time.Second)
	sizes := slices.DeleteFunc(slices.Sorted(slices.Values(f.offered)), func(size int) bool { return size == 0 })
	all, fifth, tenth := f.servedShare(1), f.servedShare(sizes[len(sizes)*4/5]), f.servedShare(sizes[len(sizes)*9/10])
	t.Logf("served %.3f of all, %.3f of the largest fifth, %.3f of the largest tenth", all, fifth, tenth)
	assert.Assert(t, all < 0.9, "the load must exceed the room")
	for _, e := range f.engines {
		use := e.use / float64(e.samples)
		t.Logf("%s: use %.3f, %d declines, %d preemptions", e.id, use, e.declines, e.preemptions)
		assert.Check(t, use >= 0.9, "%s is filled to %.3f", e.id, use)
		assert.Check(t, e.declines == 0 && e.preemptions == 0, "%s: %d declines, %d preemptions", e.id, e.declines, e.preemptions)
	}
	assert.Check(t, fifth >= all/2 && tenth >= all/2)
}

// TestCachesAreFilled answers the load of a service whose requests want more room than the engines' caches have,
// and whose answers differ much in length, whatever the callers' hints are.
func TestCachesAreFilled(t *testing.T) {
	for _, s := range []struct {
		name string
		hint func(*rand.Rand, int) int
	}{
		{"exact", exactHint},
		{"off by 3 to either side", func(rng *rand.Rand, tokens int) int {
			if rng.IntN(2) == 0 {
				return 3 * tokens
			}
			return max(1, tokens/3)
		}},
		{"all equal", func(*rand.Rand, int) int { return 100 }},
		{"random", func(rng *rand.Rand, _ int) int { return 1 << rng.IntN(20) }},
		// What is no number, negative, 0 or 1e9 arrives as 0.
		{"hostile from half", func(rng *rand.Rand, tokens int) int { return [...]int{0, 1 << 20, tokens, tokens}[rng.IntN(4)] }},
	} {
		t.Run(s.name, func(t *testing.T) { checkCachesFilled(t, 1, s.hint) })
	}
}

// TestCachesAreFilledByManyDaemons answers the same load where each of many daemons hears of the others' requests only
// after an exchange.
func TestCachesAreFilledByManyDaemons(t *testing.T) { checkCachesFilled(t, 20, exactHint) }

// TestManyBeginAtOnce answers a burst after which all streams write in step: no room is used twice.
func TestManyBeginAtOnce(t *testing.T) {
	f := newCacheFleet(1, 1)
	for range 600 {
		f.offer(0.7, exactHint)
		f.tick()
	}
	for len(f.engines["e0"].running) > 0 {
		f.tick()
	}
	f.reset()
	for range 100 {
		f.submit(exactHint)
	}
	for range 5 * time.Second / eventInterval {
		f.tick()
	}
	e := f.engines["e0"]
	assert.Equal(t, e.declines, 0)
	assert.Equal(t, e.preemptions, 0)
	assert.Assert(t, len(f.served) > 40, "%d", len(f.served))
}

// TestPositionsOfCallersAreNotLearned guards against callers that resume answers at positions that they make up: the
// learned answers are as long as answers are (at most 700 tokens), not as long as callers say.
func TestPositionsOfCallersAreNotLearned(t *testing.T) {
	const longest, madeUp = 700, 40_000
	f := newCacheFleet(1, 1)
	in := &f.daemons[0].in
	for i := range 400 {
		f.offer(0.5, exactHint)
		if i%20 == 0 {
			f.submit(exactHint)
			a := &in.Arrivals[len(in.Arrivals)-1]
			a.From, a.PromptTokens, a.MaxTokens = madeUp/tokensPerEvent, 0, 0
			r := f.requests[a.ID]
			r.Arrival, r.written, r.answer = *a, madeUp, madeUp+tokensPerEvent
		}
		f.tick()
	}
	sketches := f.daemons[0].core.DaemonStatus(f.now).Lengths
	assert.Equal(t, len(sketches), 1)
	assert.Assert(t, sketches[0].Tokens <= longest*sketches[0].Answers, "%d tokens in %d answers", sketches[0].Tokens, sketches[0].Answers)
}

// TestWithoutHintsNothingChanges: where callers give no hints, what the configuration and the other daemons say about
// answers changes no decision.
func TestWithoutHintsNothingChanges(t *testing.T) {
	none := func(*rand.Rand, int) int { return 0 }
	plain, informed := newCacheFleet(1, 2), newCacheFleet(1, 2)
	p, q := plain.daemons[0], informed.daemons[0]
	for i := range p.in.Reports {
		p.in.Reports[i].AnswerTokens, p.in.Reports[i].TokensPerEvent = 0, 0
	}
	for range 1000 {
		for _, f := range []*cacheFleet{plain, informed} {
			f.offer(3, none)
		}
		informed.board.Put(informed.now, "other", board.DaemonStatus{Lengths: []length.Sketch{{Service: "m", Answers: 100, Tokens: 50_000}}})
		plain.board.Put(plain.now, "other", board.DaemonStatus{})
		plain.tick()
		informed.tick()
		assert.DeepEqual(t, p.out.Opens, q.out.Opens)
		assert.Equal(t, len(p.out.Finishes), len(q.out.Finishes))
		assert.DeepEqual(t, p.core.DaemonStatus(plain.now).Loads, q.core.DaemonStatus(informed.now).Loads)
		assert.Equal(t, p.out.Wake, q.out.Wake)
	}
	assert.Equal(t, len(q.core.DaemonStatus(informed.now).Lengths), 0)
}
