// Package core is the router's decision core, a deterministic state machine. Given the
// time and the events since the last tick, Tick returns the commands to execute. It uses no
// goroutines, clock, I/O or unseeded random numbers. The steps of a tick run over
// the tables in a fixed order, and its cost depends on the changes, not on the size
// of the tables.
package core

import (
	"maps"
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/admit"
	"bulrushpond.example/bulrushpond/internal/core/crash"
	"bulrushpond.example/bulrushpond/internal/core/drain"
	"bulrushpond.example/bulrushpond/internal/core/even"
	"bulrushpond.example/bulrushpond/internal/core/length"
	"bulrushpond.example/bulrushpond/internal/core/limit"
	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/ranks"
	"bulrushpond.example/bulrushpond/internal/core/reach"
	"bulrushpond.example/bulrushpond/internal/core/recov"
	"bulrushpond.example/bulrushpond/internal/core/retry"
	"bulrushpond.example/bulrushpond/internal/core/route"
	"bulrushpond.example/bulrushpond/internal/core/stall"
	"bulrushpond.example/bulrushpond/internal/core/table"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// dispatchRetryInterval is the time after which dispatching a backlog is retried without an
// event, since a server may get free capacity without an event in this daemon.
const dispatchRetryInterval = 50 * time.Millisecond

// layerChangeHold is how long an engine that changes its layers gets no new work after the
// last message that names it. The owner of the placement sends several a second.
const layerChangeHold = 600 * time.Millisecond

// sharedFullDuration is how long an engine that declined a request of one daemon counts as
// full for all daemons. It is somewhat longer than the interval between two exchanges.
const sharedFullDuration = 300 * time.Millisecond

// Core is the decision core of one daemon.
type Core struct {
	servers  *table.Servers
	requests *table.Requests
	picker   route.Picker
	settings *setts.EffectiveSettings
	// models maps the models in settings to their number of layers.
	models map[string]int
	admit  *admit.State
	drain  *drain.State
	recov  *recov.State
	// tables holds the tables that recov works on.
	tables recov.Tables
	stall  *stall.State
	crash  *crash.State
	// requestCrash holds what is known of whole requests that crash engines.
	requestCrash *crash.State
	reach        *reach.State
	lengths      *length.State
	// heardAt is when a stream of each model last got a token.
	heardAt map[string]time.Time
	// outageEnds holds when models without a chain are expected to have one again, as far as that is known.
	outageEnds map[string]time.Time
	// outageRefusals counts the requests that were refused because an outage lasts too long for them.
	outageRefusals int
	// hasProxies is set while other daemons serve the models that this one does not reach.
	hasProxies bool
	// crashMetrics.PartsBlockedNow and RequestBlocksNow are not kept here.
	crashMetrics CrashMetrics
	// budget bounds the retries of all requests; nil means that only each request's
	// own limit applies.
	budget *retry.Budget
	// paces finds slow engines; nil means that none is looked for.
	paces *even.Paces
	// daemons is the number of daemons that currently send work to the servers.
	daemons int
	// nextSwitchAt is the earliest time at which routes are searched again for stalled streams.
	nextSwitchAt time.Time
	// blocked is true if the last dispatch left requests for which no route was found.
	blocked bool
}

// Option configures a Core.
type Option func(*Core)

// WithPicker replaces the routing policy.
func WithPicker(p route.Picker) Option { return func(c *Core) { c.picker = p } }

// WithBudget bounds the retries of all requests. Without it, only each request's own
// limit applies.
func WithBudget(b *retry.Budget) Option { return func(c *Core) { c.budget = b } }

// WithStallCheck enables the detection of stalled engines. It sends Asks, which the
// engines must answer.
func WithStallCheck() Option { return func(c *Core) { c.stall = stall.New() } }

// WithAuthoritativeList lets a membership list without engines count. The source of the list then has to keep engines that
// are missing from it by mistake.
func WithAuthoritativeList() Option { return func(c *Core) { c.drain.ListIsAuthoritative = true } }

// WithSeed seeds the times of this daemon's requests to servers with limits, the choice of the servers
// that are probed, and the times at which refused requests come back by rank.
func WithSeed(seed uint64) Option {
	return func(c *Core) {
		c.servers.Limits, c.reach, c.admit.Ranks = limit.New(seed), reach.New(seed), ranks.New(seed)
	}
}

// New returns a core without servers and settings.
func New(opts ...Option) *Core {
	c := &Core{
		servers:  table.NewServers(),
		requests: table.NewRequests(),
		picker:   route.NewFlow(1),
		admit:    admit.New(),
		drain:    drain.New(),
		recov:    &recov.State{},
		crash:    crash.New(crash.PromptParts()),
		reach:    reach.New(1),
		lengths:  length.New(),
		heardAt:  map[string]time.Time{},
		daemons:  1,
	}
	c.requestCrash = crash.New(crash.Requests(), crash.WithExplanations(c.crash))
	for _, opt := range opts {
		opt(c)
	}
	c.tables = recov.Tables{Requests: c.requests, Servers: c.servers, Picker: c.picker, RequestEnded: c.admit.RequestEnded}
	return c
}

// Tick processes the events in the inbox and replaces the contents of out by the resulting
// commands. The order is: settings and servers, streams, prompt parts that crash engines, new
// requests, callers that left, the end of all requests, deadlines, leaving servers, stalled engines, requests for other daemons, and then the dispatch of
// requests that wait for a route.
func (c *Core) Tick(now time.Time, in *msgs.Inbox, out *msgs.Outbox) {
	out.Reset()
	c.applyState(now, in, out)
	c.applyReach(now, in, out)
	c.applyStreams(now, in, out)
	c.checkCrashes(now, out)
	c.applyArrivals(now, in, out)
	c.applyCallersGone(now, in, out)
	c.endAll(now, in, out)
	c.expire(now, out)
	c.moveFromLeaving(now)
	c.checkStalls(now, in, out)
	c.useProxies(now, out)
	c.dispatch(now, out)
	out.Wake = c.nextWake(now)
}

// applyState applies new settings, membership, reports and the state of the other daemons.
func (c *Core) applyState(now time.Time, in *msgs.Inbox, out *msgs.Outbox) {
	if in.Settings != nil && (c.settings == nil || in.Settings.Revision >= c.settings.Revision) {
		c.settings = in.Settings
		c.models = in.Settings.At(setts.Root).Models
		c.admit.Ranks.SetServices(in.Settings.Ranks)
		c.drain.ApplySettings(now, in.Settings, c.servers, out)
	}
	if in.List != nil {
		c.drain.ApplyList(now, in.List, c.servers, out)
	}
	for _, p := range in.Pauses {
		until := retry.PauseEnd(now, p.Until)
		if c.servers.Pause(p.Server, until) {
			out.Notify(msgs.Notice{Kind: msgs.ServerPaused, Server: p.Server, Detail: until.Sub(now).String()})
		}
	}
	c.applyLimits(now, in, out)
	c.applyLengths(in)
	for _, r := range in.Reports {
		c.drain.ApplyReport(now, r, c.servers, out)
	}
	if in.Daemons > 0 {
		c.admit.ApplyDaemons(now, in.Daemons)
		c.daemons = in.Daemons
		if c.budget != nil {
			c.budget.SetDaemons(now, in.Daemons)
		}
	}
	if in.BudgetDaemons > 0 && c.budget != nil {
		c.budget.SetDaemons(now, in.BudgetDaemons)
	}
	c.servers.Limits.SetDaemons(max(c.daemons, c.BudgetDaemons()))
	if !in.OthersUntil.IsZero() {
		c.servers.SetOthers(in.OthersUntil, in.Others)
		if c.paces != nil {
			c.paces.ApplyOthers(in.OthersUntil, in.Others.Slow)
		}
		c.admit.Ranks.SetOthers(now, in.OthersUntil, in.Others.Ranks)
		c.servers.Avoid(now.Add(layerChangeHold), in.Others.ReplacingLayers)
		c.moveFromReplacing(now, in.Others.ReplacingLayers)
		c.outageEnds = map[string]time.Time{}
		for _, o := range in.Others.Outages {
			c.outageEnds[o.Service] = now.Add(o.Left)
		}
		c.servers.MarkFull(now.Add(sharedFullDuration), in.Others.Full)
		c.crash.Apply(now, in.Others.Report())
		c.requestCrash.Apply(now, in.Others.ModelRequests)
		for _, id := range in.Others.Suspects {
			c.recov.Avoid(now, id, in.OthersUntil.Sub(now), c.tables, out)
			if s := c.servers.Get(id); s != nil {
				s.SuspectedByOthersUntil = in.OthersUntil
			}
		}
	}
	c.crash.ApplyStored(now, in.StoredBlocks)
	c.requestCrash.ApplyStored(now, in.StoredRequestBlocks)
	if in.Stop || in.End {
		c.admit.Stopping = true
	}
}

// applyStreams processes tokens and ends of streams.
func (c *Core) applyStreams(now time.Time, in *msgs.Inbox, out *msgs.Outbox) {
	t := c.tables
	for _, tok := range in.Tokens {
		c.recordOutput(now, tok)
		c.handleToken(now, tok, out)
	}
	for _, e := range in.Ends {
		c.giveBackRetry(now, e)
		crashed := c.recordCrash(now, e)
		c.recov.HandleStreamEnd(now, e, t, out)
		if crashed {
			c.failIfMayCrash(now, e.Request, out)
		}
	}
}

// applyCallersGone ends the requests of callers that closed their connections, those that arrived with the same tick
// included.
func (c *Core) applyCallersGone(now time.Time, in *msgs.Inbox, out *msgs.Outbox) {
	for _, id := range in.CallerGone {
		if r := c.requests.Get(id); r != nil {
			c.giveUp(now, r, verdt.CallerGone, "the caller closed its connection", out)
		}
	}
}

// applyArrivals admits or rejects new requests.
func (c *Core) applyArrivals(now time.Time, in *msgs.Inbox, out *msgs.Outbox) {
	for _, a := range in.Arrivals {
		if c.budget != nil && !a.Proxied {
			c.budget.CountRequest(now, a.Model)
		}
		f := c.refuseProxied(now, a)
		if f == nil {
			f = c.refuseBlocked(now, a)
		}
		if f == nil {
			f = c.refuseLimited(now, a)
		}
		if f != nil {
			out.Finishes = append(out.Finishes, msgs.Finish{Request: a.ID, Failure: f})
			continue
		}
		if f := c.admit.Admit(now, a, c.settings, c.requests); f != nil {
			out.Finishes = append(out.Finishes, msgs.Finish{Request: a.ID, Failure: f})
			continue
		}
		c.estimateLength(a)
	}
}

// giveUp fails a request in any phase.
func (c *Core) giveUp(now time.Time, r *table.Request, reason verdt.Reason, message string, out *msgs.Outbox) {
	if r.Phase == table.Queued {
		c.admit.Withdraw(r)
	}
	c.recov.FailRequest(now, r, reason, message, c.tables, out)
}

// expire fails requests that have passed their deadline or have waited too long for a route.
func (c *Core) expire(now time.Time, out *msgs.Outbox) {
	for r := c.requests.Due(now); r != nil; r = c.requests.Due(now) {
		if now.Before(r.Deadline) {
			if c.admit.ExtendForOutage(now, r) {
				c.requests.Postpone(r)
				continue
			}
			if ids := c.servers.LimitedFirst(now, r.Model); r.Phase == table.Queued && c.admit.Queues[r.Model].Limited && len(ids) > 0 {
				c.failLimited(now, r, ids, out)
				continue
			}
			c.refuseLate(now, r, out)
			continue
		}
		c.giveUp(now, r, verdt.DeadlinePassed, "the deadline passed", out)
	}
	if len(c.requests.Rerouting) == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(c.requests.Rerouting)) {
		r := c.requests.Get(id)
		if !now.Before(r.RerouteUntil) {
			c.giveUp(now, r, verdt.NoRoute, "no other servers could go on with the request", out)
		}
	}
}

