package drive

import (
	"context"
	"strconv"
	"time"

	"bulrushpond.example/bulrushpond/internal/core"
	"bulrushpond.example/bulrushpond/internal/core/relay"
	"bulrushpond.example/bulrushpond/internal/engine"
	"bulrushpond.example/bulrushpond/internal/evlog"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// proxiedPart is what other daemons have to serve of a request.
type proxiedPart struct {
	streamed bool
	// from is the position of the first event that the caller has not got.
	from int
	// attempts is how many servers the request was sent to before.
	attempts int
	// headSent is set once the caller got the head of a streamed answer.
	headSent bool
	// takeRetry takes a retry from the retry budget and reports whether there is room.
	takeRetry func(begun bool) bool
}

// serveByProxies lets other daemons serve a request until one completes it. failure is that of the request if none
// takes it.
func (e *Edge) serveByProxies(callerContext context.Context, req *requestState, rule *setts.RouteRule, part *proxiedPart, failure *verdt.Error, out AnswerWriter) {
	ctx, cancel := e.untilEnd(callerContext)
	defer cancel()
	var tried []string
	for len(tried) < maxProxyTries && ctx.Err() == nil {
		address := e.findProxy(ctx, req, tried)
		if address == "" {
			break
		}
		e.log.Info(evlog.RequestProxied, "request", req.in.ID, "service", req.service, "peer", address, "from", part.from, "try", len(tried)+1,
			"left_ms", time.Until(req.deadline).Milliseconds())
		e.proxiedOut.Add(1)
		f := e.serveByProxy(ctx, req, rule, part, address, out)
		refused := f != nil && f.Verdict == verdt.NotRun && isRefusal(f.Reason)
		e.proxies.release(time.Now(), address, refused || f != nil && f.Reason == verdt.PeerLost)
		if f == nil || callerContext.Err() != nil {
			break
		}
		e.log.Info(evlog.RequestProxyFailed, "request", req.in.ID, "peer", address, "reason", f.Reason.String(), "verdict", f.Verdict.String(), "message", f.Message)
		if refused {
			continue
		}
		f.Verdict = f.Verdict.Merge(failure.Verdict)
		failure = f
		if !isRefusal(f.Reason) || req.in.AtMostOnce || !part.takeRetry(part.headSent) {
			break
		}
		tried = append(tried, address)
		part.attempts++
	}
	switch {
	case req.answered:
	case callerContext.Err() != nil:
		e.failCallerGone(req, out, part.headSent)
	case part.headSent:
		e.recordOutcome(req, outcomeCut, failure)
		out.Abort()
	default:
		e.fail(req, out, failure)
	}
}

// findProxy returns the address of a daemon to serve a request, and waits for one until proxySearchTimeout while any
// is known; empty if there is none.
func (e *Edge) findProxy(ctx context.Context, req *requestState, tried []string) string {
	deadline := time.Now().Add(proxySearchTimeout)
	if req.deadline.Before(deadline) {
		deadline = req.deadline
	}
	for {
		now := time.Now()
		address, known := e.proxies.take(now, tried)
		if address != "" || !known || !now.Before(deadline) {
			return address
		}
		select {
		case <-ctx.Done():
			return ""
		case <-time.After(proxySearchInterval):
		}
	}
}

// isRefusal reports whether a daemon refused a request for a reason that other daemons need not have.
func isRefusal(r verdt.Reason) bool {
	switch r {
	case verdt.Unreachable, verdt.Stopping, verdt.SettingsStale, verdt.UnknownModel, verdt.UnknownService, verdt.PeerLost:
		return true
	default:
		return false
	}
}

// serveByProxy lets one other daemon serve a request, and returns why it did not, or nil once the answer has ended.
func (e *Edge) serveByProxy(ctx context.Context, req *requestState, rule *setts.RouteRule, part *proxiedPart, address string, out AnswerWriter) *verdt.Error {
	now := time.Now()
	stream, err := e.proxies.client.OpenProxy(ctx, address, ProxyRequest{
		ID: req.in.ID, Method: req.in.Method, Target: req.in.Target, Host: req.in.Host, Header: req.in.Header, Body: req.in.Body, Team: req.in.Team,
		Priority: req.in.Priority, AtMostOnce: req.in.AtMostOnce, Service: req.service, Streamed: part.streamed, PromptTokens: req.in.PromptTokens,
		MaxTokens: req.in.MaxTokens, Parts: req.in.Parts, From: part.from, MaxAttempts: max(1, rule.MaxAttempts-part.attempts),
		TimeLeft: req.deadline.Sub(now), TargetLatency: rule.TargetLatency, Route: rule.Name,
		LengthHint: req.in.LengthHint,
	})
	if err != nil {
		return verdt.New(verdt.NotRun, verdt.PeerLost, err.Error())
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, stream.Close)
	defer stop()
	var lastEvent time.Time
	for {
		limit := time.Now().Add(proxySilenceTimeout)
		if last := req.deadline.Add(proxyDeadlineSlack); last.Before(limit) {
			limit = last
		}
		frame, err := stream.Next(limit)
		if err != nil && !time.Now().Before(req.deadline) {
			return verdt.New(verdt.MayHaveRun, verdt.DeadlinePassed, "the deadline passed")
		}
		if err != nil {
			return verdt.New(verdt.MayHaveRun, verdt.PeerLost, "the daemon that served the request was lost: "+err.Error())
		}
		if frame.Head != nil && !part.headSent {
			part.headSent = true
			if err := out.Begin(model.AnswerHead{Status: frame.Head.Status, Header: frame.Head.Header}); err != nil {
				return verdt.New(verdt.Ran, verdt.CallerGone, err.Error())
			}
		}
		if err := e.forwardProxied(req, frame.Events, &lastEvent, part, out); err != nil {
			return verdt.New(verdt.Ran, verdt.CallerGone, err.Error())
		}
		switch {
		case frame.Complete:
			req.answered = true
			e.recordOutcome(req, "whole", nil)
			out.Complete()
			return nil
		case frame.Answer != nil && part.headSent:
			return verdt.New(verdt.Ran, verdt.StageFailed, "a server answered "+strconv.Itoa(frame.Answer.Status)+" instead of the rest of the stream")
		case frame.Answer != nil:
			req.answered = true
			e.recordOutcome(req, "answered", nil)
			out.Answer(*frame.Answer)
			return nil
		case frame.Failure != nil:
			return frame.Failure.failure(time.Now())
		}
	}
}

// forwardProxied sends events from another daemon to the caller.
func (e *Edge) forwardProxied(req *requestState, events []string, lastEvent *time.Time, part *proxiedPart, out AnswerWriter) error {
	if len(events) == 0 {
		return nil
	}
	e.recordTiming(req, time.Now(), lastEvent)
	for _, text := range events {
		if err := out.Event(text); err != nil {
			return err
		}
	}
	part.from += len(events)
	req.eventCount += len(events)
	return out.Flush()
}

// ServeProxied serves a request of another daemon, which this one must not pass on again. write sends one frame
// of the answer.
func (e *Edge) ServeProxied(ctx context.Context, q *ProxyRequest, write func(ProxyFrame) error) {
	e.running.Add(1)
	defer e.running.Add(-1)
	now := time.Now()
	refuse := func(reason verdt.Reason, message string) {
		// The other daemon notices by itself that the answer was lost.
		_ = write(ProxyFrame{Failure: newProxyFailure(now, verdt.New(verdt.NotRun, reason, message, verdt.RetryAt(now.Add(proxyRefusedPause))))})
	}
	table := e.table.Load()
	switch {
	case e.stopping.Load():
		refuse(verdt.Stopping, "this daemon is stopping")
		return
	case table == nil:
		refuse(verdt.SettingsStale, "this daemon has no settings yet")
		return
	case q.Service == "" || q.MaxAttempts < 1 || q.TimeLeft <= 0 || q.From < 0 || q.PromptTokens < 0 || q.MaxTokens < 0:
		refuse(verdt.BadRequest, "the request lacks its service, attempts or time, or has a negative number")
		return
	}
	service, known := table.Routing.Services[q.Service]
	if !known || (service.Engine != nil) != q.Streamed {
		refuse(verdt.UnknownService, "this daemon does not know the service")
		return
	}
	bodyBytes := int64(len(q.Body))
	requests, bytes := e.proxiedIn.Add(1), e.proxiedBytes.Add(bodyBytes)
	defer e.proxiedIn.Add(-1)
	defer e.proxiedBytes.Add(-bodyBytes)
	if requests > maxProxiedRequests || bytes > maxProxiedBytes {
		refuse(verdt.Unreachable, "this daemon serves too many requests of others")
		return
	}
	in := &InboundRequest{PromptTokens: q.PromptTokens, MaxTokens: q.MaxTokens, Parts: q.Parts, From: q.From, LengthHint: q.LengthHint}
	in.ID, in.Method, in.Target, in.Host, in.Header, in.Body = q.ID, q.Method, q.Target, q.Host, q.Header, q.Body
	in.Team, in.Priority = q.Team, q.Priority
	in.Digest = engine.DigestOf(&in.Origin)
	req := &requestState{in: in, arrived: now, revision: table.Routing.Revision, route: q.Route, service: q.Service, deadline: now.Add(q.TimeLeft), proxied: true}
	rule := &setts.RouteRule{Name: q.Route, TargetLatency: q.TargetLatency, MaxAttempts: q.MaxAttempts, Repetition: setts.Idempotent, Resumable: true}
	if q.AtMostOnce {
		rule.Repetition = setts.Once
	}
	out := newFrameWriter(ctx, write)
	defer out.stop()
	if q.Streamed {
		e.serveStream(ctx, req, rule, out)
		return
	}
	e.serveRelayed(ctx, req, rule, out)
}

// relayRetry returns a function that takes retries of a request to a plain service.
func (e *Edge) relayRetry(r *relay.Request) func(bool) bool {
	return func(bool) bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.relayState.TakeRetry(time.Now(), r)
	}
}

// streamRetry returns a function that takes retries of a request to model engines.
func (e *Edge) streamRetry(name string) func(bool) bool {
	return func(begun bool) (taken bool) {
		e.streams.View(func(c *core.Core) { taken = c.TakeRetry(time.Now(), name, begun) })
		return taken
	}
}
