package route

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/board"
	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/table"
	"bulrushpond.example/bulrushpond/pkg/model"
)

const (
	loadStep    = 10 * time.Millisecond
	loadWindow  = 100 * time.Millisecond
	loadGroups  = 3
	loadStay    = 2 * time.Second
	loadTokens  = 200
	loadMeanUse = 0.8
)

// loadEngine is one row of the table of engines. It holds a third of the layers.
type loadEngine struct {
	server model.ServerID
	group  int
	room   float64
	// held is the number of requests in progress, and turnedAway how many it declined in the current window.
	held, turnedAway, sum float64
	// uses is its use in each window.
	uses []float64
}

// loadDaemon is one daemon: a copy of the table of servers and a policy.
type loadDaemon struct {
	id         model.DaemonID
	servers    *table.Servers
	chains     *Chains
	exchangeAt time.Time
	newsAt     time.Time
	next       int
}

// loadEnd is the end of a request.
type loadEnd struct {
	at      time.Time
	daemon  *loadDaemon
	request *table.Request
	route   model.Route
}

// loadPolicy chooses a server of each group for a request.
type loadPolicy func(f *loadFleet, d *loadDaemon, r *table.Request) (model.Route, bool)

// loadFleet is a table of engines with rooms, and a loop of arrivals at daemons.
type loadFleet struct {
	rng     *rand.Rand
	now     time.Time
	age     time.Duration
	engines []*loadEngine
	daemons []*loadDaemon
	board   *board.State
	ends    *table.Heap[loadEnd]
	policy  loadPolicy
	lastID  model.RequestID
	// hubGone is set while no daemon gets news.
	hubGone bool
	// avoidable counts the requests that an engine declined while another one of its layers had room.
	declined, avoidable, failed, sent int
}

func newLoadFleet(daemons, engines int, age time.Duration, policy loadPolicy, opts ...func() ChainsOption) *loadFleet {
	f := &loadFleet{
		rng: rand.New(rand.NewPCG(7, 7)), now: time.Unix(1_000_000, 0), age: age, board: board.New(), policy: policy,
		ends: table.NewHeap(func(a, b loadEnd) bool { return a.at.Before(b.at) }),
	}
	for i := range engines {
		speed := 1 + i/loadGroups%7
		f.engines = append(f.engines, &loadEngine{server: model.ServerID(fmt.Sprintf("e%03d", i)), group: i % loadGroups, room: 18 * float64(speed)})
	}
	for i := range daemons {
		d := &loadDaemon{id: model.DaemonID(fmt.Sprintf("d%03d", i)), servers: table.NewServers(), next: f.rng.IntN(1000)}
		var chainOpts []ChainsOption
		for _, opt := range opts {
			chainOpts = append(chainOpts, opt())
		}
		d.chains = NewChains("a", uint64(i), chainOpts...)
		d.exchangeAt = f.now.Add(time.Duration(f.rng.Int64N(int64(age))))
		for _, e := range f.engines {
			s := addEngine(d.servers, string(e.server), "a", e.group, e.group+1, e.room*loadTokens)
			s.Report.Slots = 1000
			s.Report.StepTime = time.Duration(100 / e.room * float64(time.Millisecond))
			s.Report.SequenceTime = s.Report.StepTime / 200
		}
		f.daemons = append(f.daemons, d)
	}
	return f
}

// run lets time pass at a mean use of the engines' room.
func (f *loadFleet) run(duration time.Duration) {
	room := 0.0
	for _, e := range f.engines {
		room += e.room / loadGroups
		e.uses = nil
	}
	f.declined, f.avoidable, f.failed, f.sent = 0, 0, 0, 0
	perStep := loadMeanUse * room / loadStay.Seconds() * loadStep.Seconds()
	start := f.now
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(loadStep) {
		for f.ends.Len() > 0 && !f.ends.Min().at.After(f.now) {
			e := f.ends.Pop()
			e.daemon.servers.Release(e.request, e.route)
			for _, h := range e.route.Hops {
				f.engine(h.Server).held--
			}
		}
		for _, d := range f.daemons {
			f.exchange(d)
		}
		for due := f.rng.ExpFloat64(); due < perStep; due += f.rng.ExpFloat64() {
			f.serve(f.daemons[f.rng.IntN(len(f.daemons))])
		}
		f.record(f.now.Sub(start) % loadWindow / loadStep)
	}
}