// moveFromLeaving finds the requests on leaving servers whose grace period has ended. dispatch moves
// them.
func (c *Core) moveFromLeaving(now time.Time) {
	for _, s := range c.drain.Due(now, c.servers) {
		for _, id := range slices.Sorted(maps.Keys(s.Users)) {
			c.recov.DisplaceRequest(now, id, c.tables)
		}
	}
}

// checkStalls finds the streams that wait for stalled engines. dispatch moves them.
func (c *Core) checkStalls(now time.Time, in *msgs.Inbox, out *msgs.Outbox) {
	if c.stall == nil {
		return
	}
	for _, d := range in.Diagnoses {
		for _, id := range c.stall.ApplyDiagnosis(d, c.requests, c.servers) {
			c.ejectEngine(now, id, d.Unresponsive, "detected by a query to "+string(d.Server), out)
		}
	}
	for id := range c.requests.Stalled {
		if r := c.requests.Get(id); !now.Before(r.StalledUntil) {
			c.requests.SetStalled(r, "")
		}
	}
	crashed, waiting := c.stall.Sweep(now, c.requests, c.servers, c.daemons, out)
	for _, id := range crashed {
		c.ejectEngine(now, id, false, "a request was declined because of it, and its streams are quiet", out)
	}
	for _, s := range waiting {
		c.recov.StallStream(now, s.Request, s.Server, c.tables, out)
	}
}

