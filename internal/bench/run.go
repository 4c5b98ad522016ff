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
	// tickDelay is the time from an input of a daemon to the tick that processes it.
	tickDelay = time.Millisecond
	// reportInterval is the time between two reports of the engines, reportLag the time from
	// taking a report to its delivery.
	reportInterval = time.Second
	reportLag      = 500 * time.Millisecond
	// messageLatency is the one-way latency between a daemon and a caller or an engine.
	messageLatency = time.Millisecond
)

// Plan holds the parameters of one run.
type Plan struct {
	Engines, Daemons int
	Workload         Workload
	// Load is the offered load as a share of the bound.
	Load   float64
	Seed   uint64
	Length time.Duration
	WarmUp time.Duration
	Picker func(r *rand.Rand) route.Picker
	// KillAt is when the busiest engine is killed; 0 kills none.
	KillAt time.Duration
}

// request is the state of a request as its caller sees it. answerTokens is the length of the
// full answer, tokens the number received so far.
type request struct {
	team         int
	arrivedAt    time.Time
	lastTokenAt  time.Time
	tokens       int
	answerTokens int
	prefixID     uint64
	// stageDiedAt is when an engine of its route failed; the next token resets it.
	stageDiedAt       time.Time
	firstTokenLatency time.Duration
}

// event is a scheduled callback. seq orders events at the same time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

// run is the state of a discrete-event simulation.
type run struct {
	plan        Plan
	site        Site
	rng         *rand.Rand
	start       time.Time
	now         time.Time
	events      *table.Heap[event]
	seq         int
	engines     []*fakeEngine
	engineIndex map[model.ServerID]int
	daemons     []*daemon
	result      Result
	lastID      model.RequestID
}

// daemon is a simulated daemon around a real decision core.
type daemon struct {
	core        *core.Core
	in          msgs.Inbox
	out         msgs.Outbox
	tickPending bool
	requests    map[model.RequestID]*request
	jobs        map[model.RequestID]*job
}

// Run simulates one plan and returns its measurements.
func Run(p Plan) Result {
	rng := rand.New(rand.NewPCG(p.Seed, 0))
	r := &run{plan: p, site: NewSite(p.Engines, rng), rng: rng, start: time.Unix(1_000_000, 0), engineIndex: map[model.ServerID]int{}}
	r.now = r.start
	r.events = table.NewHeap(func(a, b event) bool {
		if !a.at.Equal(b.at) {
			return a.at.Before(b.at)
		}
		return a.seq < b.seq
	})
	r.result = newResult(p, r.site.Bound(p.Workload))
	r.setUp()
	r.startArrivals()
	if p.KillAt > 0 {
		r.scheduleAt(r.start.Add(p.KillAt), r.killBusiestEngine)
	}
	end := r.start.Add(p.Length)
	for r.events.Len() > 0 && !r.events.Min().at.After(end) {
		next := r.events.Pop()
		r.now = next.at
		next.do()
	}
	r.result.finish(p.Length - p.WarmUp)
	return r.result
}

func (r *run) scheduleAt(t time.Time, do func()) {
	r.seq++
	r.events.Push(event{at: t, seq: r.seq, do: do})
}

func (r *run) scheduleAfter(d time.Duration, do func()) { r.scheduleAt(r.now.Add(d), do) }

// setUp creates the engines and daemons and delivers a first report of each engine.
func (r *run) setUp() {
	var members []model.Member
	for i, spec := range r.site.Engines {
		r.engines = append(r.engines, &fakeEngine{spec: spec, linkFreeAt: map[int]time.Time{}, resident: map[*job]bool{}})
		r.engineIndex[spec.ID] = i
		members = append(members, model.Member{ID: string(spec.ID), Address: string(spec.ID), Role: model.Engine})
	}
	settings := setts.NewEffectiveSettings(r.settingsTree())
	for range r.plan.Daemons {
		d := &daemon{requests: map[model.RequestID]*request{}, jobs: map[model.RequestID]*job{}}
		d.core = core.New(core.WithPicker(r.plan.Picker(r.rng)))
		d.in.Settings, d.in.List, d.in.Daemons = settings, members, r.plan.Daemons
		r.daemons = append(r.daemons, d)
		r.tick(d)
		r.deliverReports(d)
		r.tick(d)
	}
	r.collectReports()
}

