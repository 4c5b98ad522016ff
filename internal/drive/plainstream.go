package drive

import (
	"context"
	"errors"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/relay"
	"bulrushpond.example/bulrushpond/internal/engine"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// streamAttempt lets one server of a plain service stream its answer to the caller. begun is set once the caller got the
// head of the answer, which no other server may go on with. Otherwise the result is that of sendAttempt.
func (e *Edge) streamAttempt(ctx context.Context, req *requestState, attempt relay.Attempt, out AnswerWriter) (answer *engine.Answer, outcome relay.Outcome, begun bool) {
	ctx, cancelAtEnd := e.untilEnd(ctx)
	defer cancelAtEnd()
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	var lastEvent time.Time
	var sendErr error
	err := e.streamRelay.Open(ctx, engine.Stream{
		Route:  model.Route{Hops: []model.Hop{{Server: model.ServerID(attempt.Server.ID), Address: attempt.Server.Address, Span: model.Span{To: 1}}}},
		Origin: &req.in.Origin, From: req.in.From, MaxTokens: req.in.MaxTokens, Deadline: req.deadline,
	}, func(tok model.Token) {
		if sendErr != nil {
			return
		}
		if !tok.End {
			e.recordTiming(req, time.Now(), &lastEvent)
		}
		if sendErr = e.forwardEvents(req, []model.Token{tok}, &begun, out); sendErr != nil {
			// The caller has gone.
			cancel()
		}
	})
	if err == nil {
		return nil, relay.Outcome{}, begun
	}
	outcome.Failure = verdt.AsError(err, verdt.MayHaveRun)
	var answerErr *engine.AnswerError
	if errors.As(err, &answerErr) {
		outcome.ConnectionLost, outcome.NotConnected = answerErr.ConnectionLost, answerErr.NotConnected
		if answerErr.Answer != nil && !begun {
			return answerErr.Answer, relay.Outcome{Faulty: answerErr.Answer.Status >= 500}, false
		}
	}
	return nil, outcome, begun
}

// finishPlainStream ends a streamed answer of a plain service that the caller got the head of.
func (e *Edge) finishPlainStream(ctx context.Context, req *requestState, failure *verdt.Error, out AnswerWriter) {
	switch {
	case failure == nil:
		e.recordOutcome(req, "whole", nil)
		out.Complete()
	case ctx.Err() != nil:
		e.failCallerGone(req, out, true)
	default:
		e.recordOutcome(req, outcomeCut, failure)
		out.Abort()
	}
}
