package drive

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"bulrushpond.example/bulrushpond/internal/core/crash"
	"bulrushpond.example/bulrushpond/internal/core/limit"
	"bulrushpond.example/bulrushpond/internal/core/match"
	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/relay"
	"bulrushpond.example/bulrushpond/internal/engine"
	"bulrushpond.example/bulrushpond/internal/evlog"
	"bulrushpond.example/bulrushpond/internal/guard"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

const (
	// maxRefusalLines is how many requests that are not admitted are logged in a second, and refusalLinesBurst how many at once.
	maxRefusalLines   = 100
	refusalLinesBurst = 1000
)

// InboundRequest is a caller's request, to be routed by its host and path.
type InboundRequest struct {
	engine.Origin
	// Key is the caller's API key; empty if the request has none.
	Key string
	// Deadline is when the caller stops waiting; zero for the timeout of the route.
	Deadline time.Time
	// PromptTokens and MaxTokens are 0 for requests without a prompt.
	PromptTokens, MaxTokens int
	// LengthHint is the caller's estimate of the tokens of the answer; 0 if it gave none.
	LengthHint int
	// From is the position of the first event to send; the caller has all before it.
	From int
	// Parts are the IDs of the prompt parts that the request shares with others, in order.
	Parts []uint64
}

// AnswerWriter writes the answer to one request. Exactly one of Answer, Fail, Complete and Abort
// ends the answer; Begin and Event are called only before Complete or Abort.
type AnswerWriter interface {
	// Begin starts a streamed answer with the status and headers from the engine.
	Begin(h model.AnswerHead) error
	// Event writes one event to the buffer; Flush sends the buffered events.
	Event(text string) error
	Flush() error
	// Complete ends a complete streamed answer.
	Complete()
	// Abort aborts a streamed answer in a way that shows the caller that it is incomplete.
	Abort()
	// Answer sends a backend server's complete, unstreamed answer.
	Answer(a engine.Answer)
	// Fail sends the reason why there is no answer.
	Fail(f *verdt.Error)
}

// interrupter is implemented by an AnswerWriter whose writes can be ended from another goroutine.
type interrupter interface {
	// Interrupt makes a write that is in progress fail.
	Interrupt()
}

// Edge serves callers' requests according to the routing in the settings.
type Edge struct {
	log         evlog.Log
	streams     *StreamExecutor
	relaySender engine.Relay
	// streamRelay is relaySender if that passes on streams; nil otherwise.
	streamRelay engine.StreamRelay
	observer    Observer
	table       atomic.Pointer[match.Table]
	// stopping makes answers ask callers to close their connections.
	stopping atomic.Bool
	// refusing is set once no more requests are taken.
	refusing atomic.Bool
	// ended is cancelled by End.
	ended context.Context
	end   context.CancelFunc
	// running is the number of requests in progress; called is set once there was one.
	running atomic.Int64
	called  atomic.Bool

	meter *Meter

	// refusals limits the lines about requests that are not admitted, and unlogged counts those without a line.
	refusals *rate.Limiter
	unlogged atomic.Uint64

	// connector probes servers, and proxies are the daemons that serve what this one does not reach.
	connector engine.Connector
	proxies   *proxies
	// proxiedOut counts the requests sent to other daemons; proxiedIn is the number of theirs in progress here, and
	// proxiedBytes that of the bytes of their bodies.
	proxiedOut   atomic.Uint64
	proxiedIn    atomic.Int64
	proxiedBytes atomic.Int64

	mu         sync.Mutex
	relayState *relay.State
	rng        *rand.Rand
	// knownCutOff holds the services that were cut off at the last check, and othersCutOff those that any daemon
	// does not reach; both guarded by mu.
	knownCutOff, othersCutOff []string
}

// EdgeOption configures an Edge.
type EdgeOption func(*Edge)

// WithProxies makes an Edge find out which services it cannot reach, and lets other daemons serve their requests.
func WithProxies(connector engine.Connector, client ProxyClient) EdgeOption {
	return func(e *Edge) { e.connector, e.proxies.client = connector, client }
}