// settingsTree returns settings with the model and the teams' weights. The queue length of
// 100000 keeps queues from overflowing.
func (r *run) settingsTree() setts.Tree {
	t := setts.NewTree()
	t.Revision = 1
	t.Nodes["/"] = setts.Node{Settings: map[string]string{"models": fmt.Sprintf("{%s: %d}", benchModel, benchLayers), "queue_length": "100000"}}
	for _, team := range r.plan.Workload.Teams {
		t.Nodes[string(team.Team)] = setts.Node{Kind: setts.Team, Settings: map[string]string{"weight": fmt.Sprint(team.Weight)}}
	}
	return t
}

// collectReports takes the engines' load at each reportInterval and delivers it after reportLag.
func (r *run) collectReports() {
	for _, e := range r.engines {
		e.reportedStreams = e.assigned
	}
	r.scheduleAfter(reportLag, func() {
		for _, d := range r.daemons {
			r.deliverReports(d)
			r.scheduleTick(d)
		}
	})
	r.scheduleAfter(reportInterval, r.collectReports)
}

// deliverReports adds the reports of all live engines to a daemon's inbox.
func (r *run) deliverReports(d *daemon) {
	for _, e := range r.engines {
		if e.dead {
			continue
		}
		d.in.Reports = append(d.in.Reports, model.Report{
			Server: e.spec.ID, Model: benchModel, Span: e.spec.Span, Slots: e.spec.Accelerator.Slots, Streams: e.spec.streamCapacity(),
			Running: e.reportedStreams, TokensPerSecond: e.spec.Accelerator.tokensPerSecond(), ReportedAt: r.now,
		})
	}
}

