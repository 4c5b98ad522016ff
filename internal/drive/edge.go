package drive

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/match"
	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/relay"
	"bulrushpond.example/bulrushpond/internal/engine"
	"bulrushpond.example/bulrushpond/internal/evlog"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// Inbound is a caller's request that is routed by its host and path.
type Inbound struct {
	engine.Origin
	// Key is the caller's API key; empty where none was shown.
	Key string
	// Deadline is when the caller no longer waits; zero leaves it to the route.
	Deadline time.Time
	// PromptTokens and MaxTokens are 0 for requests that are no prompts.
	PromptTokens, MaxTokens int
	// Next is the position of the first event that the caller wants.
	Next int
}

// Outlet takes the answer to one request. Exactly one of Answer, Fail, Whole and Cut
// ends it; Begin and Event precede Whole and Cut only.
type Outlet interface {
	// Begin starts a streamed answer with the head that its engine sent.
	Begin(h model.AnswerHead) error
	// Event passes one event on; Flush sends what was passed on.
	Event(text string) error
	Flush() error
	// Whole ends a streamed answer that is complete.
	Whole()
	// Cut ends a streamed answer so that the caller sees that it is not complete.
	Cut()
	// Answer passes a backend server's whole answer on.
	Answer(a engine.Answer)
	// Fail says why there is no answer.
	Fail(f *verdt.Error)
}

// Edge serves callers' requests by the operators' routing.
type Edge struct {
	log     evlog.Log
	streams *Streams
	sender  engine.Relay
	watch   Observer
	table   atomic.Pointer[match.Table]
	// stopping makes answers ask callers to leave their connections.
	stopping atomic.Bool
	// running counts the requests in progress.
	running atomic.Int64

	meter *Meter

	mu    sync.Mutex
	calls *relay.State
	rng   *rand.Rand
}

// NewEdge returns an edge without a routing.
func NewEdge(log evlog.Log, streams *Streams, sender engine.Relay, calls *relay.State, seed uint64, watch Observer) *Edge {
	return &Edge{log: log, streams: streams, sender: sender, calls: calls, rng: rand.New(rand.NewPCG(seed, 2)), watch: watch, meter: NewMeter()}
}

// SetRouting puts a routing in force, unless a newer one is. It returns whether it did.
func (e *Edge) SetRouting(r *setts.Routing) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if was := e.table.Load(); was != nil && r.Revision <= was.Routing.Revision {
		return false
	}
	e.table.Store(match.New(r))
	return true
}

// Routing returns the routing in force, or nil.
func (e *Edge) Routing() *setts.Routing {
	if t := e.table.Load(); t != nil {
		return t.Routing
	}
	return nil
}

// SetServer takes in a backend server of a plain service.
func (e *Edge) SetServer(m model.Member) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls.Apply(m)
}

// SetDaemons takes in how many daemons share the budget of repeats.
func (e *Edge) SetDaemons(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls.SetDaemons(time.Now(), n)
}

// KeepServers forgets the backend servers of plain services that are not named.
func (e *Edge) KeepServers(ids map[string]bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls.Keep(ids)
}

// Meter returns what is counted of the requests.
func (e *Edge) Meter() *Meter { return e.meter }

// Running is the number of requests in progress.
func (e *Edge) Running() int64 { return e.running.Load() }

// Stop makes answers ask callers to leave.
func (e *Edge) Stop() { e.stopping.Store(true) }

// Stopping reports whether Stop was called.
func (e *Edge) Stopping() bool { return e.stopping.Load() }

// trip is one request on its way, for the log.
type trip struct {
	in       *Inbound
	arrived  time.Time
	revision model.Revision
	route    string
	service  string
	deadline time.Time
	server   string
	attempts int
	events   int
	first    time.Duration
	// pause is the longest time between two events, epoch the number of routes that
	// the stream was given up to its last event.
	pause time.Duration
	epoch model.Epoch
}

func (t *trip) took() time.Duration { return time.Since(t.arrived) }