// ejectEngine marks the quiet streams over a stalled engine and keeps new work from it, for
// stall.DeadCooldown if it is suspected to be dead, or for stall.UnresponsiveCooldown if it only did not
// answer an Ask. Streams that still deliver tokens stay; later sweeps mark them once they
// are quiet.
func (c *Core) ejectEngine(now time.Time, id model.ServerID, silent bool, detail string, out *msgs.Outbox) {
	out.Notify(msgs.Notice{Kind: msgs.ServerStalled, Server: id, Detail: detail})
	avoidFor := stall.UnresponsiveCooldown
	if !silent {
		avoidFor = stall.DeadCooldown
		stall.Suspect(now, c.servers.Get(id))
	}
	c.recov.Avoid(now, id, avoidFor, c.tables, out)
	for _, user := range slices.Sorted(maps.Keys(c.servers.Get(id).Users)) {
		if r := c.requests.Get(user); r != nil && stall.Quiet(now, r) {
			c.recov.StallStream(now, user, id, c.tables, out)
		}
	}
}

// dispatch assigns routes to waiting requests. Those that lost their route come first.
func (c *Core) dispatch(now time.Time, out *msgs.Outbox) {
	c.blocked = false
	if c.settings == nil {
		return
	}
	if len(c.requests.Rerouting) > 0 {
		for _, r := range c.reroutingByRank() {
			if !c.usesProxies(r.Model) && (!now.Before(r.TryAt) || r.TriedVersion != c.servers.Version) {
				switch c.startRequest(now, r, c.models[r.Model], out) {
				case route.Paused:
					c.failIfPausedBeyond(now, r, r.RerouteUntil, out)
				case route.Limited:
					c.failIfLimitedBeyond(now, r, r.RerouteUntil, out)
				case route.Found, route.Busy, route.NoChain:
				}
			} else {
				c.blocked = true
			}
		}
	}
	c.switchRoutes(now, out)
	for _, name := range c.admit.Backlog() {
		c.dispatchQueue(now, c.admit.Queues[name], c.models[name], out)
	}
}

