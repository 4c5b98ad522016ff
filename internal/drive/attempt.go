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
// another server; next is the attempt there then, which is already counted. Otherwise the server's answer
// is awaited. connectionLost reports whether the server ended the connection within its answer.
func (e *Edge) sendAttempt(ctx context.Context, req *requestState, rule *setts.RouteRule, relayReq *relay.Request, attempt relay.Attempt) (answer *engine.Answer, failure *verdt.Error, connectionLost bool, next *relay.Attempt) {
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	ctx, cancelSlow := context.WithCancelCause(ctx)
	replacement := make(chan *relay.Attempt, 1)
	if relayReq.Repeatable && relayReq.Attempts < relayReq.MaxAttempts {
		go func() {
			replacement <- e.replaceSlowAttempt(ctx, cancelSlow, relayReq, attempt.Began.Add(attemptTargetFactor*rule.TargetLatency))
		}()
	} else {
		replacement <- nil
	}
	received, err := e.relaySender.Send(ctx, attempt.Server, req.in.Origin, req.deadline)
	cancelSlow(nil)
	next = <-replacement
	switch {
	case err == nil && next != nil:
		// The answer came while the attempt was replaced.
		e.withdrawAttempt(relayReq, next)
		return &received, nil, false, nil
	case err == nil:
		return &received, nil, false, nil
	case next != nil:
		return nil, verdt.New(verdt.MayHaveRun, verdt.StageFailed, errSlowAttempt.Error(), verdt.Server(attempt.Server.ID)), false, next
	}
	var answerErr *engine.AnswerError
	if errors.As(err, &answerErr) {
		connectionLost = answerErr.ConnectionLost
	}
	return nil, verdt.AsError(err, verdt.MayHaveRun), connectionLost, nil
}

// replaceSlowAttempt starts the next attempt of a request at the given time, or later as soon as there is
// another server and room in the retry budget, and cancels the slow one then. It returns nil if the
// slow attempt ends before.
func (e *Edge) replaceSlowAttempt(ctx context.Context, cancel context.CancelCauseFunc, relayReq *relay.Request, at time.Time) *relay.Attempt {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		if next := e.replacement(relayReq); next != nil {
			cancel(errSlowAttempt)
			return next
		}
		timer.Reset(slowAttemptInterval)
	}
}

// replacement starts the next attempt of a request at a server that it was not sent to, or returns nil if
// that is not possible.
func (e *Edge) replacement(relayReq *relay.Request) *relay.Attempt {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if !e.relayState.CanRetry(now, relayReq) {
		return nil
	}
	next, failure := e.relayState.Next(now, relayReq)
	if failure != nil {
		return nil
	}
	return &next
}
