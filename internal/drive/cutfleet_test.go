package drive

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/core"
	"bulrushpond.example/bulrushpond/internal/core/board"
	"bulrushpond.example/bulrushpond/internal/core/relay"
	"bulrushpond.example/bulrushpond/internal/core/retry"
	"bulrushpond.example/bulrushpond/internal/core/route"
	"bulrushpond.example/bulrushpond/internal/engine"
	"bulrushpond.example/bulrushpond/internal/evlog"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// cutMode is what a cut does to a daemon's connections to servers.
type cutMode int

const (
	// cutHangs holds up what is sent until the cut ends, and new connections get no answer.
	cutHangs cutMode = iota
	// cutResets ends open connections and refuses new ones.
	cutResets
	// cutRefusesNew leaves open connections alone.
	cutRefusesNew
)

const (
	// fleetEvents is the number of events of a stream, one each fleetEventInterval.
	fleetEvents        = 10
	fleetEventInterval = 100 * time.Millisecond
	// fleetDialTimeout is how long a new connection may take.
	fleetDialTimeout = 300 * time.Millisecond
	// fleetRetryRatio and fleetRetryBurst are the retry budget of all daemons together.
	fleetRetryRatio = 0.2
	fleetRetryBurst = 200
)

// cutFleet is a number of daemons in one process, without a network between them, with fake servers.
type cutFleet struct {
	t       *testing.T
	daemons []*fleetDaemon

	mu sync.Mutex
	// runs counts the arrivals of each request at servers, which run it.
	runs     map[string]int
	outcomes map[string]*fleetAnswer
}

// fleetDaemon is one daemon. It implements engine.Engine, engine.Relay, engine.Connector and ProxyClient.
type fleetDaemon struct {
	fleet   *cutFleet
	name    string
	edge    *Edge
	streams *StreamExecutor

	mu sync.Mutex
	// cut is set while the daemon does not reach the servers for which behind is true; healed is closed at its end.
	cut    bool
	mode   cutMode
	behind func(server string) bool
	healed chan struct{}
	// reset is closed when the cut begins.
	reset chan struct{}
}

// path returns whether a server is behind the cut, the cut's mode and its end, and the channel that is closed when a
// cut begins.
func (d *fleetDaemon) path(server string) (cut bool, mode cutMode, healed, begins chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cut && d.behind(server), d.mode, d.healed, d.reset
}

func (d *fleetDaemon) startCut(mode cutMode, behind func(string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut, d.mode, d.behind, d.healed = true, mode, behind, make(chan struct{})
	close(d.reset)
}

func (d *fleetDaemon) endCut() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut, d.reset = false, make(chan struct{})
	close(d.healed)
}

// connect opens a connection to a server. Half of them are open already.
func (d *fleetDaemon) connect(ctx context.Context, server string, reused bool) error {
	cut, mode, _, _ := d.path(server)
	switch {
	case !cut, reused && mode != cutResets:
		return nil
	case mode == cutHangs:
		select {
		case <-time.After(fleetDialTimeout):
		case <-ctx.Done():
		}
	case mode == cutResets, mode == cutRefusesNew:
	}
	return &engine.AnswerError{Failure: verdt.New(verdt.NotRun, verdt.StageFailed, "no connection", verdt.Server(server)), Declined: true, NotConnected: true}
}

// await waits for a server's next bytes over a connection.
func (d *fleetDaemon) await(ctx context.Context, server string, wait time.Duration) error {
	_, _, _, begins := d.path(server)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return &engine.AnswerError{Failure: verdt.New(verdt.MayHaveRun, verdt.CallerGone, "cancelled", verdt.Server(server))}
		case <-timer.C:
			cut, mode, healed, _ := d.path(server)
			if !cut || mode == cutRefusesNew {
				return nil
			}
			select {
			case <-healed:
				return nil
			case <-ctx.Done():
			}
		case <-begins:
			begins = nil
			if cut, mode, _, _ := d.path(server); cut && mode == cutResets {
				return &engine.AnswerError{Failure: verdt.New(verdt.MayHaveRun, verdt.StageFailed, "reset", verdt.Server(server)), ConnectionLost: true}
			}
		}
	}
}

// run counts a run of a request.
func (f *cutFleet) run(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[id]++
}

// reused reports whether a request is sent on a connection that is open already.
func reused(id string) bool { return len(id)%2 == 0 }