// Serve answers one request. It returns when the answer is complete or the caller has
// gone.
func (e *Edge) Serve(ctx context.Context, in *Inbound, out Outlet) {
	e.running.Add(1)
	defer e.running.Add(-1)
	t := &trip{in: in, arrived: time.Now(), deadline: in.Deadline}
	table := e.table.Load()
	if table == nil {
		e.fail(t, out, verdt.New(verdt.NotRun, verdt.SettingsStale, "this daemon has no settings yet", verdt.RetryAt(t.arrived.Add(time.Second))))
		return
	}
	t.revision = table.Routing.Revision
	rule, failure := e.admit(table, in)
	if failure != nil {
		e.fail(t, out, failure)
		return
	}
	t.route = rule.Name
	if limit := t.arrived.Add(rule.Timeout); t.deadline.IsZero() || limit.Before(t.deadline) {
		t.deadline = limit
	}
	e.mu.Lock()
	t.service = match.Service(rule, e.rng.Float64())
	e.mu.Unlock()
	if service, ok := table.Routing.Services[t.service]; ok && service.Engine != nil {
		e.stream(ctx, t, rule, out)
		return
	}
	e.relay(ctx, t, rule, out)
}

// admit finds the route and the team of a request.
func (e *Edge) admit(table *match.Table, in *Inbound) (*setts.RouteRule, *verdt.Error) {
	rule := table.Route(in.Host, pathOf(in.Target))
	if rule == nil {
		return nil, verdt.New(verdt.NotRun, verdt.UnknownRoute, "no route for this host and path")
	}
	team, known := table.Team(in.Key)
	if table.NeedsKey(rule) && !known {
		return nil, verdt.New(verdt.NotRun, verdt.Unauthorized, "missing or unknown API key")
	}
	if known {
		in.Team = team
	}
	in.Urgency = table.Priority(rule, in.Team)
	return rule, nil
}

// pathOf returns the path of a request's target.
func pathOf(target string) string {
	for i := range len(target) {
		if target[i] == '?' {
			return target[:i]
		}
	}
	return target
}

// stream serves a request by a chain of engines.
func (e *Edge) stream(ctx context.Context, t *trip, rule *setts.RouteRule, out Outlet) {
	id, reply := e.streams.Start(Ask{
		Team: t.in.Team, Model: t.service, MaxTokens: t.in.MaxTokens, PromptTokens: t.in.PromptTokens,
		Origin: &t.in.Origin, Deadline: t.deadline, From: t.in.Next,
		Once:        rule.Repetition == setts.Once || (rule.Repetition == setts.Streaming && !rule.Resumable),
		MaxAttempts: rule.MaxAttempts, FirstBy: t.arrived.Add(rule.Target),
	})
	began := false
	var last time.Time
	var buf []model.Token
	for {
		tokens, finish, err := reply.Next(ctx, buf[:0])
		if err != nil {
			e.streams.Gone(id)
			e.gone(t, out, began)
			return
		}
		now := time.Now()
		werr := e.pass(t, tokens, &began, out)
		for i, tok := range tokens {
			if !tok.End && i == 0 {
				e.timed(t, now, &last)
			}
		}
		buf = tokens
		if finish != nil {
			e.finish(t, finish, reply, began, out)
			return
		}
		if werr != nil {
			e.streams.Gone(id)
			e.gone(t, out, began)
			return
		}
	}
}

// timed counts the times that callers notice.
func (e *Edge) timed(t *trip, now time.Time, last *time.Time) {
	if last.IsZero() {
		t.first = now.Sub(t.arrived)
		e.watch.FirstToken(t.in.Team, t.first)
	} else {
		gap := now.Sub(*last)
		t.pause = max(t.pause, gap)
		e.watch.Gap(t.in.Team, gap)
	}
	*last = now
}

// pass sends events on to the caller.
func (e *Edge) pass(t *trip, tokens []model.Token, began *bool, out Outlet) error {
	if len(tokens) == 0 {
		return nil
	}
	for _, tok := range tokens {
		if !*began && tok.Head != nil {
			*began = true
			if err := out.Begin(*tok.Head); err != nil {
				return err
			}
		}
		if tok.End {
			continue
		}
		t.events++
		t.epoch = tok.Epoch
		if err := out.Event(tok.Text); err != nil {
			return err
		}
	}
	return out.Flush()
}

// finish ends a streamed request.
func (e *Edge) finish(t *trip, f *msgs.Finish, reply *Reply, began bool, out Outlet) {
	switch {
	case f.Failure == nil:
		e.served(t, "whole", nil)
		out.Whole()
	case began:
		e.served(t, "cut", f.Failure)
		out.Cut()
	default:
		if a := reply.Answer(); a != nil && f.Failure.Verdict != verdt.NotRun {
			e.served(t, "answered", f.Failure)
			out.Answer(*a)
			return
		}
		e.fail(t, out, f.Failure)
	}
}

