package drive

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/internal/core"
	"bulrushpond.example/bulrushpond/internal/core/retry"
)

// RetryDemands returns what this daemon wants of the retry budgets of all services, sorted by service.
func (e *Edge) RetryDemands(now time.Time) (demands []retry.Demand) {
	e.streams.View(func(c *core.Core) { demands = c.RetryDemands(now) })
	e.mu.Lock()
	defer e.mu.Unlock()
	demands = append(demands, e.relayState.RetryDemands(now)...)
	slices.SortFunc(demands, func(a, b retry.Demand) int { return cmp.Compare(a.Service, b.Service) })
	return demands
}

// ApplyRetryGrants applies the shares of the retry budgets that answer a report made at a time.
func (e *Edge) ApplyRetryGrants(reportedAt time.Time, g retry.Grants) {
	e.streams.View(func(c *core.Core) { c.ApplyRetryGrants(reportedAt, g) })
	e.mu.Lock()
	defer e.mu.Unlock()
	e.relayState.ApplyRetryGrants(reportedAt, g)
}

// RetryUsage returns how the retry budgets of all services were used.
func (e *Edge) RetryUsage(now time.Time) map[string]retry.Usage {
	usage := map[string]retry.Usage{}
	e.streams.View(func(c *core.Core) { maps.Copy(usage, c.RetryUsage(now)) })
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.Copy(usage, e.relayState.RetryUsage(now))
	return usage
}
