package drive

import (
	"context"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/crash"
	"bulrushpond.example/bulrushpond/internal/core/relay"
	"bulrushpond.example/bulrushpond/internal/engine"
	"bulrushpond.example/bulrushpond/internal/evlog"
	"bulrushpond.example/bulrushpond/pkg/setts"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// serveRelayed serves a request by a plain service, with retries as far as the route
// permits.
func (e *Edge) serveRelayed(ctx context.Context, req *requestState, rule *setts.RouteRule, out AnswerWriter) {
	req.in.AtMostOnce = rule.Repetition != setts.Idempotent
	relayReq := &relay.Request{
		Service: req.service, Repeatable: rule.Repetition == setts.Idempotent, Deadline: req.deadline, MaxAttempts: rule.MaxAttempts,
		Digest: req.in.Digest, Proxied: req.proxied,
	}
	e.countRelayed(req.arrived, relayReq)
	var lastAnswer *engine.Answer
	var next *relay.Attempt
	for {
		attempt, failure := e.startAttempt(relayReq, next)
		if failure != nil && failure.Reason == verdt.Unreachable && !req.proxied {
			e.serveByProxies(ctx, req, rule, &proxiedPart{takeRetry: e.relayRetry(relayReq)}, failure, out)
			return
		}
		if failure != nil {
			e.finishRelayed(req, lastAnswer, failure, out)
			return
		}
		req.attempts, req.server = relayReq.Attempts, attempt.Server.ID
		e.log.Info(evlog.RequestSent, "request", req.in.ID, "attempt", relayReq.Attempts, "server", attempt.Server.ID, "zone", attempt.Server.Zone,
			"in_progress", attempt.InProgress, "left_ms", time.Until(req.deadline).Milliseconds(), "digest", crash.FormatPart(req.in.Digest))
		var answer *engine.Answer
		var outcome relay.Outcome
		begun := false
		if rule.Repetition == setts.Streaming && e.streamRelay != nil {
			answer, outcome, begun = e.streamAttempt(ctx, req, attempt, out)
		} else {
			answer, outcome, next = e.sendAttempt(ctx, req, rule, relayReq, attempt)
		}
		if answer != nil {
			lastAnswer = answer
		}
		failure = outcome.Failure
		retry := e.recordAttempt(relayReq, attempt, outcome) || next != nil
		if e.hasEnded() && failure != nil {
			retry, failure = false, stoppingFailure(failure.Verdict.Merge(relayReq.Verdict))
			e.withdrawAttempt(relayReq, next)
		}
		if begun {
			e.finishPlainStream(ctx, req, failure, out)
			return
		}
		if ctx.Err() != nil {
			e.withdrawAttempt(relayReq, next)
			e.failCallerGone(req, out, false)
			return
		}
		if !retry {
			e.finishRelayed(req, lastAnswer, failure, out)
			return
		}
		e.log.Info(evlog.RequestRepeated, "request", req.in.ID, "server", attempt.Server.ID, "attempt", relayReq.Attempts, "faulty", outcome.Faulty, "failure", errorText(failure))
	}
}

// countRelayed counts a request towards the retry budget.
func (e *Edge) countRelayed(now time.Time, relayReq *relay.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.relayState.CountRequest(now, relayReq)
}

// finishRelayed ends a relayed request with the last answer of a server, or with the
// failure if there was none.
func (e *Edge) finishRelayed(req *requestState, lastAnswer *engine.Answer, failure *verdt.Error, out AnswerWriter) {
	if lastAnswer == nil {
		e.fail(req, out, failure)
		return
	}
	req.status = lastAnswer.Status
	e.recordOutcome(req, "answered", nil)
	out.Answer(*lastAnswer)
}

// errorText returns the text of a failure; empty for nil.
func errorText(f *verdt.Error) string {
	if f == nil {
		return ""
	}
	return f.Error()
}
