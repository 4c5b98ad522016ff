package core

import (
	"time"

	"bulrushpond.example/bulrushpond/internal/core/retry"
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