// dispatchQueue dispatches the requests of one model until no route is found.
func (c *Core) dispatchQueue(now time.Time, q *table.Queue, layers int, out *msgs.Outbox) {
	for q.Length > 0 {
		r := c.requests.Get(q.Head())
		result := c.startRequest(now, r, layers, out)
		q.Limited = result == route.Limited
		switch result {
		case route.Found:
			q.Outage = false
			c.admit.RecordDispatch(now, q, r, dispatchCost(r))
		case route.NoChain, route.Busy:
			q.Outage = result == route.NoChain
			if q.Outage {
				c.refuseBeyondOutage(now, r.Model, out)
			}
			return
		case route.Paused:
			q.Outage = false
			if !c.failIfPausedBeyond(now, r, r.QueueUntil, out) {
				return
			}
		case route.Limited:
			q.Outage = false
			if !c.failIfLimitedBeyond(now, r, r.QueueUntil, out) {
				return
			}
		}
	}
}

// failIfPausedBeyond fails a request that only paused servers could serve if none of them may be
// sent requests before a time, and reports whether it did.
func (c *Core) failIfPausedBeyond(now time.Time, r *table.Request, until time.Time, out *msgs.Outbox) bool {
	pauseEnd := c.servers.NextPauseEnd(now, r.Model)
	if pauseEnd.Before(until) {
		return false
	}
	if r.Phase == table.Queued {
		c.admit.Withdraw(r)
	}
	returnAt := c.admit.Ranks.ReturnAt(pauseEnd, r.Model, r.Rank)
	c.recov.FailRequestUntil(r, verdt.Overloaded, "all backend servers that could serve the request asked for a pause", returnAt, c.tables, out)
	return true
}

