package drive

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"bulrushpond.example/bulrushpond/internal/core"
	"bulrushpond.example/bulrushpond/internal/core/board"
	"bulrushpond.example/bulrushpond/internal/core/crash"
	"bulrushpond.example/bulrushpond/internal/core/limit"
	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/route"
	"bulrushpond.example/bulrushpond/internal/engine"
	"bulrushpond.example/bulrushpond/internal/evlog"
	"bulrushpond.example/bulrushpond/internal/guard"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// cancelTimeout bounds a cancel call to one engine.
const cancelTimeout = time.Second

// pendingRequest is the part of a request in progress that the core does not need:
// its content, and where its answer goes.
type pendingRequest struct {
	reply  *Reply
	model  string
	prompt string
	// tokens are the texts already sent to the caller; a resumed stream needs them.
	tokens    []string
	maxTokens int
	// cancel ends the latest stream; nil before the first.
	cancel context.CancelFunc
	// origin is the caller's own HTTP request if it is passed on unchanged; nil for a
	// request that has only a prompt.
	origin   *engine.Origin
	deadline time.Time
	// parts are the IDs of the prompt parts that the request shares with others.
	parts []uint64
	// answer is what an engine answered instead of the stream in the latest failed
	// attempt, or nil.
	answer *engine.Answer
}

// Observer receives the measurements for the burn-rate report of the service-level
// objectives.
type Observer interface {
	// FirstToken records the time from a request's arrival to its first token.
	FirstToken(team model.Team, wait time.Duration)
	// Gap records the time between two consecutive tokens.
	Gap(team model.Team, gap time.Duration)
	// RequestEnded records the end of a request; f is nil for a complete answer.
	RequestEnded(team model.Team, f *verdt.Error)
}

// StreamExecutor executes model requests: it connects the decision core (core.Core) to the
// engines and to the callers.
type StreamExecutor struct {
	log    evlog.Log
	engine engine.Engine
	loop   *eventLoop[*msgs.Inbox]
	outbox msgs.Outbox
	ctx    context.Context
	unread *unreadEvents

	mu   sync.Mutex
	core *core.Core
	// pending is guarded by mu.
	pending map[model.RequestID]*pendingRequest
	lastID  model.RequestID
	// failedTicks is the number of the latest ticks that failed in a row; guarded by mu.
	failedTicks int
	wg          sync.WaitGroup
}

// NewStreamExecutor returns a StreamExecutor that knows no server. idBase must differ between
// processes: it makes request IDs unique across them, and it seeds the choice of
// routes, so that daemons do not all choose the same servers at the same time.
func NewStreamExecutor(log evlog.Log, e engine.Engine, idBase uint64, opts ...core.Option) *StreamExecutor {
	const counterBits = 36
	s := &StreamExecutor{
		log: log, engine: e, core: core.New(append([]core.Option{core.WithPicker(route.NewFlow(idBase))}, opts...)...),
		pending: map[model.RequestID]*pendingRequest{}, unread: newUnreadEvents(),
		lastID: model.RequestID(idBase << counterBits >> 1),
	}
	s.loop = newEventLoop(&msgs.Inbox{}, &msgs.Inbox{}, s.tick)
	return s
}

// Serve runs the event loop until the context ends. It implements suture.Service.
func (s *StreamExecutor) Serve(ctx context.Context) error {
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	err := s.loop.run(ctx)
	s.wg.Wait()
	return err
}

// String returns the name of this suture.Service in log events.
func (s *StreamExecutor) String() string { return "streams" }

