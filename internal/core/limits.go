package core

import (
	"time"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/table"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// limitedMessage is sent to callers whose requests only servers at their limits could serve.
const limitedMessage = "all backend servers that could serve the request are at the limit that they named"

// applyLimits applies what servers said about their limits, to this daemon or to others, and this daemon's
// shares of the limits.
func (c *Core) applyLimits(now time.Time, in *msgs.Inbox, out *msgs.Outbox) {
	known := func(id model.ServerID) bool { return c.servers.Get(id) != nil }
	for _, s := range in.Limits {
		if known(s.Server) && c.servers.Limits.Record(now, s) {
			out.Notify(msgs.Notice{Kind: msgs.ServerLimited, Server: s.Server, Detail: s.String()})
		}
	}
	if in.OthersUntil.IsZero() {
		return
	}
	for _, s := range c.servers.Limits.Apply(now, in.Others.Limits, known) {
		out.Notify(msgs.Notice{Kind: msgs.ServerLimited, Server: s.Server, Detail: s.String() + ", said to another daemon"})
	}
}

// refuseLimited returns the failure of a new request if so many wait for servers at their limits that its
// first token would come too late, or nil.
func (c *Core) refuseLimited(now time.Time, a msgs.Arrival) *verdt.Error {
	q := c.admit.Queues[a.Model]
	if q == nil || !q.Limited || q.Length == 0 || a.FirstTokenDeadline.IsZero() {
		return nil
	}
	ids := c.servers.LimitedFirst(now, a.Model)
	if len(ids) == 0 || c.limitedWait(now, ids, q.Length+1) <= a.FirstTokenDeadline.Sub(now) {
		return nil
	}
	return verdt.New(verdt.NotRun, verdt.Overloaded, limitedMessage, verdt.RetryAt(c.servers.Limits.RetryAt(now, a.Model, ids)))
}

// limitedWait returns the time after which the limits of servers have allowed this daemon n requests.
func (c *Core) limitedWait(now time.Time, ids []model.ServerID, n int) time.Duration {
	rate := c.servers.Limits.RateOf(now, ids)
	if rate <= 0 {
		return time.Hour
	}
	return time.Duration(min(float64(n)/rate, time.Hour.Seconds()) * float64(time.Second))
}

// failIfLimitedBeyond fails a request that only servers at their limits could serve if these will not allow it
// before a time, and reports whether it did.
func (c *Core) failIfLimitedBeyond(now time.Time, r *table.Request, until time.Time, out *msgs.Outbox) bool {
	ids := c.servers.LimitedFirst(now, r.Model)
	if now.Add(c.limitedWait(now, ids, 1)).Before(until) {
		return false
	}
	c.failLimited(now, r, ids, out)
	return true
}

// failLimited fails a request that only servers at their limits could serve.
func (c *Core) failLimited(now time.Time, r *table.Request, ids []model.ServerID, out *msgs.Outbox) {
	if r.Phase == table.Queued {
		c.admit.Withdraw(r)
	}
	c.recov.FailRequestUntil(r, verdt.Overloaded, limitedMessage, c.servers.Limits.RetryAt(now, r.Model, ids), c.tables, out)
}
