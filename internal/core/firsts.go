package core

import (
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/table"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// allowedFirstServers returns the servers one of which must be the first server of a request's next
// route, or none if any server may be. Once a request has been sent to MaxAttempts servers,
// it may only be sent to those again. A server that is no longer listed still counts as an
// attempt unless it failed during the request, since an engine that is being emptied
// leaves the list while it still runs.
func (c *Core) allowedFirstServers(now time.Time, r *table.Request) []model.ServerID {
	if r.MaxAttempts == 0 {
		return nil
	}
	servers := r.FirstServers
	if r.Phase == table.Running && !slices.Contains(servers, r.Route.Hops[0].Server) {
		servers = append(slices.Clone(servers), r.Route.Hops[0].Server)
	}
	var counted []model.ServerID
	for _, id := range servers {
		if c.listed(id) || !hasEnded(now, r, id) {
			counted = append(counted, id)
		}
	}
	if len(counted) < r.MaxAttempts {
		return nil
	}
	return counted
}

// silentServerTimeout is how long an open stream must be without a token until its first server, which
// is no longer listed, counts as lost. A sound server may be silent for about a second.
const silentServerTimeout = 2 * time.Second

// hasEnded reports whether a first server that is no longer listed has stopped running a request: the
// server failed the request, or the request's stream has waited too long for it.
func hasEnded(now time.Time, r *table.Request, id model.ServerID) bool {
	return slices.Contains(r.Failed, id) || r.StalledOn == id && now.Sub(r.LastActivityAt) >= silentServerTimeout
}

// listed reports whether a server is in the latest accepted membership list.
func (c *Core) listed(id model.ServerID) bool {
	s := c.servers.Get(id)
	return s != nil && s.Listed
}

// mayServeAgain reports whether a server is listed and not leaving, so that it may get work
// again before a waiting request times out.
func (c *Core) mayServeAgain(id model.ServerID) bool {
	return c.listed(id) && !c.servers.Get(id).Leaving()
}