// ModelRequest is a model request from a caller.
type ModelRequest struct {
	Team      model.Team
	Model     string
	Prompt    string
	Prefix    uint64
	MaxTokens int
	Deadline  time.Time
	// PromptTokens is the prompt's size; if 0, it is estimated from Prompt.
	PromptTokens int
	// Origin is the caller's own HTTP request, passed on unchanged; nil for a request
	// that has only a Prompt.
	Origin *engine.Origin
	// From, AtMostOnce, MaxAttempts and FirstTokenDeadline have the meaning they have in msgs.Arrival.
	From               int
	AtMostOnce         bool
	MaxAttempts        int
	FirstTokenDeadline time.Time
	// Parts are the IDs of the prompt parts that the request shares with others, in order.
	Parts []uint64
	// Proxied is set for a request of another daemon.
	Proxied bool
	// Rank, LengthHint and Route have the meaning they have in msgs.Arrival.
	Rank       int
	LengthHint int
	Route      string
}

// digest returns the digest of the caller's own request; 0 for a request that has only a prompt.
func (a *ModelRequest) digest() uint64 {
	if a.Origin == nil {
		return 0
	}
	return a.Origin.Digest
}

// bytesPerToken is a typical token's length, used to estimate a prompt's size.
const bytesPerToken = 4

// Start submits a request to the core. The answer or the refusal arrives in the Reply.
func (s *StreamExecutor) Start(a ModelRequest) (model.RequestID, *Reply) {
	pending := &pendingRequest{reply: newReply(s.unread), model: a.Model, prompt: a.Prompt, maxTokens: a.MaxTokens, origin: a.Origin, deadline: a.Deadline, parts: a.Parts}
	if a.PromptTokens == 0 {
		a.PromptTokens = len(a.Prompt) / bytesPerToken
	}
	id := guard.Locked(&s.mu, func() model.RequestID {
		s.lastID++
		s.pending[s.lastID] = pending
		return s.lastID
	})
	s.loop.post(func(in *msgs.Inbox) {
		in.Arrivals = append(in.Arrivals, msgs.Arrival{
			ID: id, Team: a.Team, Model: a.Model, Prefix: a.Prefix,
			PromptTokens: a.PromptTokens, MaxTokens: a.MaxTokens, Deadline: a.Deadline,
			From: a.From, AtMostOnce: a.AtMostOnce, MaxAttempts: a.MaxAttempts, FirstTokenDeadline: a.FirstTokenDeadline, Parts: a.Parts, Digest: a.digest(), Proxied: a.Proxied,
			Rank: a.Rank, LengthHint: a.LengthHint, Route: a.Route,
		})
	})
	return id, pending.reply
}

// CallerGone reports that a request's caller closed its connection.
func (s *StreamExecutor) CallerGone(id model.RequestID) {
	s.loop.post(func(in *msgs.Inbox) { in.CallerGone = append(in.CallerGone, id) })
}

// SetSettings sets the settings in force.
func (s *StreamExecutor) SetSettings(f *setts.EffectiveSettings) {
	s.loop.post(func(in *msgs.Inbox) { in.Settings = f })
}

// SetList sets the platform's membership list, and how many daemons share the servers.
func (s *StreamExecutor) SetList(list []model.Member, daemons int) {
	s.loop.post(func(in *msgs.Inbox) { in.List, in.Daemons = list, daemons })
}

// SetDaemons sets how many daemons share the servers.
func (s *StreamExecutor) SetDaemons(n int) { s.loop.post(func(in *msgs.Inbox) { in.Daemons = n }) }

// SetBudgetDaemons sets how many daemons shared the retry budget before this one started.
func (s *StreamExecutor) SetBudgetDaemons(n int) {
	s.loop.post(func(in *msgs.Inbox) { in.BudgetDaemons = n })
}

// AddReport adds an engine's latest status report.
func (s *StreamExecutor) AddReport(r model.Report) {
	s.loop.post(func(in *msgs.Inbox) { in.Reports = append(in.Reports, r) })
}

// PauseServer keeps requests from a server that asked for a pause.
func (s *StreamExecutor) PauseServer(id model.ServerID, until time.Time) {
	s.loop.post(func(in *msgs.Inbox) { in.Pauses = append(in.Pauses, msgs.Pause{Server: id, Until: until}) })
}