// record adds the step to the current window.
func (f *loadFleet) record(step time.Duration) {
	const steps = loadWindow / loadStep
	for _, e := range f.engines {
		e.sum += e.held
		if step == steps-1 {
			e.uses = append(e.uses, (e.sum/float64(steps)+e.turnedAway)/e.room)
			e.sum, e.turnedAway = 0, 0
		}
	}
}

func (f *loadFleet) engine(id model.ServerID) *loadEngine {
	index, _ := slices.BinarySearchFunc(f.engines, id, func(e *loadEngine, id model.ServerID) int {
		if e.server < id {
			return -1
		} else if e.server > id {
			return 1
		}
		return 0
	})
	return f.engines[index]
}

func (f *loadFleet) exchange(d *loadDaemon) {
	if f.now.Before(d.exchangeAt) {
		return
	}
	d.exchangeAt = d.exchangeAt.Add(f.age)
	if f.hubGone {
		return
	}
	d.newsAt = f.now
	f.board.Put(f.now, d.id, board.DaemonStatus{Loads: d.servers.Loads()})
	d.servers.SetOthers(f.now.Add(board.StatusTTL), f.board.Others(f.now, d.id))
}

// serve sends a request of a daemon, and once more elsewhere if an engine declines it.
func (f *loadFleet) serve(d *loadDaemon) {
	f.lastID++
	f.sent++
	r := &table.Request{Arrival: msgs.Arrival{ID: f.lastID, Model: "m", PromptTokens: loadTokens / 2, MaxTokens: loadTokens / 2}}
	for range 3 {
		route, ok := f.policy(f, d, r)
		if !ok {
			break
		}
		full := slices.IndexFunc(route.Hops, func(h model.Hop) bool { e := f.engine(h.Server); return e.held+1 > e.room })
		if full < 0 {
			d.servers.Reserve(r, route)
			for _, h := range route.Hops {
				f.engine(h.Server).held++
			}
			f.ends.Push(loadEnd{at: f.now.Add(time.Duration(f.rng.ExpFloat64() * float64(loadStay))), daemon: d, request: r, route: route})
			return
		}
		f.decline(d, r, route.Hops[full].Server)
	}
	f.failed++
}

// decline records that an engine declined a request.
func (f *loadFleet) decline(d *loadDaemon, r *table.Request, id model.ServerID) {
	e := f.engine(id)
	e.turnedAway++
	f.declined++
	r.Failed = append(r.Failed, id)
	d.servers.Get(id).FullUntil = f.now.Add(100 * time.Millisecond)
	if slices.ContainsFunc(f.engines, func(o *loadEngine) bool { return o.group == e.group && o.held < 0.7*o.room }) {
		f.avoidable++
	}
}

// loadResult is what a run showed.
type loadResult struct {
	// mean and p99 are of the engines' uses in the windows.
	mean, p99 float64
	// swing is how far the engines' uses swing in step with the age of the news, beyond what they swing with other
	// periods by chance.
	swing                       float64
	declined, avoidable, failed int
	sent                        int
}

func (r loadResult) String() string {
	return fmt.Sprintf("p99/mean %.3f, swing %.3f, declined %d (avoidable %d), not served %d of %d", r.p99/r.mean, r.swing, r.declined, r.avoidable, r.failed, r.sent)
}

// result returns what the last run showed.
func (f *loadFleet) result() loadResult {
	res := loadResult{declined: f.declined, avoidable: f.avoidable, failed: f.failed, sent: f.sent}
	var uses []float64
	for _, e := range f.engines {
		uses = append(uses, e.uses...)
	}
	slices.Sort(uses)
	for _, u := range uses {
		res.mean += u / float64(len(uses))
	}
	res.p99 = uses[len(uses)*99/100]
	for _, period := range []float64{1, 2, 4} {
		res.swing = max(res.swing, f.swingInStep(period*float64(f.age)/float64(loadWindow)))
	}
	return res
}