// Open implements engine.Engine.
func (d *fleetDaemon) Open(ctx context.Context, s engine.Stream, sink func(model.Token)) error {
	server := string(s.Route.Hops[0].Server)
	if err := d.connect(ctx, server, reused(s.Origin.ID)); err != nil {
		return err
	}
	if cut, mode, _, _ := d.path(server); !cut || mode != cutHangs {
		d.fleet.run(s.Origin.ID)
	}
	for position := s.From; position < fleetEvents; position++ {
		if err := d.await(ctx, server, fleetEventInterval); err != nil {
			return err
		}
		tok := model.Token{Request: s.Request, Epoch: s.Epoch, Position: position, Text: strconv.Itoa(position)}
		if position == s.From {
			tok.Head = &model.AnswerHead{Status: http.StatusOK, Header: http.Header{}}
		}
		sink(tok)
	}
	sink(model.Token{Request: s.Request, Epoch: s.Epoch, Position: fleetEvents, End: true})
	return nil
}

// Cancel implements engine.Engine.
func (*fleetDaemon) Cancel(context.Context, string, model.RequestID, model.Epoch) error { return nil }

// Report implements engine.Engine.
func (*fleetDaemon) Report(context.Context, string) (model.Report, error) { return model.Report{}, nil }

// Order implements engine.Engine.
func (*fleetDaemon) Order(context.Context, string, engine.Order) error { return nil }

// Send implements engine.Relay.
func (d *fleetDaemon) Send(ctx context.Context, to model.Member, o engine.Origin, _ time.Time) (engine.Answer, error) {
	if err := d.connect(ctx, to.ID, !o.AtMostOnce && reused(o.ID)); err != nil {
		return engine.Answer{}, err
	}
	if cut, mode, _, _ := d.path(to.ID); !cut || mode != cutHangs {
		d.fleet.run(o.ID)
	}
	if err := d.await(ctx, to.ID, 20*time.Millisecond); err != nil {
		return engine.Answer{}, err
	}
	return engine.Answer{Status: http.StatusOK, Header: http.Header{}}, nil
}

// Connect implements engine.Connector.
func (d *fleetDaemon) Connect(ctx context.Context, address string) error {
	return d.connect(ctx, address, false)
}

