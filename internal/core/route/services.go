package route

import (
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/pkg/model"
)

// serviceServer is a backend server of a plain service, as opposed to a model engine.
type serviceServer struct {
	member model.Member
	// inFlight is the number of this daemon's calls in progress on the server.
	inFlight int
	// avoidUntil is when the server may get calls again after it was unreachable.
	avoidUntil time.Time
}

// Services balances the calls to plain services over their servers by least connections.
type Services struct {
	// servers holds the servers by their ID.
	servers map[string]*serviceServer
	// drained lists the IDs of the servers that the settings drain.
	drained []string
}

// avoidDuration is how long a server gets no calls after it was unreachable.
const avoidDuration = time.Second

// NewServices returns a table without servers.
func NewServices() *Services { return &Services{servers: map[string]*serviceServer{}} }

// ApplyDrained sets the servers that the settings drain.
func (t *Services) ApplyDrained(ids []string) { t.drained = ids }

// ApplyList updates the table from the platform's list of members. As with engines, a
// list without any server is taken for a fault of the platform and removes none.
func (t *Services) ApplyList(list []model.Member) {
	seen := map[string]bool{}
	for _, m := range list {
		if m.Role != model.Service {
			continue
		}
		seen[m.ID] = true
		if server := t.servers[m.ID]; server != nil {
			server.member = m
		} else {
			t.servers[m.ID] = &serviceServer{member: m}
		}
	}
	if len(seen) == 0 {
		return
	}
	for id := range t.servers {
		if !seen[id] {
			delete(t.servers, id)
		}
	}
}

// Listed reports whether any server of a service is listed.
func (t *Services) Listed(service string) bool {
	for _, server := range t.servers {
		if server.member.Service == service {
			return true
		}
	}
	return false
}

// Acquire chooses the available server of a service with the fewest calls in progress and
// counts one more call on it. It reports false if no server is available.
func (t *Services) Acquire(now time.Time, service string) (model.Member, bool) {
	var best *serviceServer
	for _, server := range t.servers {
		m := server.member
		if m.Service != service || m.State == model.Leaving || slices.Contains(t.drained, m.ID) || now.Before(server.avoidUntil) {
			continue
		}
		if best == nil || server.inFlight < best.inFlight || (server.inFlight == best.inFlight && m.ID < best.member.ID) {
			best = server
		}
	}
	if best == nil {
		return model.Member{}, false
	}
	best.inFlight++
	return best.member, true
}

// Release records that a call ended. A server that was unreachable gets no calls for
// avoidDuration.
func (t *Services) Release(now time.Time, id string, unreachable bool) {
	server := t.servers[id]
	if server == nil {
		return
	}
	server.inFlight = max(0, server.inFlight-1)
	if unreachable {
		server.avoidUntil = now.Add(avoidDuration)
	}
}