// RecordLimit records what a server said about its limit.
func (s *StreamExecutor) RecordLimit(said limit.Statement) {
	s.loop.post(func(in *msgs.Inbox) { in.Limits = append(in.Limits, said) })
}

// SetOthers sets what the other daemons have in progress and which servers they
// suspect of a failure. It is valid for board.StatusTTL.
func (s *StreamExecutor) SetOthers(others board.View) {
	until := time.Now().Add(board.StatusTTL)
	s.loop.post(func(in *msgs.Inbox) { in.Others, in.OthersUntil = others, until })
}

// SetStoredBlocks sets the blocked prompt parts that are stored in the key-value service.
func (s *StreamExecutor) SetStoredBlocks(blocks []crash.Block) {
	s.loop.post(func(in *msgs.Inbox) { in.StoredBlocks = blocks })
}

// SetStoredRequestBlocks sets the blocked requests to model engines that are stored in the key-value service.
func (s *StreamExecutor) SetStoredRequestBlocks(blocks []crash.Block) {
	s.loop.post(func(in *msgs.Inbox) { in.StoredRequestBlocks = blocks })
}

// Stop makes the core refuse new requests.
func (s *StreamExecutor) Stop() { s.loop.post(func(in *msgs.Inbox) { in.Stop = true }) }

// End makes the core end all requests and refuse new ones.
func (s *StreamExecutor) End() { s.loop.post(func(in *msgs.Inbox) { in.End = true }) }

// View calls f with the core between two ticks. f must not keep the core.
func (s *StreamExecutor) View(f func(*core.Core)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.core)
}

// tick runs one tick of the core and executes the commands it returns.
func (s *StreamExecutor) tick(now time.Time, in *msgs.Inbox) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := guard.Run(func() { s.core.Tick(now, in, &s.outbox) }); err != nil {
		return s.recoverTick(now, in, err)
	}
	s.failedTicks = 0
	s.execute()
	return s.outbox.Wake
}

// execute runs the commands in the outbox in the order that msgs.Outbox
// prescribes. The caller holds mu.
func (s *StreamExecutor) execute() {
	for _, c := range s.outbox.Cancels {
		s.cancelRoute(c)
	}
	for _, tok := range s.outbox.Sends {
		if pending := s.pending[tok.Request]; pending != nil {
			if pending.origin == nil {
				pending.tokens = append(pending.tokens, tok.Text)
			}
			pending.reply.push(tok)
		}
	}
	for _, o := range s.outbox.Opens {
		s.openStream(o)
	}
	for _, f := range s.outbox.Finishes {
		if pending := s.pending[f.Request]; pending != nil {
			if pending.cancel != nil {
				pending.cancel()
			}
			pending.reply.end(f, pending.answer)
			delete(s.pending, f.Request)
		}
	}
	for _, a := range s.outbox.Asks {
		s.diagnose(a)
	}
	for _, n := range s.outbox.Notices {
		s.logNotice(n)
	}
}

// diagnosisTimeout bounds a diagnosis call to an engine. A healthy engine answers
// within milliseconds.
const diagnosisTimeout = 100 * time.Millisecond

// diagnosisSlack is how far a diagnosis call may exceed its timeout. If it takes
// longer, this process itself was suspended, and the result is discarded.
const diagnosisSlack = 50 * time.Millisecond

// diagnose asks an engine which engines its work is waiting for.
func (s *StreamExecutor) diagnose(a msgs.Ask) {
	diagnoser, ok := s.engine.(engine.Diagnoser)
	if !ok {
		return
	}
	s.background(func() {
		ctx, cancel := context.WithTimeout(s.ctx, diagnosisTimeout)
		defer cancel()
		askedAt := time.Now()
		faulty, err := diagnoser.BlockedBy(ctx, a.Address)
		if err != nil && time.Since(askedAt) > diagnosisTimeout+diagnosisSlack {
			// This process was suspended; the engine may have answered in time.
			return
		}
		d := msgs.Diagnosis{Server: a.Server, AskedAt: a.At, Unresponsive: err != nil, Faulty: faulty}
		s.loop.post(func(in *msgs.Inbox) { in.Diagnoses = append(in.Diagnoses, d) })
	})
}

