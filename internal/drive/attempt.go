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

// sendAttempt sends a request to one server. A slow attempt ends early if the request can be sent to
// another server; otherwise the server's answer is awaited.
func (e *Edge) sendAttempt(ctx context.Context, req *requestState, rule *setts.RouteRule, relayReq *relay.Request, attempt relay.Attempt) (*engine.Answer, *verdt.Error) {
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	ctx, cancelSlow := context.WithCancelCause(ctx)
	if relayReq.Repeatable && relayReq.Attempts < relayReq.MaxAttempts {
		watched := make(chan struct{})
		go func() {
			defer close(watched)
			e.cancelSlowAttempt(ctx, cancelSlow, relayReq, attempt.Began.Add(attemptTargetFactor*rule.TargetLatency))
		}()
		defer func() { <-watched }()
	}
	defer cancelSlow(nil)
	answer, err := e.relaySender.Send(ctx, attempt.Server, req.in.Origin, req.deadline)
	if err == nil {
		return &answer, nil
	}
	if errors.Is(context.Cause(ctx), errSlowAttempt) {
		return nil, verdt.New(verdt.MayHaveRun, verdt.StageFailed, errSlowAttempt.Error(), verdt.Server(attempt.Server.ID))
	}
	return nil, verdt.AsError(err, verdt.MayHaveRun)
}

// cancelSlowAttempt cancels an attempt at the given time, or later as soon as the request can be
// sent to another server. It returns when the attempt has ended.
func (e *Edge) cancelSlowAttempt(ctx context.Context, cancel context.CancelCauseFunc, relayReq *relay.Request, at time.Time) {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		e.mu.Lock()
		canRetry := e.relayState.CanRetry(time.Now(), relayReq)
		e.mu.Unlock()
		if canRetry {
			cancel(errSlowAttempt)
			return
		}
		timer.Reset(slowAttemptInterval)
	}
}
