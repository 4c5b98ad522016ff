package route

import (
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/pkg/model"
)

// serviceRow is one server of a plain service.
type serviceRow struct {
	member model.Member
	// inFlight are the calls of this daemon.
	inFlight   int
	avoidUntil time.Time
}

// Services chooses servers for plain services.
type Services struct {
	rows map[string]*serviceRow
	// drained are the servers that the settings drain.
	drained []string
}

// avoidService is how long a server that refused a connection gets no work.
const avoidService = time.Second

// NewServices returns a table that knows no server.
func NewServices() *Services { return &Services{rows: map[string]*serviceRow{}} }

// ApplyDrained takes in the servers that the settings drain.
func (t *Services) ApplyDrained(ids []string) { t.drained = ids }

// ApplyList takes in the platform's list. Like an empty list of engines, a list
// that lost all servers at once is not believed.
func (t *Services) ApplyList(list []model.Member) {
	seen := map[string]bool{}
	for _, m := range list {
		if m.Role != model.Service {
			continue
		}
		seen[m.ID] = true
		if row := t.rows[m.ID]; row != nil {
			row.member = m
		} else {
			t.rows[m.ID] = &serviceRow{member: m}
		}
	}
	if len(seen) == 0 {
		return
	}
	for id := range t.rows {
		if !seen[id] {
			delete(t.rows, id)
		}
	}
}

// Known reports whether the list names a service.
func (t *Services) Known(service string) bool {
	for _, row := range t.rows {
		if row.member.Service == service {
			return true
		}
	}
	return false
}

// Take chooses the server with the fewest calls in progress, and counts one
// more on it.
func (t *Services) Take(now time.Time, service string) (model.Member, bool) {
	var best *serviceRow
	for _, row := range t.rows {
		m := row.member
		if m.Service != service || m.State == model.Leaving || slices.Contains(t.drained, m.ID) || now.Before(row.avoidUntil) {
			continue
		}
		if best == nil || row.inFlight < best.inFlight || (row.inFlight == best.inFlight && m.ID < best.member.ID) {
			best = row
		}
	}
	if best == nil {
		return model.Member{}, false
	}
	best.inFlight++
	return best.member, true
}

// Give counts a call as ended; unreachable gives the server no work for a while.
func (t *Services) Give(now time.Time, id string, unreachable bool) {
	row := t.rows[id]
	if row == nil {
		return
	}
	row.inFlight = max(0, row.inFlight-1)
	if unreachable {
		row.avoidUntil = now.Add(avoidService)
	}
}
