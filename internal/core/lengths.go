package core

import (
	"time"

	"bulrushpond.example/bulrushpond/internal/core/length"
	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/table"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// LengthMetrics returns the metrics of the estimates of answers' lengths.
func (c *Core) LengthMetrics() length.Metrics { return c.lengths.Metrics() }

// lengthRequest returns the properties of a request that its estimate depends on.
func lengthRequest(a msgs.Arrival) length.Request {
	return length.Request{Service: a.Model, Route: a.Route, Hint: a.LengthHint, MaxTokens: a.MaxTokens}
}

// applyLengths takes over what the configuration says about answers, and what the other daemons saw.
func (c *Core) applyLengths(in *msgs.Inbox) {
	for _, r := range in.Reports {
		if r.AnswerTokens > 0 || r.TokensPerEvent > 0 {
			c.lengths.SetProfile(r.Model, length.Profile{MeanTokens: r.AnswerTokens, TokensPerEvent: r.TokensPerEvent})
		}
	}
	if !in.OthersUntil.IsZero() {
		c.lengths.SetOthers(in.Others.Lengths)
	}
}

// estimateLength estimates the answer to a request that was admitted.
func (c *Core) estimateLength(a msgs.Arrival) {
	r := c.requests.Get(a.ID)
	expected, ok := c.lengths.Arrive(lengthRequest(a))
	if r == nil || !ok {
		return
	}
	r.Expected = expected
	c.setHeld(r)
}

// setHeld sets the number of cache tokens that a request is expected to hold.
func (c *Core) setHeld(r *table.Request) {
	perEvent := c.lengths.TokensPerEvent(r.Model)
	r.Held = c.lengths.Held(lengthRequest(r.Arrival), r.Expected, r.PromptTokens, r.Next*perEvent)
	r.HeldUntil = r.Next + max(1, length.HeldStep/perEvent)
}

// handleToken processes a token of a stream. It follows answers to learn their lengths, and corrects the room
// that is reserved for a stream that goes on.
func (c *Core) handleToken(now time.Time, tok model.Token, out *msgs.Outbox) {
	r := c.requests.Get(tok.Request)
	first := r != nil && r.Next == 0
	c.recov.HandleToken(now, tok, c.tables, out)
	if r == nil {
		return
	}
	switch {
	case !c.inProgress(r.ID):
		c.lengths.End(r.ID, r.Model, r.Next*c.lengths.TokensPerEvent(r.Model), c.inProgress)
	case first && r.Next == 1:
		// An answer that a caller resumes is not learned: how long it was before is only what the caller says.
		c.lengths.Begin(r.ID, lengthRequest(r.Arrival), r.Expected)
	case r.Held > 0 && r.Next >= r.HeldUntil:
		c.setHeld(r)
		c.servers.Correct(r, r.Held)
		c.lengths.CountCorrection()
	}
}

func (c *Core) inProgress(id model.RequestID) bool { return c.requests.Get(id) != nil }
