package core

import (
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/reach"
	"bulrushpond.example/bulrushpond/internal/core/table"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

const (
	// proxyAfterSilence is how long a stream must have got no token to be served by another daemon because
	// its model is cut off. Connections may live on while new ones fail.
	proxyAfterSilence = 250 * time.Millisecond
	// cutOffRetryAfter is the retry delay given to callers of requests that no daemon takes.
	cutOffRetryAfter = time.Second
)

// ReachProbes returns the probes that are due of models that may be cut off. Their results come back in
// Inbox.ReachProbes.
func (c *Core) ReachProbes(now time.Time) []reach.Probe {
	type silence struct {
		requests int
		since    time.Time
	}
	silences := map[string]silence{}
	for r := range c.requests.All() {
		if r.Phase != table.Running {
			continue
		}
		s := silences[r.Model]
		if s.requests++; s.requests == 1 || r.LastActivityAt.Before(s.since) {
			s.since = r.LastActivityAt
		}
		silences[r.Model] = s
	}
	for name, s := range silences {
		if heardAt := c.heardAt[name]; heardAt.After(s.since) {
			s.since = heardAt
		}
		c.reach.SuspectIfSilent(now, name, s.requests, s.since)
	}
	return c.reach.Probes(now, c.liveServers)
}

// SuspectCutOff makes the next ReachProbes probe the engines of a model.
func (c *Core) SuspectCutOff(name string) { c.reach.Suspect(name) }

// CutOff returns the models that this daemon does not reach, sorted.
func (c *Core) CutOff() []string { return c.reach.Services() }

// liveServers returns the listed engines of a model that are not leaving.
func (c *Core) liveServers(name string) []model.Member {
	var members []model.Member
	for _, id := range c.servers.IDs() {
		if s := c.servers.Get(id); s.Report.Model == name && c.mayServeAgain(id) {
			members = append(members, model.Member{ID: string(id), Address: s.Address})
		}
	}
	return members
}

// applyReach applies the results of probes, and whether other daemons serve what this one does not reach.
func (c *Core) applyReach(now time.Time, in *msgs.Inbox, out *msgs.Outbox) {
	for _, e := range in.Ends {
		if r := c.requests.Get(e.Request); e.NotConnected && r != nil {
			c.reach.Suspect(r.Model)
		}
	}
	for _, result := range in.ReachProbes {
		if c.reach.Apply(now, result) {
			kind := msgs.ServiceReached
			if c.reach.CutOff(result.Service) {
				kind = msgs.ServiceCutOff
				c.crash.WithdrawSince(now.Add(-reach.DetectionTime))
				c.requestCrash.WithdrawSince(now.Add(-reach.DetectionTime))
			}
			out.Notify(msgs.Notice{Kind: kind, Detail: result.Service})
		}
	}
	if in.HasProxies != nil {
		c.hasProxies = *in.HasProxies
	}
}

// usesProxies reports whether other daemons have to serve the requests to a model.
func (c *Core) usesProxies(name string) bool { return c.hasProxies && c.reach.CutOff(name) }

// useProxies ends the requests that other daemons have to serve, since their model is cut off here. Streams
// that still get tokens stay. A request that may have run and must not run twice stays as well.
func (c *Core) useProxies(now time.Time, out *msgs.Outbox) {
	cutOff := c.reach.Services()
	if len(cutOff) == 0 {
		return
	}
	var ids []model.RequestID
	for r := range c.requests.All() {
		if slices.Contains(cutOff, r.Model) && (r.Proxied || c.usesProxies(r.Model)) {
			ids = append(ids, r.ID)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		c.useProxy(now, c.requests.Get(id), out)
	}
}

// useProxy ends a request that another daemon has to serve, unless it has to stay.
func (c *Core) useProxy(now time.Time, r *table.Request, out *msgs.Outbox) {
	running := r.Phase == table.Running
	if running {
		if now.Sub(r.LastActivityAt) < proxyAfterSilence {
			return
		}
		if r.AtMostOnce || c.mayCrash(now, r) {
			return
		}
	}
	// A request that no server can have got is not sent again.
	mayHaveArrived := running || r.Verdict != verdt.NotRun
	if !r.Proxied && mayHaveArrived && c.budget != nil && !c.budget.TryTake(now, r.Model, budgetShare(r)) {
		return
	}
	attempts := len(r.FirstServers)
	if r.Phase == table.Queued {
		c.admit.Withdraw(r)
	}
	next, proxied := r.Next, r.Proxied
	c.recov.FailRequestUntil(r, verdt.Unreachable, "this daemon has no connection to the servers", now.Add(cutOffRetryAfter), c.tables, out)
	finish := &out.Finishes[len(out.Finishes)-1]
	finish.Proxy, finish.Next, finish.Attempts = !proxied, next, attempts
}

// refuseProxied refuses a request of another daemon whose model this daemon does not reach either; nil if it does.
func (c *Core) refuseProxied(now time.Time, a msgs.Arrival) *verdt.Error {
	if !a.Proxied || !c.reach.CutOff(a.Model) {
		return nil
	}
	return verdt.New(verdt.NotRun, verdt.Unreachable, "this daemon has no connection to the servers", verdt.RetryAt(now.Add(cutOffRetryAfter)))
}

// TakeRetry takes one retry of a request to a model from the retry budget, for a request that another daemon
// did not serve to its end, and reports whether there is room.
func (c *Core) TakeRetry(now time.Time, name string, begun bool) bool {
	share := noOutputBudgetShare
	if begun {
		share = 1
	}
	return c.budget == nil || c.budget.TryTake(now, name, share)
}