// cancelRoute ends the latest stream of a request and cancels it at each engine of
// the route. The caller holds mu.
func (s *StreamExecutor) cancelRoute(c msgs.Cancel) {
	if pending := s.pending[c.Request]; pending != nil && pending.cancel != nil {
		pending.cancel()
	}
	if pending := s.pending[c.Request]; pending == nil || pending.origin != nil {
		// Engines that were sent the caller's own request stop when the connection
		// closes.
		return
	}
	for _, h := range c.Route.Hops {
		s.background(func() {
			ctx, cancel := context.WithTimeout(s.ctx, cancelTimeout)
			defer cancel()
			_ = s.engine.Cancel(ctx, h.Address, c.Request, c.Epoch)
		})
	}
}

// openStream starts or resumes a request's stream. The caller holds mu.
func (s *StreamExecutor) openStream(o msgs.Open) {
	pending := s.pending[o.Request]
	if pending == nil {
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	pending.cancel = cancel
	stream := engine.Stream{
		Request: o.Request, Epoch: o.Epoch, Model: pending.model, Route: o.Route, Prompt: pending.prompt,
		MaxTokens: pending.maxTokens, Priority: o.Priority, Origin: pending.origin, From: o.From, Deadline: pending.deadline,
	}
	if pending.origin == nil {
		stream.Tokens = pending.tokens[:o.From:o.From]
	}
	if pending.origin != nil {
		s.log.Info(evlog.StreamOpened, "request", pending.origin.ID, "epoch", o.Epoch, "from", o.From, "chain", formatRoute(o.Route), "digest", crash.FormatPart(pending.origin.Digest), "expected", o.Expected, "held", o.Held)
	}
	s.background(func() {
		defer cancel()
		s.runStream(ctx, stream)
	})
}

// background runs f in a goroutine that Serve waits for. A panic ends f only.
func (s *StreamExecutor) background(f func()) {
	guard.Go(&s.wg, func(err error) { s.log.Error(err, evlog.WorkFailed, "part", s.String()) }, f)
}

// formatRoute formats a route for the log: each server with its span of layers.
func formatRoute(r model.Route) string {
	var b strings.Builder
	for i, h := range r.Hops {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s=%d-%d", h.Server, h.Span.From, h.Span.To)
	}
	return b.String()
}

// logID returns the ID under which a request is logged: the one of the caller's own
// request, or the one assigned by this process. The caller holds mu.
func (s *StreamExecutor) logID(id model.RequestID) any {
	if pending := s.pending[id]; pending != nil && pending.origin != nil {
		return pending.origin.ID
	}
	return id
}

// runStream runs one epoch of a request's stream until its end and posts its tokens
// and its end to the core.
func (s *StreamExecutor) runStream(ctx context.Context, stream engine.Stream) {
	var err error
	if panicErr := guard.Run(func() {
		err = s.engine.Open(ctx, stream, func(tok model.Token) {
			s.loop.post(func(in *msgs.Inbox) { in.Tokens = append(in.Tokens, tok) })
		})
	}); panicErr != nil {
		s.log.Error(panicErr, evlog.WorkFailed, "part", s.String(), "epoch", stream.Epoch)
		err = verdt.New(verdt.MayHaveRun, verdt.Internal, "this daemon failed while it read the stream")
	}
	end := msgs.StreamEnd{Request: stream.Request, Epoch: stream.Epoch}
	if err != nil {
		end.Failure = verdt.AsError(err, verdt.MayHaveRun)
		var answerErr *engine.AnswerError
		if errors.As(err, &answerErr) {
			end.Declined, end.ConnectionLost, end.NotConnected = answerErr.Declined, answerErr.ConnectionLost, answerErr.NotConnected
			s.keepAnswer(stream.Request, answerErr.Answer)
		}
		if stream.Origin != nil && ctx.Err() == nil {
			s.log.Info(evlog.StreamFailed, "request", stream.Origin.ID, "epoch", stream.Epoch, "reason", end.Failure.Reason.String(),
				"verdict", end.Failure.Verdict.String(), "server", end.Failure.Server, "declined", end.Declined, "message", end.Failure.Message, "parts", s.formatParts(stream.Request))
		}
	}
	s.loop.post(func(in *msgs.Inbox) { in.Ends = append(in.Ends, end) })
}

// formatParts returns the shared prompt parts of a request as they are logged.
func (s *StreamExecutor) formatParts(id model.RequestID) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if pending := s.pending[id]; pending != nil {
		return crash.FormatParts(pending.parts)
	}
	return ""
}