// NewEdge returns an Edge without a routing, which refuses all requests.
func NewEdge(log evlog.Log, streams *StreamExecutor, relaySender engine.Relay, relayState *relay.State, seed uint64, observer Observer, opts ...EdgeOption) *Edge {
	e := &Edge{
		log: log, streams: streams, relaySender: relaySender, relayState: relayState, rng: rand.New(rand.NewPCG(seed, 2)), observer: observer,
		meter: NewMeter(), proxies: newProxies(), refusals: rate.NewLimiter(maxRefusalLines, refusalLinesBurst),
	}
	e.ended, e.end = context.WithCancel(context.Background())
	e.streamRelay, _ = relaySender.(engine.StreamRelay)
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// SetRouting puts a routing in force and returns true, unless the one in force has the
// same or a later revision.
func (e *Edge) SetRouting(r *setts.Routing) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if current := e.table.Load(); current != nil && r.Revision <= current.Routing.Revision {
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

// SetServer adds or updates a backend server of a plain service.
func (e *Edge) SetServer(m model.Member) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.relayState.UpsertServer(m)
}

// PauseServer keeps requests from a backend server of a plain service that asked for a pause.
func (e *Edge) PauseServer(id string, until time.Time) {
	now := time.Now()
	paused := guard.Locked(&e.mu, func() bool { return e.relayState.Pause(now, id, until) })
	if paused {
		e.log.Info(evlog.ServerPaused, "server", id, "detail", until.Sub(now).String())
	}
}

// RecordLimit records what a backend server of a plain service said about its limit.
func (e *Edge) RecordLimit(said limit.Statement) {
	now := time.Now()
	news := guard.Locked(&e.mu, func() bool { return e.relayState.RecordLimit(now, said) })
	if news {
		e.log.Info(evlog.ServerLimited, "server", said.Server, "detail", said.String())
	}
}

// LimitReports returns what this daemon tells the others about the limits of backend servers of plain
// services.
func (e *Edge) LimitReports(now time.Time) []limit.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.relayState.LimitReports(now)
}

// ApplyLimits applies this daemon's shares of limits and what servers said to other daemons.
func (e *Edge) ApplyLimits(grants []limit.Grant) {
	now := time.Now()
	news := guard.Locked(&e.mu, func() []limit.Statement { return e.relayState.ApplyLimits(now, grants) })
	for _, said := range news {
		e.log.Info(evlog.ServerLimited, "server", said.Server, "detail", said.String()+", said to another daemon")
	}
}

// LimitedServers returns the number of backend servers of plain services with a limit in force.
func (e *Edge) LimitedServers() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.relayState.Limited()
}

// SetDaemons sets how many daemons share the retry budget.
func (e *Edge) SetDaemons(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.relayState.SetDaemons(time.Now(), n)
}

// RetainServers removes the backend servers of plain services whose IDs are not in ids.
func (e *Edge) RetainServers(ids map[string]bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.relayState.RetainServers(ids)
}

// UnloggedRefusals returns the number of requests that were not admitted and not logged.
func (e *Edge) UnloggedRefusals() uint64 { return e.unlogged.Load() }

// Meter returns the counters and histograms of the requests.
func (e *Edge) Meter() *Meter { return e.meter }

// InProgress returns the number of requests in progress.
func (e *Edge) InProgress() int64 { return e.running.Load() }

// HasCallers reports whether a caller has sent a request.
func (e *Edge) HasCallers() bool { return e.called.Load() }

// requestState is what is recorded about one request in progress, for the log and the
// metrics.
type requestState struct {
	in         *InboundRequest
	arrived    time.Time
	revision   model.Revision
	route      string
	service    string
	deadline   time.Time
	server     string
	attempts   int
	eventCount int
	// firstEvent is the time from the request's arrival to its first event.
	firstEvent time.Duration
	// longestPause is the longest time between two events. epoch is the number of routes
	// that the stream was assigned up to its last event.
	longestPause time.Duration
	epoch        model.Epoch
	// unlogged is set if there are too many such requests to log each.
	unlogged bool
	// unread is set if the caller did not take its events in time.
	unread bool
	// proxied is set for a request of another daemon.
	proxied bool
	// answered is set once another daemon has answered the request completely.
	answered bool
	// status is that of the server's answer to a request to a plain service; 0 if there is none.
	status int
}

// elapsed returns the time since the request arrived.
func (req *requestState) elapsed() time.Duration { return time.Since(req.arrived) }