// OpenProxy implements ProxyClient.
func (d *fleetDaemon) OpenProxy(ctx context.Context, address string, q ProxyRequest) (ProxyStream, error) {
	i := slices.IndexFunc(d.fleet.daemons, func(other *fleetDaemon) bool { return other.name == address })
	assert.Check(d.fleet.t, d.fleet.daemons[i] != d, "a daemon passes a request to itself")
	ctx, cancel := context.WithCancel(ctx)
	stream := &fleetProxyStream{frames: make(chan ProxyFrame), cancel: cancel}
	go func() {
		defer close(stream.frames)
		d.fleet.daemons[i].edge.ServeProxied(ctx, &q, func(f ProxyFrame) error {
			select {
			case stream.frames <- f:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
	}()
	return stream, nil
}

// fleetProxyStream implements ProxyStream.
type fleetProxyStream struct {
	frames chan ProxyFrame
	cancel context.CancelFunc
}

// Next implements ProxyStream.
func (s *fleetProxyStream) Next(deadline time.Time) (ProxyFrame, error) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case f, ok := <-s.frames:
		if !ok {
			return f, context.Canceled
		}
		return f, nil
	case <-timer.C:
		return ProxyFrame{}, context.DeadlineExceeded
	}
}

// Close implements ProxyStream.
func (s *fleetProxyStream) Close() { s.cancel() }

// fleetAnswer records an answer. It implements AnswerWriter.
type fleetAnswer struct {
	events   []string
	complete bool
	failure  *verdt.Error
	ended    time.Time
}

func (*fleetAnswer) Begin(model.AnswerHead) error { return nil }
func (a *fleetAnswer) Event(text string) error    { a.events = append(a.events, text); return nil }
func (*fleetAnswer) Flush() error                 { return nil }
func (a *fleetAnswer) Complete()                  { a.complete = true }
func (*fleetAnswer) Abort()                       {}
func (a *fleetAnswer) Answer(engine.Answer)       { a.complete = true }
func (a *fleetAnswer) Fail(f *verdt.Error)        { a.failure = f }

// newCutFleet starts daemons which know each other by a hub that is never cut off from them.
func newCutFleet(ctx context.Context, t *testing.T, daemons int) *cutFleet {
	t.Helper()
	fleet := &cutFleet{t: t, runs: map[string]int{}, outcomes: map[string]*fleetAnswer{}}
	root := setts.Defaults()
	root.Models["draft"] = 1
	var members []model.Member
	for i := range 10 {
		id := fmt.Sprintf("e%d", i)
		members = append(members, model.Member{ID: id, Address: id, Zone: "a", Role: model.Engine, Service: "draft", Span: model.Span{From: 0, To: 1}})
	}
	for i := range daemons {
		d := &fleetDaemon{fleet: fleet, name: fmt.Sprintf("d%03d", i), reset: make(chan struct{})}
		budget := func() *retry.Budget {
			b := retry.New(fleetRetryRatio, fleetRetryBurst, 10*time.Second)
			b.SetDaemons(time.Now(), daemons)
			return b
		}
		seed := uint64(i + 1)
		d.streams = NewStreamExecutor(evlog.New(logr.Discard()), d, seed, core.WithPicker(route.NewChains("a", seed)), core.WithBudget(budget()), core.WithStallCheck(), core.WithSeed(seed))
		state := relay.New("a", budget(), seed)
		for j := range 3 {
			id := fmt.Sprintf("b%d", j)
			state.UpsertServer(model.Member{ID: id, Address: id, Service: "app", Zone: "a"})
		}
		d.edge = NewEdge(evlog.New(logr.Discard()), d.streams, d, state, seed, quietObserver{}, WithProxies(d, d))
		rule := func(prefix, service string, repetition setts.Repetition, timeout time.Duration) setts.RouteRule {
			return setts.RouteRule{
				Name: prefix, Host: "h", Prefix: prefix, Repetition: repetition, Resumable: true, Timeout: timeout, TargetLatency: 500 * time.Millisecond,
				Shares: []setts.ServiceShare{{Service: service, Weight: 1}}, MaxAttempts: 2, Public: true,
			}
		}
		d.edge.SetRouting(&setts.Routing{
			Revision: 1, Services: map[string]setts.ServiceRule{"app": {Name: "app"}, "draft": {Name: "draft", Engine: &setts.EngineProfile{Layers: 1}}},
			Routes: []setts.RouteRule{
				rule("/draft/", "draft", setts.Streaming, 20*time.Second), rule("/book/", "app", setts.Once, fleetPlainTimeout), rule("/read/", "app", setts.Idempotent, fleetPlainTimeout),
			},
		})
		d.streams.SetSettings(setts.EffectiveSettingsOf(1, root, nil))
		d.streams.SetList(members, daemons)
		for _, m := range members {
			d.streams.AddReport(model.Report{Server: model.ServerID(m.ID), Model: "draft", Span: m.Span, Slots: 10000, Streams: 10000, TokensPerSecond: 1, ReportedAt: time.Now()})
		}
		fleet.daemons = append(fleet.daemons, d)
		go func() { _ = d.streams.Serve(ctx) }()
		go func() {
			for ctx.Err() == nil {
				d.edge.CheckReach(ctx)
				time.Sleep(ReachInterval)
			}
		}()
	}
	go fleet.exchange(ctx)
	return fleet
}

// fleetPlainTimeout is the time that callers of plain services wait.
const fleetPlainTimeout = 600 * time.Millisecond

// exchange tells the daemons of each other, as the hub does.
func (f *cutFleet) exchange(ctx context.Context) {
	loads := board.New()
	for ctx.Err() == nil {
		for _, d := range f.daemons {
			now := time.Now()
			id := model.DaemonID(d.name)
			loads.Put(now, id, board.DaemonStatus{Address: d.name, CutOff: d.edge.CutOff(), ServesProxied: true})
			d.edge.ApplyOthersCutOff(loads.Others(now, id).CutOff)
			d.edge.SetProxies(loads.Proxies(id, 4))
		}
		time.Sleep(HubInterval)
	}
}

// serve sends one caller's request to a daemon and records how it ended.
func (f *cutFleet) serve(ctx context.Context, d *fleetDaemon, id, path string) {
	in := &InboundRequest{Origin: engine.Origin{ID: id, Method: http.MethodPost, Host: "h", Target: path, Body: []byte(id)}, PromptTokens: 10, MaxTokens: 10}
	out := &fleetAnswer{}
	d.edge.Serve(ctx, in, out)
	out.ended = time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outcomes[id] = out
}

// TestCutOffDaemonsAreServedByOthers guards against callers that are served worse at daemons without a way to the
// servers: at fleets of all sizes and for each kind of cut, at most 10 and one in 50 of the requests fail there from
// three seconds after its start on, streams go on in order, and no call runs twice or runs although it was refused.
func TestCutOffDaemonsAreServedByOthers(t *testing.T) {
	engines, plain := func(s string) bool { return s[0] == 'e' }, func(s string) bool { return s[0] == 'b' }
	all := func(string) bool { return true }
	type scenario struct {
		name   string
		mode   cutMode
		behind func(string) bool
	}
	for _, daemons := range []int{7, 195, 390} {
		for _, cutDaemons := range []int{1, daemons / 3, daemons - 1} {
			for _, tc := range []scenario{
				{"all servers hang", cutHangs, all},
				{"all servers reset", cutResets, all},
				{"all servers refuse new connections", cutRefusesNew, all},
				{"engines hang", cutHangs, engines},
				{"plain servers hang", cutHangs, plain},
			} {
				if daemons > 7 && (cutDaemons != daemons/3 || tc.mode == cutRefusesNew) {
					// The small fleet plays all of them.
					continue
				}
				t.Run(fmt.Sprintf("%d of %d daemons, %s", cutDaemons, daemons, tc.name), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) { playCut(t, daemons, cutDaemons, tc.mode, tc.behind) })
				})
			}
		}
	}
}

