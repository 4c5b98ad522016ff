package relay

import (
	"time"

	"bulrushpond.example/bulrushpond/internal/core/retry"
)

// RetryDemands returns what this daemon wants of the services' retry budgets, sorted by service.
func (st *State) RetryDemands(now time.Time) []retry.Demand { return st.budget.Demands(now) }

// ApplyRetryGrants applies the shares of the retry budgets that answer a report made at a time.
func (st *State) ApplyRetryGrants(reportedAt time.Time, g retry.Grants) {
	st.budget.ApplyGrants(reportedAt, g)
}

// RetryUsage returns how the services' retry budgets were used.
func (st *State) RetryUsage(now time.Time) map[string]retry.Usage { return st.budget.Usage(now) }