// Serve answers one request. It returns when the answer has ended or the caller has
// closed its connection.
func (e *Edge) Serve(ctx context.Context, in *InboundRequest, out AnswerWriter) {
	e.running.Add(1)
	defer e.running.Add(-1)
	e.called.Store(true)
	req := &requestState{in: in, arrived: time.Now(), deadline: in.Deadline}
	if e.refusing.Load() {
		e.fail(req, out, stoppingFailure(verdt.NotRun))
		return
	}
	table := e.table.Load()
	if table == nil {
		e.fail(req, out, verdt.New(verdt.NotRun, verdt.SettingsStale, "this daemon has no settings yet", verdt.RetryAt(req.arrived.Add(time.Second))))
		return
	}
	req.revision = table.Routing.Revision
	rule, failure := e.admit(table, in)
	if failure != nil {
		req.unlogged = !e.refusals.Allow()
		e.fail(req, out, failure)
		return
	}
	req.route = rule.Name
	if limit := req.arrived.Add(rule.Timeout); req.deadline.IsZero() || limit.Before(req.deadline) {
		req.deadline = limit
	}
	req.service = match.PickService(rule, guard.Locked(&e.mu, e.rng.Float64))
	if service, ok := table.Routing.Services[req.service]; ok && service.Engine != nil {
		e.serveStream(ctx, req, rule, out)
		return
	}
	e.serveRelayed(ctx, req, rule, out)
}

// admit finds a request's route and team and sets its team and urgency, or returns why
// the request is refused.
func (e *Edge) admit(table *match.Table, in *InboundRequest) (*setts.RouteRule, *verdt.Error) {
	rule := table.Route(in.Host, pathOf(in.Target))
	if rule == nil {
		return nil, verdt.New(verdt.NotRun, verdt.UnknownRoute, "no route for this host and path")
	}
	if rule.Unusable {
		return nil, verdt.New(verdt.NotRun, verdt.SettingsStale, "the settings of this route cannot be read", verdt.RetryAt(time.Now().Add(time.Second)))
	}
	team, known := table.Team(in.Key)
	if table.NeedsKey(rule) && !known {
		return nil, verdt.New(verdt.NotRun, verdt.Unauthorized, "missing or unknown API key")
	}
	if known {
		in.Team = team
	}
	in.Priority = table.Priority(rule, in.Team)
	in.Digest = engine.DigestOf(&in.Origin)
	return rule, nil
}

// pathOf returns the path of a request target, without its query.
func pathOf(target string) string {
	for i := range len(target) {
		if target[i] == '?' {
			return target[:i]
		}
	}
	return target
}

// serveStream serves a request with a streamed answer from a chain of engines.
func (e *Edge) serveStream(ctx context.Context, req *requestState, rule *setts.RouteRule, out AnswerWriter) {
	req.in.AtMostOnce = rule.Repetition == setts.Once || (rule.Repetition == setts.Streaming && !rule.Resumable)
	id, reply := e.streams.Start(ModelRequest{
		Team: req.in.Team, Model: req.service, MaxTokens: req.in.MaxTokens, PromptTokens: req.in.PromptTokens,
		Origin: &req.in.Origin, Deadline: req.deadline, From: req.in.From, Parts: req.in.Parts,
		AtMostOnce:  req.in.AtMostOnce,
		MaxAttempts: rule.MaxAttempts, FirstTokenDeadline: req.arrived.Add(rule.TargetLatency), Proxied: req.proxied,
		Rank: req.in.Priority, LengthHint: req.in.LengthHint, Route: rule.Name,
	})
	defer reply.Close()
	if i, ok := out.(interrupter); ok {
		reply.OnCut(i.Interrupt)
	}
	headSent := false
	var lastEvent time.Time
	var buf []model.Token
	for {
		// The queue drops what was taken, and so must this.
		clear(buf)
		tokens, finish, err := reply.Next(ctx, buf[:0])
		req.unread = reply.IsCut()
		if err != nil {
			e.streams.CallerGone(id)
			e.failCallerGone(req, out, headSent)
			return
		}
		now := time.Now()
		sendErr := e.forwardEvents(req, tokens, &headSent, out)
		for i, tok := range tokens {
			if !tok.End && i == 0 {
				e.recordTiming(req, now, &lastEvent)
			}
		}
		buf = tokens
		if finish != nil && finish.Proxy && sendErr == nil {
			part := &proxiedPart{streamed: true, from: finish.Next, attempts: finish.Attempts, headSent: headSent, takeRetry: e.streamRetry(req.service)}
			e.serveByProxies(ctx, req, rule, part, finish.Failure, out)
			return
		}
		if finish != nil {
			e.finishStream(req, finish, reply, headSent, out)
			return
		}
		if sendErr != nil {
			req.unread = reply.IsCut()
			e.streams.CallerGone(id)
			e.failCallerGone(req, out, headSent)
			return
		}
	}
}