// playCut runs load on a fleet around a cut of some of its daemons, and checks the answers.
func playCut(t *testing.T, daemons, cutDaemons int, mode cutMode, behind func(string) bool) {
	const (
		cutAt, cutFor, contact = 2 * time.Second, 6 * time.Second, 3 * time.Second
		loadFor                = cutAt + cutFor + 2*time.Second
	)
	ctx, cancel := context.WithCancel(t.Context())
	defer func() {
		cancel()
		// The fleet's goroutines end after their next wait.
		time.Sleep(time.Second)
	}()
	fleet := newCutFleet(ctx, t, daemons)
	began := time.Now()
	interval := max(100*time.Millisecond, time.Duration(daemons)*3*time.Millisecond)
	sentAt := map[string]time.Time{}
	var requests sync.WaitGroup
	cut := false
	for n := 0; time.Since(began) < loadFor; n++ {
		switch elapsed := time.Since(began); {
		case !cut && elapsed >= cutAt && elapsed < cutAt+cutFor:
			cut = true
			for _, d := range fleet.daemons[:cutDaemons] {
				d.startCut(mode, behind)
			}
		case cut && elapsed >= cutAt+cutFor:
			cut = false
			for _, d := range fleet.daemons[:cutDaemons] {
				d.endCut()
			}
		}
		for i, d := range fleet.daemons {
			if i >= cutDaemons+5 {
				// The load on the others does not matter here.
				break
			}
			path := []string{"/draft/x", "/draft/x", "/draft/x", "/book/x", "/read/x"}[(n+i)%5]
			id := fmt.Sprintf("%s %s %d", d.name, path[1:5], n)
			sentAt[id] = time.Now()
			requests.Go(func() { fleet.serve(ctx, d, id, path) })
		}
		time.Sleep(interval)
	}
	requests.Wait()
	counts := map[bool]*tallies{false: {}, true: {}}
	for id, out := range fleet.outcomes {
		stream := id[5:9] == "draf"
		at := sentAt[id]
		limit := fleetPlainTimeout
		if stream {
			limit = 20 * time.Second
		}
		assert.Check(t, out.ended.Sub(at) <= limit+50*time.Millisecond, "%s took %s", id, out.ended.Sub(at))
		for i, event := range out.events {
			assert.Check(t, event == strconv.Itoa(i), "%s: event %s at position %d", id, event, i)
		}
		assert.Check(t, !stream || !out.complete || len(out.events) == fleetEvents, "%s is complete with %d events", id, len(out.events))
		runs := fleet.runs[id]
		assert.Check(t, runs <= 1 || id[5:9] != "book", "%s ran %d times", id, runs)
		assert.Check(t, runs == 0 || out.failure == nil || out.failure.Verdict != verdt.NotRun, "%s ran and was refused as not run", id)
		behindCut := id < fleet.daemons[cutDaemons].name
		if elapsed := at.Sub(began); elapsed >= cutAt+contact || elapsed < cutAt {
			counts[behindCut].sent++
			if out.complete {
				counts[behindCut].served++
			} else {
				t.Logf("%s sent at %s: %d events, %v after %s", id, elapsed, len(out.events), out.failure, out.ended.Sub(at))
			}
		}
	}
	for behindCut, c := range counts {
		assert.Check(t, c.sent-c.served <= 10+c.sent/50, "behind the cut %t: %d of %d failed", behindCut, c.sent-c.served, c.sent)
	}
	// The load is as long as the budget's window, so one sum covers it.
	sent, repeats := map[bool]int{}, map[bool]int{}
	for id := range sentAt {
		stream := id[5:9] == "draf"
		sent[stream]++
		repeats[stream] += max(0, fleet.runs[id]-1)
	}
	t.Logf("cut: %+v, others: %+v, repeats of streams %d, of others %d", *counts[true], *counts[false], repeats[true], repeats[false])
	for _, stream := range []bool{true, false} {
		assert.Check(t, float64(repeats[stream]) <= fleetRetryRatio*float64(sent[stream])+fleetRetryBurst, "%d repeats of %d requests, streams: %t", repeats[stream], sent[stream], stream)
	}
}

// tallies counts requests and those that were served.
type tallies struct{ sent, served int }