// relay serves a request by a plain service.
func (e *Edge) relay(ctx context.Context, t *trip, rule *setts.RouteRule, out Outlet) {
	r := &relay.Request{
		Service: t.service, Repeatable: rule.Repetition == setts.Idempotent, Deadline: t.deadline, MaxAttempts: rule.MaxAttempts,
	}
	e.mu.Lock()
	e.calls.Arrive(t.arrived, r)
	e.mu.Unlock()
	var kept *engine.Answer
	for {
		e.mu.Lock()
		send, failure := e.calls.Next(time.Now(), r)
		e.mu.Unlock()
		if failure != nil {
			e.answer(t, kept, failure, out)
			return
		}
		t.attempts, t.server = r.Attempts, send.Server.ID
		e.log.Info(evlog.RequestSent, "request", t.in.ID, "attempt", r.Attempts, "server", send.Server.ID, "zone", send.Server.Zone,
			"in_progress", send.InProgress, "left_ms", time.Until(t.deadline).Milliseconds())
		answer, failure := e.send(ctx, t, rule, r, send)
		if answer != nil {
			kept = answer
		}
		o := relay.Outcome{Failure: failure, Faulty: answer != nil && answer.Status >= 500}
		e.mu.Lock()
		again := e.calls.Ended(time.Now(), r, send, o)
		e.mu.Unlock()
		if ctx.Err() != nil {
			e.gone(t, out, false)
			return
		}
		if !again {
			if failure != nil {
				failure.Verdict = r.Verdict
			}
			e.answer(t, kept, failure, out)
			return
		}
		e.log.Info(evlog.RequestRepeated, "request", t.in.ID, "server", send.Server.ID, "attempt", r.Attempts, "faulty", o.Faulty, "failure", messageOf(failure))
	}
}

// firstTry is how long a server may take for a request that can be sent to another
// one, in parts of the time that callers expect.
const firstTry = 2

// send sends a request to one server.
func (e *Edge) send(ctx context.Context, t *trip, rule *setts.RouteRule, r *relay.Request, send relay.Send) (*engine.Answer, *verdt.Error) {
	deadline := t.deadline
	if limit := send.Began.Add(firstTry * rule.Target); r.Repeatable && r.Attempts < r.MaxAttempts && limit.Before(deadline) {
		deadline = limit
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	answer, err := e.sender.Send(ctx, send.Server, t.in.Origin, t.deadline)
	if err == nil {
		return &answer, nil
	}
	failure := verdt.Of(err, verdt.MayHaveRun)
	if failure.Reason == verdt.DeadlinePassed && deadline.Before(t.deadline) {
		failure = verdt.New(verdt.MayHaveRun, verdt.StageFailed, "the server took too long", verdt.Server(send.Server.ID))
	}
	return nil, failure
}

// answer ends a relayed request: with the answer of a server where one came.
func (e *Edge) answer(t *trip, kept *engine.Answer, failure *verdt.Error, out Outlet) {
	if kept == nil {
		e.fail(t, out, failure)
		return
	}
	e.served(t, "answered", nil)
	out.Answer(*kept)
}

func messageOf(f *verdt.Error) string {
	if f == nil {
		return ""
	}
	return f.Error()
}

// fail ends a request without an answer of a backend server.
func (e *Edge) fail(t *trip, out Outlet, f *verdt.Error) {
	e.served(t, "failed", f)
	out.Fail(f)
}

// gone ends a request whose caller has gone.
func (e *Edge) gone(t *trip, out Outlet, began bool) {
	f := verdt.New(verdt.MayHaveRun, verdt.CallerGone, "the caller closed its connection")
	e.served(t, "gone", f)
	if began {
		out.Cut()
		return
	}
	out.Fail(f)
}

// served logs how a request ended, and counts it.
func (e *Edge) served(t *trip, how string, f *verdt.Error) {
	e.watch.Ended(t.in.Team, f)
	e.meter.ended(t, how, f)
	fields := []any{
		"request", t.in.ID, "outcome", how, "revision", uint64(t.revision), "route", t.route, "service", t.service, "team", string(t.in.Team),
		"server", t.server, "attempts", t.attempts, "events", t.events,
		"routes", uint32(t.epoch),
		"first_ms", t.first.Milliseconds(), "pause_ms", t.pause.Milliseconds(), "took_ms", t.took().Milliseconds(),
	}
	if f != nil {
		fields = append(fields, "reason", f.Reason.String(), "verdict", f.Verdict.String(), "message", f.Message, "failed_server", f.Server)
	}
	e.log.Info(evlog.RequestServed, fields...)
}