// recordTiming records the time to the first event, or the pause since the last event.
func (e *Edge) recordTiming(req *requestState, now time.Time, lastEvent *time.Time) {
	if lastEvent.IsZero() {
		req.firstEvent = now.Sub(req.arrived)
		e.observer.FirstToken(req.in.Team, req.firstEvent)
	} else {
		pause := now.Sub(*lastEvent)
		req.longestPause = max(req.longestPause, pause)
		e.observer.Gap(req.in.Team, pause)
	}
	*lastEvent = now
}

// forwardEvents sends a batch of events to the caller, after the head of the answer if
// it has not been sent yet.
func (e *Edge) forwardEvents(req *requestState, tokens []model.Token, headSent *bool, out AnswerWriter) error {
	if len(tokens) == 0 {
		return nil
	}
	for _, tok := range tokens {
		if !*headSent && tok.Head != nil {
			*headSent = true
			if err := out.Begin(*tok.Head); err != nil {
				return err
			}
		}
		if tok.End && tok.Text == "" {
			continue
		}
		if !tok.End {
			req.eventCount++
		}
		req.epoch = tok.Epoch
		if err := out.Event(tok.Text); err != nil {
			return err
		}
	}
	return out.Flush()
}

// outcomeCut is the logged outcome of a stream that ended after its caller got some of the answer.
const outcomeCut = "cut"

// finishStream ends the answer of a streamed request. If an engine answered instead of
// streaming, the caller gets that answer.
func (e *Edge) finishStream(req *requestState, f *msgs.Finish, reply *Reply, headSent bool, out AnswerWriter) {
	switch {
	case f.Failure == nil:
		e.recordOutcome(req, "whole", nil)
		out.Complete()
	case headSent && req.proxied:
		// The other daemon decides whether the stream goes on elsewhere.
		e.fail(req, out, f.Failure)
	case headSent:
		e.recordOutcome(req, outcomeCut, f.Failure)
		out.Abort()
	default:
		if a := reply.Answer(); a != nil && f.Failure.Verdict != verdt.NotRun {
			e.recordOutcome(req, "answered", f.Failure)
			out.Answer(*a)
			return
		}
		e.fail(req, out, f.Failure)
	}
}

// fail ends a request that got no answer from a backend server.
func (e *Edge) fail(req *requestState, out AnswerWriter, f *verdt.Error) {
	e.recordOutcome(req, "failed", f)
	out.Fail(f)
}

// failCallerGone ends a request whose caller closed its connection.
func (e *Edge) failCallerGone(req *requestState, out AnswerWriter, headSent bool) {
	f := verdt.New(verdt.MayHaveRun, verdt.CallerGone, "the caller closed its connection")
	if req.unread {
		f.Message = errUnread.Error()
	}
	e.recordOutcome(req, "gone", f)
	if headSent {
		out.Abort()
		return
	}
	out.Fail(f)
}

// recordOutcome logs the end of a request and updates the metrics.
func (e *Edge) recordOutcome(req *requestState, outcome string, f *verdt.Error) {
	e.observer.RequestEnded(req.in.Team, f)
	e.meter.count(req, outcome, f)
	if req.unlogged {
		e.unlogged.Add(1)
		return
	}
	fields := []any{
		"rank", req.in.Priority, "request", req.in.ID, "outcome", outcome, "proxied", req.proxied, "revision", uint64(req.revision), "route", req.route, "service", req.service, "team", string(req.in.Team),
		"server", req.server, "attempts", req.attempts, "events", req.eventCount,
		"routes", uint32(req.epoch),
		"first_ms", req.firstEvent.Milliseconds(), "pause_ms", req.longestPause.Milliseconds(), "took_ms", req.elapsed().Milliseconds(),
	}
	if req.status > 0 {
		fields = append(fields, "status", req.status)
	}
	if f != nil {
		fields = append(fields, "reason", f.Reason.String(), "verdict", f.Verdict.String(), "message", f.Message, "failed_server", f.Server)
		if f.Reason == verdt.Overloaded {
			fields = append(fields, e.levelFields(req.service)...)
		}
		if f.Reason == verdt.PromptBlocked {
			fields = append(fields, "parts", crash.FormatParts(req.in.Parts))
		}
		if f.Reason == verdt.RequestBlocked {
			fields = append(fields, "digest", crash.FormatPart(req.in.Digest))
		}
	}
	e.log.Info(evlog.RequestServed, fields...)
}
