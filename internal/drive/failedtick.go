package drive

import (
	"time"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/evlog"
	"bulrushpond.example/bulrushpond/internal/guard"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

const (
	// failedTickPause is how long after a failed tick the next one comes at the latest.
	failedTickPause = 20 * time.Millisecond
	// maxFailedTicks is how many ticks may fail in a row until the requests that wait are given up, and twice as many until
	// all requests are: the one that makes them fail need not have an event in them.
	maxFailedTicks = 3
)

// recoverTick ends the requests for which a tick that panicked may have left something undone, and returns when the next
// tick is due. What the tick had decided before is carried out. The caller holds mu.
func (s *StreamExecutor) recoverTick(now time.Time, in *msgs.Inbox, cause error) time.Time {
	s.failedTicks++
	s.log.Error(cause, evlog.TickFailed, "in_a_row", s.failedTicks, "pending", len(s.pending))
	if err := guard.Run(s.execute); err != nil {
		s.log.Error(err, evlog.TickFailed, "in_a_row", s.failedTicks, "pending", len(s.pending))
	}
	for _, id := range s.unsettled(in) {
		s.giveUp(now, id)
	}
	return now.Add(failedTickPause)
}

// unsettled returns the requests that a failed tick with the given events may have left undone. The caller holds mu.
func (s *StreamExecutor) unsettled(in *msgs.Inbox) []model.RequestID {
	var ids []model.RequestID
	for _, a := range in.Arrivals {
		ids = append(ids, a.ID)
	}
	for _, tok := range in.Tokens {
		ids = append(ids, tok.Request)
	}
	for _, e := range in.Ends {
		ids = append(ids, e.Request)
	}
	ids = append(ids, in.CallerGone...)
	for id, pending := range s.pending {
		waits := pending.cancel == nil
		if s.failedTicks >= 2*maxFailedTicks || s.failedTicks >= maxFailedTicks && waits {
			ids = append(ids, id)
		}
	}
	return ids
}

// giveUp fails a request without the core, which forgets it at its next tick. A request without a stream has not run and
// will not. The caller holds mu.
func (s *StreamExecutor) giveUp(now time.Time, id model.RequestID) {
	pending := s.pending[id]
	if pending == nil {
		return
	}
	verdict := verdt.NotRun
	if pending.cancel != nil {
		pending.cancel()
		verdict = verdt.MayHaveRun
	}
	pending.reply.end(msgs.Finish{Request: id, Failure: verdt.New(verdict, verdt.Internal, "this daemon could not decide on the request", verdt.RetryAt(now.Add(failedTickPause)))}, nil)
	delete(s.pending, id)
	s.CallerGone(id)
}