// startArrivals schedules requests as a Poisson process with the rate of the offered load.
func (r *run) startArrivals() {
	perSecond := r.plan.Load * r.result.Bound / r.plan.Workload.meanAnswerTokens()
	var arrive func()
	arrive = func() {
		r.submitRequest()
		r.scheduleAfter(time.Duration(r.rng.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	}
	r.scheduleAfter(0, arrive)
}

// submitRequest draws a request and sends it to a random daemon.
func (r *run) submitRequest() {
	w := r.plan.Workload
	team := w.drawTeam(r.rng)
	d := r.daemons[r.rng.IntN(len(r.daemons))]
	r.lastID++
	id := r.lastID
	req := &request{team: team, arrivedAt: r.now, answerTokens: w.drawAnswerTokens(r.rng), prefixID: uint64(team) + 1}
	d.requests[id] = req
	r.result.recordOffered(req, r.isMeasured(req))
	r.scheduleAfter(messageLatency, func() {
		d.in.Arrivals = append(d.in.Arrivals, msgs.Arrival{
			ID: id, Team: w.Teams[team].Team, Model: benchModel, Prefix: req.prefixID,
			PromptTokens: w.PrefixTokens + w.PromptTokens, MaxTokens: 4 * w.AnswerTokens, Deadline: r.now.Add(w.Deadline),
		})
		r.scheduleTick(d)
	})
}

// isMeasured reports whether a request arrived after the warm-up.
func (r *run) isMeasured(req *request) bool { return req.arrivedAt.Sub(r.start) >= r.plan.WarmUp }

// warmedUp reports whether the warm-up is over.
func (r *run) warmedUp() bool { return r.now.Sub(r.start) >= r.plan.WarmUp }

// scheduleTick schedules a tick of a daemon after tickDelay, unless one is pending.
func (r *run) scheduleTick(d *daemon) {
	if d.tickPending {
		return
	}
	d.tickPending = true
	r.scheduleAfter(tickDelay, func() { r.tick(d) })
}

// tick runs a daemon's decision core and carries out its outputs.
func (r *run) tick(d *daemon) {
	d.tickPending = false
	startedAt := time.Now()
	d.core.Tick(r.now, &d.in, &d.out)
	r.result.totalCoreTime += time.Since(startedAt)
	d.in.Reset()
	for _, c := range d.out.Cancels {
		r.cancelJob(d, c.Request)
	}
	for _, o := range d.out.Opens {
		r.openJob(d, o)
	}
	for _, tok := range d.out.Sends {
		r.handleSend(d, tok)
	}
	for _, f := range d.out.Finishes {
		r.handleFinish(d, f)
	}
	if !d.out.Wake.IsZero() {
		wakeAt := d.out.Wake
		if wakeAt.Before(r.now.Add(tickDelay)) {
			wakeAt = r.now.Add(tickDelay)
		}
		r.scheduleAt(wakeAt, func() { r.scheduleTick(d) })
	}
}

func (r *run) cancelJob(d *daemon, id model.RequestID) {
	if j := d.jobs[id]; j != nil && !j.cancelled {
		j.cancelled = true
		r.releaseJob(j)
		delete(d.jobs, id)
	}
}

// releaseJob frees a job's memory at its engines and admits jobs that wait for it.
func (r *run) releaseJob(j *job) {
	for _, hop := range j.hops {
		e := r.engines[hop]
		e.assigned--
		delete(e.resident, j)
		for len(e.waitingForMemory) > 0 && len(e.resident) < e.spec.streamCapacity() {
			step := e.waitingForMemory[0]
			e.waitingForMemory = e.waitingForMemory[1:]
			r.enqueue(step)
		}
	}
}

// openJob starts a stream that a daemon opened.
func (r *run) openJob(d *daemon, o msgs.Open) {
	req := d.requests[o.Request]
	w := r.plan.Workload
	j := &job{
		daemon: slices.Index(r.daemons, d), request: o.Request, epoch: o.Epoch, route: o.Route, trail: model.TrailOf(o.Route),
		nextPosition: o.From, answerTokens: req.answerTokens, prefillTokens: w.PrefixTokens + w.PromptTokens + o.From, prefixTokens: w.PrefixTokens, prefixID: req.prefixID,
	}
	for _, h := range o.Route.Hops {
		j.hops = append(j.hops, r.engineIndex[h.Server])
		r.engines[r.engineIndex[h.Server]].assigned++
	}
	d.jobs[o.Request] = j
	r.scheduleAfter(messageLatency, func() { r.enqueue(tokenStep{job: j}) })
}

// enqueue adds a token step to its engine's queue, or to those that wait for memory.
func (r *run) enqueue(step tokenStep) {
	if step.job.cancelled {
		return
	}
	e := r.engines[step.job.hops[step.hop]]
	if e.dead {
		r.failJob(step.job, e)
		return
	}
	if !e.resident[step.job] {
		if len(e.resident) >= e.spec.streamCapacity() {
			e.waitingForMemory = append(e.waitingForMemory, step)
			return
		}
		e.resident[step.job] = true
	}
	e.queue = append(e.queue, step)
	if !e.busy {
		r.runBatch(e)
	}
}

// runBatch starts a batch on an idle engine, and the next one after it until the queue is empty.
func (r *run) runBatch(e *fakeEngine) {
	e.queue = slices.DeleteFunc(e.queue, func(step tokenStep) bool { return step.job.cancelled })
	if len(e.queue) == 0 || e.dead || e.busy {
		return
	}
	r.scheduleAfter(e.startBatch(), func() {
		if !e.dead {
			for _, step := range e.batch {
				r.forward(e, step)
			}
		}
		e.busy = false
		r.runBatch(e)
	})
}

// forward sends a token that left a stage to the next stage, or to the daemon after the last.
func (r *run) forward(e *fakeEngine, step tokenStep) {
	j := step.job
	if j.cancelled {
		return
	}
	if step.hop+1 < len(j.hops) {
		from, to := j.hops[step.hop], j.hops[step.hop+1]
		freeAt := e.linkFreeAt[to]
		if freeAt.Before(r.now) {
			freeAt = r.now
		}
		freeAt = freeAt.Add(time.Duration(float64(time.Second) / r.site.linkRate(from, to)))
		e.linkFreeAt[to] = freeAt
		r.scheduleAt(freeAt.Add(linkLatency), func() { r.enqueue(tokenStep{job: j, hop: step.hop + 1}) })
		return
	}
	r.emitToken(j)
}

// emitToken sends a token to the daemon and starts the next one at the first stage.
func (r *run) emitToken(j *job) {
	d := r.daemons[j.daemon]
	tok := model.Token{Request: j.request, Epoch: j.epoch, Position: j.nextPosition, Trail: j.trail}
	j.nextPosition++
	j.prefillTokens = 0
	last := j.nextPosition >= j.answerTokens
	r.scheduleAfter(messageLatency, func() {
		d.in.Tokens = append(d.in.Tokens, tok)
		if last {
			d.in.Tokens = append(d.in.Tokens, model.Token{Request: j.request, Epoch: j.epoch, Position: j.answerTokens, End: true})
		}
		r.scheduleTick(d)
	})
	if last {
		j.cancelled = true
		r.releaseJob(j)
		delete(d.jobs, j.request)
		return
	}
	feedbackLatency := time.Duration(0)
	if len(j.hops) > 1 {
		feedbackLatency = linkLatency
	}
	r.scheduleAfter(feedbackLatency, func() { r.enqueue(tokenStep{job: j}) })
}

// failJob reports to a job's daemon that an engine of its route failed.
func (r *run) failJob(j *job, e *fakeEngine) {
	d := r.daemons[j.daemon]
	if req := d.requests[j.request]; req != nil && req.stageDiedAt.IsZero() {
		req.stageDiedAt = r.now
	}
	failure := verdt.New(verdt.MayHaveRun, verdt.StageFailed, "died", verdt.Server(string(e.spec.ID)))
	d.in.Ends = append(d.in.Ends, msgs.StreamEnd{Request: j.request, Epoch: j.epoch, Failure: failure})
	r.scheduleTick(d)
}

// killBusiestEngine kills the engine with the most assigned jobs.
func (r *run) killBusiestEngine() {
	victim := slices.MaxFunc(r.engines, func(a, b *fakeEngine) int { return a.assigned - b.assigned })
	victim.dead = true
	for _, d := range r.daemons {
		for _, id := range sortedJobIDs(d) {
			if j := d.jobs[id]; slices.Contains(j.hops, r.engineIndex[victim.spec.ID]) {
				r.failJob(j, victim)
			}
		}
	}
}

// sortedJobIDs returns a daemon's jobs in a fixed order, which keeps runs deterministic.
func sortedJobIDs(d *daemon) []model.RequestID {
	var ids []model.RequestID
	for id := range d.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// handleSend records a token that a daemon sends to its caller.
func (r *run) handleSend(d *daemon, tok model.Token) {
	req := d.requests[tok.Request]
	if req.tokens == 0 {
		req.firstTokenLatency = r.now.Add(messageLatency).Sub(req.arrivedAt)
	}
	r.result.recordToken(req, r.now, r.isMeasured(req), r.warmedUp())
	req.tokens++
	req.lastTokenAt = r.now
	req.stageDiedAt = time.Time{}
}

// handleFinish records the outcome of a request.
func (r *run) handleFinish(d *daemon, finish msgs.Finish) {
	req := d.requests[finish.Request]
	r.result.recordEnd(req, finish.Failure, r.isMeasured(req), r.warmedUp())
	delete(d.requests, finish.Request)
}

// histogram returns an empty histogram for durations up to a minute, in microseconds.
func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}
