package core

import (
	"time"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/retry"
	"bulrushpond.example/bulrushpond/internal/core/table"
)

// RetryDemands returns what this daemon wants of the models' retry budgets, sorted by model.
func (c *Core) RetryDemands(now time.Time) []retry.Demand {
	if c.budget == nil {
		return nil
	}
	return c.budget.Demands(now)
}

// ApplyRetryGrants applies the shares of the retry budgets that answer a report made at a time.
func (c *Core) ApplyRetryGrants(reportedAt time.Time, g retry.Grants) {
	if c.budget != nil {
		c.budget.ApplyGrants(reportedAt, g)
	}
}

// RetryUsage returns how the models' retry budgets were used.
func (c *Core) RetryUsage(now time.Time) map[string]retry.Usage {
	if c.budget == nil {
		return nil
	}
	return c.budget.Usage(now)
}

// giveBackRetry takes a retry that reached no server out of the retry budget. It must be called before the end is
// handled.
func (c *Core) giveBackRetry(now time.Time, e msgs.StreamEnd) {
	r := c.requests.Get(e.Request)
	if c.budget == nil || !e.NotConnected || r == nil || r.Phase != table.Running || e.Epoch != r.Epoch || r.Epoch == 1 {
		return
	}
	c.budget.GiveBack(now, r.Model, r.LastActivityAt)
}

// noOutputBudgetShare is the share of the budget available to requests that have not sent a
// token to their caller. Such a caller can be told to retry later, while a started
// stream that is not retried is cut off.
const noOutputBudgetShare = 0.5

// budgetShare returns the share of the budget that a request may use, in 0..1.
func budgetShare(r *table.Request) float64 {
	if hasOutput(r) {
		return 1
	}
	return noOutputBudgetShare
}

// hasOutput reports whether the caller was sent a token in answer to this request.
func hasOutput(r *table.Request) bool { return r.Next > r.From }
