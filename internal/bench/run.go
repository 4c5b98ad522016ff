package bench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bulrushpond.example/bulrushpond/internal/core"
	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/route"
	"bulrushpond.example/bulrushpond/internal/core/table"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

const (
	// tickEvery is how soon a daemon takes in what happened.
	tickEvery = time.Millisecond
	// reportEvery and reportLag are how old the engines' reports are.
	reportEvery = time.Second
	reportLag   = 500 * time.Millisecond
	// callerLatency is the way from a daemon to a caller, or to an engine.
	callerLatency = time.Millisecond
)

// Plan is one run.
type Plan struct {
	Engines, Daemons int
	Workload         Workload
	// Load is the offered load as a share of the bound.
	Load   float64
	Seed   uint64
	Length time.Duration
	WarmUp time.Duration
	Picker func(r *rand.Rand) route.Picker
	KillAt time.Duration
}

// request is a request as its caller sees it.
type request struct {
	team    int
	arrived time.Time
	last    time.Time
	tokens  int
	length  int
	prefix  uint64
	// diedAt is when its stage died, until the next token.
	diedAt time.Time
	first  time.Duration
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

// run is the state of a run.
type run struct {
	plan    Plan
	site    Site
	rng     *rand.Rand
	start   time.Time
	now     time.Time
	events  *table.Heap[event]
	seq     int
	engines []*fakeEngine
	index   map[model.ServerID]int
	daemons []*daemon
	result  Result
	next    model.RequestID
}

type daemon struct {
	core     *core.Core
	in       msgs.Inbox
	out      msgs.Outbox
	pending  bool
	requests map[model.RequestID]*request
	jobs     map[model.RequestID]*job
}

// Run measures one plan.
func Run(p Plan) Result {
	rng := rand.New(rand.NewPCG(p.Seed, 0))
	r := &run{plan: p, site: NewSite(p.Engines, rng), rng: rng, start: time.Unix(1_000_000, 0), index: map[model.ServerID]int{}}
	r.now = r.start
	r.events = table.NewHeap(func(a, b event) bool {
		if !a.at.Equal(b.at) {
			return a.at.Before(b.at)
		}
		return a.seq < b.seq
	})
	r.result = newResult(p, r.site.Bound(p.Workload))
	r.build()
	r.arrivals()
	if p.KillAt > 0 {
		r.at(r.start.Add(p.KillAt), r.kill)
	}
	end := r.start.Add(p.Length)
	for r.events.Len() > 0 && !r.events.Min().at.After(end) {
		e := r.events.Pop()
		r.now = e.at
		e.do()
	}
	r.result.finish(p.Length - p.WarmUp)
	return r.result
}

func (r *run) at(t time.Time, do func()) {
	r.seq++
	r.events.Push(event{at: t, seq: r.seq, do: do})
}

func (r *run) after(d time.Duration, do func()) { r.at(r.now.Add(d), do) }

func (r *run) build() {
	var list []model.Member
	for i, spec := range r.site.Engines {
		r.engines = append(r.engines, &fakeEngine{spec: spec, linkFree: map[int]time.Time{}, resident: map[*job]bool{}})
		r.index[spec.ID] = i
		list = append(list, model.Member{ID: string(spec.ID), Address: string(spec.ID), Role: model.Engine})
	}
	force := setts.NewForce(r.tree())
	for range r.plan.Daemons {
		d := &daemon{requests: map[model.RequestID]*request{}, jobs: map[model.RequestID]*job{}}
		d.core = core.New(core.WithPicker(r.plan.Picker(r.rng)))
		d.in.Force, d.in.List, d.in.Daemons = force, list, r.plan.Daemons
		r.daemons = append(r.daemons, d)
		r.tick(d)
		r.report(d)
		r.tick(d)
	}
	r.reports()
}

func (r *run) tree() setts.Tree {
	t := setts.NewTree()
	t.Revision = 1
	t.Nodes["/"] = setts.Node{Settings: map[string]string{"models": fmt.Sprintf("{%s: %d}", benchModel, benchLayers), "queue_length": "100000"}}
	for _, team := range r.plan.Workload.Teams {
		t.Nodes[string(team.Team)] = setts.Node{Kind: setts.Team, Settings: map[string]string{"weight": fmt.Sprint(team.Weight)}}
	}
	return t
}

// reports takes the engines' load and hands it to the daemons later.
func (r *run) reports() {
	for _, e := range r.engines {
		e.reported = e.streams
	}
	r.after(reportLag, func() {
		for _, d := range r.daemons {
			r.report(d)
			r.schedule(d)
		}
	})
	r.after(reportEvery, r.reports)
}

func (r *run) report(d *daemon) {
	for _, e := range r.engines {
		if e.dead {
			continue
		}
		d.in.Reports = append(d.in.Reports, model.Report{
			Server: e.spec.ID, Model: benchModel, Span: e.spec.Span, Slots: e.spec.Kind.Slots, Streams: e.spec.streams(),
			Running: e.reported, TokensPerSecond: e.spec.Kind.rate(), Taken: r.now,
		})
	}
}

// arrivals draws requests at random times, each at a random daemon.
func (r *run) arrivals() {
	perSecond := r.plan.Load * r.result.Bound / r.plan.Workload.meanAnswer()
	var arrive func()
	arrive = func() {
		r.arrive()
		r.after(time.Duration(r.rng.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	}
	r.after(0, arrive)
}

func (r *run) arrive() {
	w := r.plan.Workload
	team := w.drawTeam(r.rng)
	d := r.daemons[r.rng.IntN(len(r.daemons))]
	r.next++
	id := r.next
	req := &request{team: team, arrived: r.now, length: w.drawAnswer(r.rng), prefix: uint64(team) + 1}
	d.requests[id] = req
	r.result.offered(req, r.measured(req))
	r.after(callerLatency, func() {
		d.in.Arrivals = append(d.in.Arrivals, msgs.Arrival{
			ID: id, Team: w.Teams[team].Team, Model: benchModel, Prefix: req.prefix,
			PromptTokens: w.PrefixTokens + w.PromptTokens, MaxTokens: 4 * w.AnswerTokens, Deadline: r.now.Add(w.Deadline),
		})
		r.schedule(d)
	})
}

// measured reports whether a request falls after the warm-up.
func (r *run) measured(req *request) bool { return req.arrived.Sub(r.start) >= r.plan.WarmUp }

// warm reports whether the warm-up is over.
func (r *run) warm() bool { return r.now.Sub(r.start) >= r.plan.WarmUp }

// schedule makes a daemon tick soon.
func (r *run) schedule(d *daemon) {
	if d.pending {
		return
	}
	d.pending = true
	r.after(tickEvery, func() { r.tick(d) })
}

func (r *run) tick(d *daemon) {
	d.pending = false
	began := time.Now()
	d.core.Tick(r.now, &d.in, &d.out)
	r.result.coreTime += time.Since(began)
	d.in.Reset()
	for _, c := range d.out.Cancels {
		r.cancel(d, c.Request)
	}
	for _, o := range d.out.Opens {
		r.open(d, o)
	}
	for _, tok := range d.out.Sends {
		r.sent(d, tok)
	}
	for _, f := range d.out.Finishes {
		r.finished(d, f)
	}
	if !d.out.Wake.IsZero() {
		at := d.out.Wake
		if at.Before(r.now.Add(tickEvery)) {
			at = r.now.Add(tickEvery)
		}
		r.at(at, func() { r.schedule(d) })
	}
}

func (r *run) cancel(d *daemon, id model.RequestID) {
	if j := d.jobs[id]; j != nil && !j.cancelled {
		j.cancelled = true
		r.leave(j)
		delete(d.jobs, id)
	}
}

// leave gives a job's places at its engines back.
func (r *run) leave(j *job) {
	for _, h := range j.hops {
		e := r.engines[h]
		e.streams--
		delete(e.resident, j)
		for len(e.waiting) > 0 && len(e.resident) < e.spec.streams() {
			it := e.waiting[0]
			e.waiting = e.waiting[1:]
			r.reach(it)
		}
	}
}

func (r *run) open(d *daemon, o msgs.Open) {
	req := d.requests[o.Request]
	w := r.plan.Workload
	j := &job{
		daemon: slices.Index(r.daemons, d), request: o.Request, epoch: o.Epoch, route: o.Route, trail: model.TrailOf(o.Route),
		next: o.From, length: req.length, prompt: w.PrefixTokens + w.PromptTokens + o.From, prefixTokens: w.PrefixTokens, prefix: req.prefix,
	}
	for _, h := range o.Route.Hops {
		j.hops = append(j.hops, r.index[h.Server])
		r.engines[r.index[h.Server]].streams++
	}
	d.jobs[o.Request] = j
	r.after(callerLatency, func() { r.reach(item{job: j}) })
}

// reach puts a token into the queue of its next stage.
func (r *run) reach(it item) {
	if it.job.cancelled {
		return
	}
	e := r.engines[it.job.hops[it.hop]]
	if e.dead {
		r.lost(it.job, e)
		return
	}
	if !e.resident[it.job] {
		if len(e.resident) >= e.spec.streams() {
			e.waiting = append(e.waiting, it)
			return
		}
		e.resident[it.job] = true
	}
	e.queue = append(e.queue, it)
	if !e.busy {
		r.batch(e)
	}
}

func (r *run) batch(e *fakeEngine) {
	e.queue = slices.DeleteFunc(e.queue, func(it item) bool { return it.job.cancelled })
	if len(e.queue) == 0 || e.dead || e.busy {
		return
	}
	r.after(e.start(), func() {
		if !e.dead {
			for _, it := range e.batch {
				r.pass(e, it)
			}
		}
		e.busy = false
		r.batch(e)
	})
}

// pass sends a token on to the next stage, or to the daemon.
func (r *run) pass(e *fakeEngine, it item) {
	j := it.job
	if j.cancelled {
		return
	}
	if it.hop+1 < len(j.hops) {
		from, to := j.hops[it.hop], j.hops[it.hop+1]
		free := e.linkFree[to]
		if free.Before(r.now) {
			free = r.now
		}
		free = free.Add(time.Duration(float64(time.Second) / r.site.linkRate(from, to)))
		e.linkFree[to] = free
		r.at(free.Add(linkLatency), func() { r.reach(item{job: j, hop: it.hop + 1}) })
		return
	}
	r.emit(j)
}

// emit hands a token to the daemon, and starts the next one at the first stage.
func (r *run) emit(j *job) {
	d := r.daemons[j.daemon]
	tok := model.Token{Request: j.request, Epoch: j.epoch, Position: j.next, Trail: j.trail}
	j.next++
	j.prompt = 0
	last := j.next >= j.length
	r.after(callerLatency, func() {
		d.in.Tokens = append(d.in.Tokens, tok)
		if last {
			d.in.Tokens = append(d.in.Tokens, model.Token{Request: j.request, Epoch: j.epoch, Position: j.length, End: true})
		}
		r.schedule(d)
	})
	if last {
		j.cancelled = true
		r.leave(j)
		delete(d.jobs, j.request)
		return
	}
	back := time.Duration(0)
	if len(j.hops) > 1 {
		back = linkLatency
	}
	r.after(back, func() { r.reach(item{job: j}) })
}

// lost tells a daemon that a stage died.
func (r *run) lost(j *job, e *fakeEngine) {
	d := r.daemons[j.daemon]
	if req := d.requests[j.request]; req != nil && req.diedAt.IsZero() {
		req.diedAt = r.now
	}
	f := verdt.New(verdt.MayHaveRun, verdt.StageFailed, "died", verdt.Server(string(e.spec.ID)))
	d.in.Ends = append(d.in.Ends, msgs.StreamEnd{Request: j.request, Epoch: j.epoch, Failure: f})
	r.schedule(d)
}

// kill ends the engine with the most streams.
func (r *run) kill() {
	victim := slices.MaxFunc(r.engines, func(a, b *fakeEngine) int { return a.streams - b.streams })
	victim.dead = true
	for _, d := range r.daemons {
		for _, id := range sortedJobs(d) {
			if j := d.jobs[id]; slices.Contains(j.hops, r.index[victim.spec.ID]) {
				r.lost(j, victim)
			}
		}
	}
}

func sortedJobs(d *daemon) []model.RequestID {
	var ids []model.RequestID
	for id := range d.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (r *run) sent(d *daemon, tok model.Token) {
	req := d.requests[tok.Request]
	if req.tokens == 0 {
		req.first = r.now.Add(callerLatency).Sub(req.arrived)
	}
	r.result.token(req, r.now, r.measured(req), r.warm())
	req.tokens++
	req.last = r.now
	req.diedAt = time.Time{}
}

func (r *run) finished(d *daemon, f msgs.Finish) {
	req := d.requests[f.Request]
	r.result.ended(req, f.Failure, r.measured(req), r.warm())
	delete(d.requests, f.Request)
}

// histogram returns one for times up to a minute, in microseconds.
func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}