// keepAnswer stores what an engine answered instead of a stream. The caller gets it if
// no other engine serves the request.
func (s *StreamExecutor) keepAnswer(id model.RequestID, a *engine.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if pending := s.pending[id]; pending != nil {
		pending.answer = a
	}
}

// logNotice logs a notice from the core. The caller holds mu.
func (s *StreamExecutor) logNotice(n msgs.Notice) {
	switch n.Kind {
	case msgs.ServerLeaving:
		s.log.Info(evlog.ServerLeaves, "server", n.Server)
	case msgs.ServerBack:
		s.log.Info(evlog.ServerReturned, "server", n.Server)
	case msgs.ServerAvoided:
		s.log.Info(evlog.ServerAvoided, "server", n.Server, "detail", n.Detail)
	case msgs.StreamMoved:
		s.log.Info(evlog.StreamMoved, "request", s.logID(n.Request), "detail", n.Detail)
	case msgs.TokenDropped:
		s.log.Debug(evlog.TokenDropped, "request", s.logID(n.Request), "detail", n.Detail)
	case msgs.ServerStalled:
		s.log.Info(evlog.ServerStalled, "server", n.Server, "detail", n.Detail)
	case msgs.ServerPaused:
		s.log.Info(evlog.ServerPaused, "server", n.Server, "detail", n.Detail)
	case msgs.ServerLimited:
		s.log.Info(evlog.ServerLimited, "server", n.Server, "detail", n.Detail)
	case msgs.StreamStalled:
		s.log.Info(evlog.StreamStalled, "request", s.logID(n.Request), "server", n.Server, "detail", n.Detail)
	case msgs.PartSuspected:
		s.log.Info(evlog.PartSuspected, "part", crash.FormatPart(n.Part), "detail", n.Detail)
	case msgs.PartBlocked:
		s.log.Info(evlog.PartBlocked, "part", crash.FormatPart(n.Part), "detail", n.Detail)
	case msgs.PartUnblocked:
		s.log.Info(evlog.PartUnblocked, "part", crash.FormatPart(n.Part), "detail", n.Detail)
	case msgs.RequestSuspected:
		s.log.Info(evlog.RequestSuspected, "digest", crash.FormatPart(n.Part), "detail", n.Detail)
	case msgs.ServiceCutOff:
		s.log.Info(evlog.ServiceCutOff, "service", n.Detail)
	case msgs.ServiceReached:
		s.log.Info(evlog.ServiceReached, "service", n.Detail)
	case msgs.RequestBlocked:
		s.log.Info(evlog.RequestBlocked, "digest", crash.FormatPart(n.Part), "detail", n.Detail)
	case msgs.RequestUnblocked:
		s.log.Info(evlog.RequestUnblocked, "digest", crash.FormatPart(n.Part), "detail", n.Detail)
	case msgs.ListEmpty:
		s.log.Error(errors.New("the membership list names no engine"), evlog.ListEmptied)
	}
}