// dispatchCost returns the cost of a dispatch that is charged to its team, in generated
// tokens. Prompt tokens are cheaper than generated ones, since they are processed in parallel.
func dispatchCost(r *table.Request) float64 {
	const (
		promptDiscount      = 10
		typicalAnswerTokens = 256
		baseCost            = 1
	)
	answer := typicalAnswerTokens
	if r.MaxTokens > 0 {
		answer = min(answer, r.MaxTokens)
	}
	return baseCost + float64(answer) + float64(r.PromptTokens)/promptDiscount
}

// startRequest picks a route for a request and starts it there. A request fails if all
// servers on which it may start are gone or if the retry budget is used up.
func (c *Core) startRequest(now time.Time, r *table.Request, layers int, out *msgs.Outbox) route.Result {
	heads := c.allowedFirstServers(now, r)
	if len(heads) > 0 && !slices.ContainsFunc(heads, c.mayServeAgain) {
		if r.Switched {
			c.blocked = true
			r.TryAt, r.TriedVersion = now.Add(dispatchRetryInterval), c.servers.Version
			return route.NoChain
		}
		c.recov.FailRequest(now, r, verdt.NoRoute, "the servers at which the request may begin have gone", c.tables, out)
		return route.NoChain
	}
	chain, result := c.picker.Pick(now, c.servers, route.Query{Request: r, Layers: layers, Daemons: c.daemons, FirstServers: heads, Reserve: c.reserve(now, r)})
	switch {
	case result != route.Found:
		c.blocked = true
		r.TryAt, r.TriedVersion = now.Add(dispatchRetryInterval), c.servers.Version
	case r.Phase == table.Rerouting && c.budget != nil && !c.budget.TryTake(now, r.Model, budgetShare(r)):
		if hasOutput(r) && now.Before(r.BudgetUntil) {
			c.blocked = true
			r.TryAt, r.TriedVersion = now.Add(dispatchRetryInterval), c.servers.Version
			return route.Busy
		}
		c.recov.FailRequest(now, r, verdt.Overloaded, "too many requests are being sent again", c.tables, out)
	default:
		c.recov.Start(now, r, chain, c.tables, out)
	}
	return result
}

// nextWake returns the latest time for the next tick, or zero if none is needed.
func (c *Core) nextWake(now time.Time) time.Time {
	next := earliest(earliest(c.requests.NextDeadline(), c.drain.NextMove()), earliest(c.crash.NextCheck(), c.requestCrash.NextCheck()))
	if c.blocked {
		next = earliest(next, now.Add(dispatchRetryInterval))
	}
	if c.stall != nil && c.requests.Len() > 0 {
		next = earliest(next, c.stall.NextSweep)
	}
	return next
}

// earliest returns the earlier of two times; a zero time means never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