// swingInStep returns the 99th percentile over the engines of how far their uses swing with a period, less that of
// somewhat shorter and longer periods.
func (f *loadFleet) swingInStep(period float64) float64 {
	const apart = 1.3
	most := func(period float64) float64 {
		var swings []float64
		for _, e := range f.engines {
			swings = append(swings, swingOf(e.uses, period))
		}
		slices.Sort(swings)
		return swings[len(swings)*99/100]
	}
	at, shorter, longer := most(period), most(period/apart), most(period*apart)
	return math.Sqrt(max(0, at*at-(shorter*shorter+longer*longer)/2))
}

// swingOf returns how far a series swings, from peak to trough, with a period of so many values.
func swingOf(series []float64, period float64) float64 {
	mean, sin, cos := 0.0, 0.0, 0.0
	for _, v := range series {
		mean += v / float64(len(series))
	}
	for i, v := range series {
		angle := 2 * math.Pi * float64(i) / period
		sin, cos = sin+(v-mean)*math.Sin(angle), cos+(v-mean)*math.Cos(angle)
	}
	return 4 * math.Hypot(sin, cos) / float64(len(series))
}

// chainsPolicy is the daemons' own picker.
func chainsPolicy(f *loadFleet, d *loadDaemon, r *table.Request) (model.Route, bool) {
	route, result := d.chains.Pick(f.now, d.servers, Query{Request: r, Layers: loadGroups, Daemons: len(f.daemons)})
	return route, result == Found
}

// eachGroup returns a policy that chooses an engine of each group on its own.
func eachGroup(choose func(f *loadFleet, d *loadDaemon, group []*loadEngine) *loadEngine) loadPolicy {
	return func(f *loadFleet, d *loadDaemon, r *table.Request) (model.Route, bool) {
		var route model.Route
		for g := range loadGroups {
			var group []*loadEngine
			for _, e := range f.engines {
				if e.group == g && !r.Avoids(e.server) {
					group = append(group, e)
				}
			}
			route.Hops = append(route.Hops, hop(d.servers.Get(choose(f, d, group).server)))
		}
		return route, true
	}
}

// byShare draws an engine with its room as its weight.
func byShare(f *loadFleet, _ *loadDaemon, group []*loadEngine) *loadEngine {
	room := 0.0
	for _, e := range group {
		room += e.room
	}
	at := f.rng.Float64() * room
	for _, e := range group {
		if at -= e.room; at < 0 {
			return e
		}
	}
	return group[len(group)-1]
}

// inTurn takes the engines in turn.
func inTurn(_ *loadFleet, d *loadDaemon, group []*loadEngine) *loadEngine {
	d.next++
	return group[d.next/loadGroups%len(group)]
}

// reportedUse is an engine's use by the latest news and this daemon's own requests.
func reportedUse(d *loadDaemon, e *loadEngine) float64 {
	s := d.servers.Get(e.server)
	return float64(len(s.Users)+s.OtherStreams) / e.room
}

// leastReportedUse takes the engine with the least use by the latest news.
func leastReportedUse(_ *loadFleet, d *loadDaemon, group []*loadEngine) *loadEngine {
	return slices.MinFunc(group, func(a, b *loadEngine) int {
		if reportedUse(d, a) < reportedUse(d, b) {
			return -1
		}
		return 1
	})
}

// twoOfShare draws two engines by share and takes the less used one, unless the difference is small for the age
// of the news.
func twoOfShare(f *loadFleet, d *loadDaemon, group []*loadEngine) *loadEngine {
	a, b := byShare(f, d, group), byShare(f, d, group)
	if penalty := 0.1 * f.now.Sub(d.newsAt).Seconds(); reportedUse(d, b)+penalty < reportedUse(d, a) {
		return b
	}
	return a
}
