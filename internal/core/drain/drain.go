// Package drain updates the table of servers from the platform's list, the engines'
// reports and the settings, and decides which servers are leaving.
package drain

import (
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/table"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

// ReturnDelay is how long no source may mark a server as leaving before the server gets
// work again. This hysteresis keeps work off a server whose state flaps.
const ReturnDelay = 10 * time.Second

// State holds the drain settings and schedule between ticks.
type State struct {
	// Grace is how long work in progress may remain on a leaving server.
	Grace time.Duration
	// Drained lists the servers that the settings drain.
	Drained []string
	// ListIsAuthoritative is set if a list without engines means that there are none.
	ListIsAuthoritative bool
	// scheduledMoves holds when the work of each leaving server has to be moved,
	// earliest first.
	scheduledMoves *table.Heap[scheduledMove]
}

type scheduledMove struct {
	at     time.Time
	server model.ServerID
}

// New returns a state with the default settings.
func New() *State {
	return &State{
		Grace:          setts.Defaults().DrainGrace,
		scheduledMoves: table.NewHeap(func(a, b scheduledMove) bool { return a.at.Before(b.at) }),
	}
}

// ApplySettings applies the settings in force.
func (st *State) ApplySettings(now time.Time, f *setts.EffectiveSettings, servers *table.Servers, out *msgs.Outbox) {
	root := f.At(setts.Root)
	st.Grace, st.Drained = root.DrainGrace, root.DrainServers
	for _, id := range servers.IDs() {
		s := servers.Get(id)
		st.updateLeaving(now, s, servers, out, func() { s.SettingsLeaving = slices.Contains(st.Drained, string(id)) })
	}
}

// ApplyList applies the platform's list. Unless the list is authoritative, one without engines is ignored if servers
// are known: a failure of the platform is likelier than that of all servers at once.
func (st *State) ApplyList(now time.Time, list []model.Member, servers *table.Servers, out *msgs.Outbox) {
	engines := map[model.ServerID]model.Member{}
	for _, m := range list {
		if m.Role == model.Engine {
			engines[model.ServerID(m.ID)] = m
		}
	}
	if len(engines) == 0 && servers.Len() > 0 && !st.ListIsAuthoritative {
		out.Notify(msgs.Notice{Kind: msgs.ListEmpty})
		return
	}
	for id, m := range engines {
		st.applyMember(now, servers.GetOrAdd(id), m, servers, out)
	}
	for _, id := range servers.IDs() {
		if _, ok := engines[id]; ok {
			continue
		}
		s := servers.Get(id)
		if s.Listed {
			s.Listed = false
			servers.Version++
		}
		servers.Remove(id)
	}
}

// applyMember applies an engine's entry in the platform's list.
func (st *State) applyMember(now time.Time, s *table.Server, m model.Member, servers *table.Servers, out *msgs.Outbox) {
	if !s.Listed || s.Address != m.Address {
		s.Listed, s.Address, s.Zone = true, m.Address, m.Zone
		servers.Version++
	}
	st.updateLeaving(now, s, servers, out, func() {
		s.ListLeaving = m.State == model.Leaving
		s.SettingsLeaving = slices.Contains(st.Drained, m.ID)
	})
}

// ApplyReport applies an engine's own report. Reports of unlisted servers and reports
// older than the last one are dropped.
func (st *State) ApplyReport(now time.Time, r model.Report, servers *table.Servers, out *msgs.Outbox) {
	s := servers.Get(r.Server)
	if s == nil || (s.Reported && r.ReportedAt.Before(s.Report.ReportedAt)) {
		return
	}
	if !s.Reported || !s.Report.EquivalentForRouting(r) {
		servers.Version++
	}
	s.Reported, s.Report = true, r
	st.updateLeaving(now, s, servers, out, func() { s.ReportLeaving = r.Leaving || r.Emptying })
}

// updateLeaving runs update, which sets one source's leaving flag. If the server's
// combined state changes, it schedules the move of its work, or delays new work by
// ReturnDelay, and sends a notice.
func (st *State) updateLeaving(now time.Time, s *table.Server, servers *table.Servers, out *msgs.Outbox, update func()) {
	before := s.Leaving()
	update()
	after := s.Leaving()
	if before == after {
		return
	}
	servers.Version++
	if after {
		s.MoveAt = now.Add(st.Grace)
		st.scheduledMoves.Push(scheduledMove{at: s.MoveAt, server: s.ID})
		out.Notify(msgs.Notice{Kind: msgs.ServerLeaving, Server: s.ID})
		return
	}
	s.MoveAt = time.Time{}
	s.ReturnAt = now.Add(ReturnDelay)
	out.Notify(msgs.Notice{Kind: msgs.ServerBack, Server: s.ID})
}

// Due removes and returns the leaving servers whose work has to be moved now.
func (st *State) Due(now time.Time, servers *table.Servers) []*table.Server {
	var due []*table.Server
	for st.scheduledMoves.Len() > 0 && !st.scheduledMoves.Min().at.After(now) {
		m := st.scheduledMoves.Pop()
		if s := servers.Get(m.server); s != nil && s.MoveAt.Equal(m.at) {
			due = append(due, s)
		}
	}
	return due
}

// NextMove returns when the next server's work has to be moved, or zero if none has.
func (st *State) NextMove() time.Time {
	if st.scheduledMoves.Len() == 0 {
		return time.Time{}
	}
	return st.scheduledMoves.Min().at
}
