package drive

import (
	"context"
	"errors"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/relay"
	"bulrushpond.example/bulrushpond/internal/engine"
	"bulrushpond.example/bulrushpond/pkg/setts"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

const (
	// attemptTargetFactor is how long an attempt may take before the request is sent to another
	// server, as a multiple of the time to the first byte that the route's callers expect.
	attemptTargetFactor = 2
	// slowAttemptInterval is how often a slow attempt is checked for another server.
	slowAttemptInterval = 50 * time.Millisecond
)

// errSlowAttempt is the cause for which an attempt is cancelled when another server can serve
// the request.
var errSlowAttempt = errors.New("the server took too long")

// startAttempt returns next, or starts the next attempt of a request if next is nil.
func (e *Edge) startAttempt(relayReq *relay.Request, next *relay.Attempt) (relay.Attempt, *verdt.Error) {
	if next != nil {
		return *next, nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.relayState.Next(time.Now(), relayReq)
}

// recordAttempt records the outcome of an attempt and reports whether the request may be sent again. It
// completes the failure of a request that may not.
func (e *Edge) recordAttempt(relayReq *relay.Request, attempt relay.Attempt, outcome relay.Outcome) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.relayState.RecordOutcome(time.Now(), relayReq, attempt, outcome) {
		return true
	}
	if f := outcome.Failure; f != nil {
		f.Verdict = relayReq.Verdict
		if f.Verdict == verdt.NotRun {
			f.RetryAt = e.relayState.RetryAt(time.Now(), relayReq.Service)
		}
	}
	return false
}

// withdrawAttempt takes back an attempt that was not sent; nil for none.
func (e *Edge) withdrawAttempt(relayReq *relay.Request, next *relay.Attempt) {
	if next == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.relayState.Withdraw(relayReq, *next)
}

// sendAttempt sends a request to one server. A slow attempt ends early if the request can be sent to
// another server, or to another daemon because the service is cut off; next is the attempt at that server then, which
// is already counted. Otherwise the server's answer is awaited.
func (e *Edge) sendAttempt(ctx context.Context, req *requestState, rule *setts.RouteRule, relayReq *relay.Request, attempt relay.Attempt) (*engine.Answer, relay.Outcome, *relay.Attempt) {
	ctx, cancelAtEnd := e.untilEnd(ctx)
	defer cancelAtEnd()
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	ctx, cancelSlow := context.WithCancelCause(ctx)
	replacement := make(chan *relay.Attempt, 1)
	if relayReq.Repeatable {
		go func() {
			replacement <- e.replaceSlowAttempt(ctx, cancelSlow, relayReq, attempt.Began.Add(attemptTargetFactor*rule.TargetLatency))
		}()
	} else {
		replacement <- nil
	}
	received, err := e.relaySender.Send(ctx, attempt.Server, req.in.Origin, req.deadline)
	slow := errors.Is(context.Cause(ctx), errSlowAttempt)
	cancelSlow(nil)
	next := <-replacement
	switch {
	case err == nil && next != nil:
		// The answer came while the attempt was replaced.
		e.withdrawAttempt(relayReq, next)
		return &received, relay.Outcome{Faulty: received.Status >= 500}, nil
	case err == nil:
		return &received, relay.Outcome{Faulty: received.Status >= 500}, nil
	case next != nil || slow:
		return nil, relay.Outcome{Failure: verdt.New(verdt.MayHaveRun, verdt.StageFailed, errSlowAttempt.Error(), verdt.Server(attempt.Server.ID))}, next
	}
	outcome := relay.Outcome{Failure: verdt.AsError(err, verdt.MayHaveRun)}
	var answerErr *engine.AnswerError
	if errors.As(err, &answerErr) {
		outcome.ConnectionLost, outcome.NotConnected = answerErr.ConnectionLost, answerErr.NotConnected
	}
	return nil, outcome, nil
}

// replaceSlowAttempt starts the next attempt of a request at the given time, or later as soon as there is
// another server and room in the retry budget, and cancels the slow one then. It returns nil if the
// slow attempt ends before, or if another daemon has to serve the request.
func (e *Edge) replaceSlowAttempt(ctx context.Context, cancel context.CancelCauseFunc, relayReq *relay.Request, at time.Time) *relay.Attempt {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		next, ok := e.replacement(relayReq)
		if ok {
			cancel(errSlowAttempt)
			return next
		}
		timer.Reset(slowAttemptInterval)
	}
}

// replacement starts the next attempt of a request at a server that it was not sent to. It returns false if
// that is not possible, and no attempt if another daemon has to serve the request.
func (e *Edge) replacement(relayReq *relay.Request) (next *relay.Attempt, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if !e.relayState.CanRetry(now, relayReq) {
		return nil, false
	}
	if e.relayState.UsesProxy(relayReq) {
		return nil, e.relayState.TakeProxyRetry(now, relayReq)
	}
	started, failure := e.relayState.Next(now, relayReq)
	if failure != nil {
		return nil, false
	}
	return &started, true
}
