package core

import (
	"maps"
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/recov"
	"bulrushpond.example/bulrushpond/internal/core/route"
	"bulrushpond.example/bulrushpond/internal/core/table"
)

// switchRoutes moves the requests whose streams are stalled, or use a server that stops, to other
// routes, as far as there are routes and room in the retry budget. The others keep their streams.
func (c *Core) switchRoutes(now time.Time, out *msgs.Outbox) {
	if len(c.requests.Stalled)+len(c.requests.Displaced) == 0 {
		return
	}
	// full holds the models for which no route was found in this tick.
	full := map[string]bool{}
	affected := slices.AppendSeq(slices.Collect(maps.Keys(c.requests.Stalled)), maps.Keys(c.requests.Displaced))
	slices.Sort(affected)
	for _, id := range slices.Compact(affected) {
		r := c.requests.Get(id)
		if !recov.MaySwitch(r) {
			continue
		}
		if now.Before(r.TryAt) && r.TriedVersion == c.servers.Version || full[r.Model] || !c.switchRoute(now, r, full, out) {
			c.blocked = true
		}
	}
}

// switchRoute moves a request with an open stream to another route and reports whether it did.
func (c *Core) switchRoute(now time.Time, r *table.Request, full map[string]bool, out *msgs.Outbox) bool {
	r.TryAt, r.TriedVersion = now.Add(dispatchRetryInterval), c.servers.Version
	if c.budget != nil && !c.budget.HasRoom(now, r.Model, budgetShare(r)) {
		return false
	}
	query := route.Query{Request: r, Layers: c.models[r.Model], Daemons: c.daemons, FirstServers: c.allowedFirstServers(r)}
	// The room that the request holds on its route is free for the next one.
	c.servers.Release(r, r.Route)
	chain, result := c.picker.Pick(now, c.servers, query)
	c.servers.Restore(r, r.Route)
	if result != route.Found {
		if len(query.FirstServers) == 0 {
			full[r.Model] = true
		}
		return false
	}
	if c.budget != nil {
		c.budget.TryTake(now, r.Model, budgetShare(r))
	}
	c.recov.SwitchRoute(now, r, chain, c.tables, out)
	return true
}
