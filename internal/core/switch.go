package core

import (
	"cmp"
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/recov"
	"bulrushpond.example/bulrushpond/internal/core/route"
	"bulrushpond.example/bulrushpond/internal/core/table"
	"bulrushpond.example/bulrushpond/pkg/model"
)

const (
	// maxFailedSearches bounds the searches without a result for streams that wait for another
	// route, in one switchInterval. Those whose last search is longest ago come first in the next.
	maxFailedSearches = 4
	// switchInterval is the time between two series of searches that reach maxFailedSearches.
	switchInterval = 10 * time.Millisecond
)

// switchRoutes moves the requests whose streams are stalled, or use a server that stops, to other
// routes, as far as there are routes and room in the retry budget. The others keep their streams.
func (c *Core) switchRoutes(now time.Time, out *msgs.Outbox) {
	if len(c.requests.Stalled)+len(c.requests.Displaced) == 0 {
		return
	}
	if now.Before(c.nextSwitchAt) {
		c.blocked = true
		return
	}
	var waiting []*table.Request
	for id := range c.requests.Stalled {
		waiting = append(waiting, c.requests.Get(id))
	}
	for id := range c.requests.Displaced {
		r := c.requests.Get(id)
		if !c.usesLeavingServer(now, r) {
			delete(c.requests.Displaced, id)
		} else if r.StalledOn == "" {
			waiting = append(waiting, r)
		}
	}
	slices.SortFunc(waiting, func(a, b *table.Request) int {
		return cmp.Or(c.searchAt(a).Compare(c.searchAt(b)), c.comparePauses(a, b), cmp.Compare(a.ID, b.ID))
	})
	failedSearches := 0
	for _, r := range waiting {
		if !recov.MaySwitch(r) || c.mayCrash(now, r) || c.usesProxies(r.Model) {
			continue
		}
		if failedSearches == maxFailedSearches || now.Before(r.TryAt) && r.TriedVersion == c.servers.Version {
			c.blocked = true
		} else if !c.switchRoute(now, r, out) {
			c.blocked = true
			if failedSearches++; failedSearches == maxFailedSearches {
				c.nextSwitchAt = now.Add(switchInterval)
			}
		}
	}
}

// maxMovedStreams is the number of streams of all daemons on an engine up to which they are moved, so that
// the engine can replace its layers. While it has more, most of them end by themselves.
const maxMovedStreams = 16

// moveFromReplacing finds the requests on engines that wait for the last streams to end before they replace
// their layers. dispatch moves them.
func (c *Core) moveFromReplacing(now time.Time, ids []model.ServerID) {
	for _, id := range ids {
		s := c.servers.Get(id)
		if s == nil || len(s.Users)+s.OtherStreams > maxMovedStreams {
			continue
		}
		s.ReplacingUntil = now.Add(layerChangeHold)
		for user := range s.Users {
			c.recov.DisplaceRequest(now, user, c.tables)
		}
	}
}

// usesLeavingServer reports whether a server of a request's route is leaving, no longer listed or waits for
// its streams to end.
func (c *Core) usesLeavingServer(now time.Time, r *table.Request) bool {
	return slices.ContainsFunc(r.Route.Hops, func(h model.Hop) bool {
		return !c.mayServeAgain(h.Server) || now.Before(c.servers.Get(h.Server).ReplacingUntil)
	})
}

// switchRoute moves a request with an open stream to another route and reports whether it did.
func (c *Core) switchRoute(now time.Time, r *table.Request, out *msgs.Outbox) bool {
	r.TryAt, r.TriedVersion = now.Add(dispatchRetryInterval), c.servers.Version
	if c.budget != nil && !c.budget.HasRoom(now, r.Model, budgetShare(r)) {
		return false
	}
	query := route.Query{Request: r, Layers: c.models[r.Model], Daemons: c.daemons, FirstServers: c.allowedFirstServers(now, r), Reserve: c.reserveForMove(now, r)}
	// The room that the request holds on its route is free for the next one.
	c.servers.Release(r, r.Route)
	chain, result := c.picker.Pick(now, c.servers, query)
	c.servers.Restore(r, r.Route)
	if result != route.Found {
		return false
	}
	if c.budget != nil {
		c.budget.TryTake(now, r.Model, budgetShare(r))
	}
	c.recov.SwitchRoute(now, r, chain, c.tables, out)
	return true
}
