// Package drain keeps the table of servers in step with the platform's list,
// the engines' reports and the settings, and decides which servers are leaving.
package drain

import (
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/table"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

// BackAfter is how long all sources must say that a server stays before it gets
// work again. Hysteresis keeps a flapping list from sending it work.
const BackAfter = 10 * time.Second

// State is what the system remembers between ticks.
type State struct {
	// Grace is how long work in progress may stay on a leaving server.
	Grace time.Duration
	// Drained are the servers that the settings drain.
	Drained []string
	// moves are the moments at which leaving servers have their work moved.
	moves *table.Heap[move]
}

type move struct {
	at time.Time
	id model.ServerID
}

// NewState returns the state before any settings.
func NewState() *State {
	return &State{
		Grace: setts.Defaults().DrainGrace,
		moves: table.NewHeap(func(a, b move) bool { return a.at.Before(b.at) }),
	}
}

// ApplyForce takes in the settings in force.
func (st *State) ApplyForce(now time.Time, f *setts.Force, servers *table.Servers, out *msgs.Outbox) {
	root := f.At(setts.Root)
	st.Grace, st.Drained = root.DrainGrace, root.DrainServers
	for _, id := range servers.IDs() {
		s := servers.Get(id)
		st.change(now, s, servers, out, func() { s.SettingsLeaving = slices.Contains(st.Drained, string(id)) })
	}
}

// ApplyList takes in the platform's list. A list without any engine, after one
// that had some, is not believed: the platform's own failure is likelier than
// the end of every server at once.
func (st *State) ApplyList(now time.Time, list []model.Member, servers *table.Servers, out *msgs.Outbox) {
	seen := map[model.ServerID]model.Member{}
	for _, m := range list {
		if m.Role == model.Engine {
			seen[model.ServerID(m.ID)] = m
		}
	}
	if len(seen) == 0 && servers.Len() > 0 {
		out.Notify(msgs.Notice{Kind: msgs.ListEmpty})
		return
	}
	for id, m := range seen {
		st.list(now, servers.Ensure(id), m, servers, out)
	}
	for _, id := range servers.IDs() {
		if _, ok := seen[id]; ok {
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

func (st *State) list(now time.Time, s *table.Server, m model.Member, servers *table.Servers, out *msgs.Outbox) {
	if !s.Listed || s.Address != m.Address {
		s.Listed, s.Address, s.Zone = true, m.Address, m.Zone
		servers.Version++
	}
	st.change(now, s, servers, out, func() {
		s.ListLeaving = m.State == model.Leaving
		s.SettingsLeaving = slices.Contains(st.Drained, m.ID)
	})
}

// ApplyReport takes in what an engine says of itself. A report of a server that
// the list does not name is dropped.
func (st *State) ApplyReport(now time.Time, r model.Report, servers *table.Servers, out *msgs.Outbox) {
	s := servers.Get(r.Server)
	if s == nil || (s.Reported && r.Taken.Before(s.Report.Taken)) {
		return
	}
	if !s.Reported || !s.Report.SameRoutes(r) {
		servers.Version++
	}
	s.Reported, s.Report = true, r
	st.change(now, s, servers, out, func() { s.ReportLeaving = r.Leaving || r.Emptying })
}

// change updates what one source says, and works out what follows.
func (st *State) change(now time.Time, s *table.Server, servers *table.Servers, out *msgs.Outbox, update func()) {
	before := s.Leaving()
	update()
	after := s.Leaving()
	if before == after {
		return
	}
	servers.Version++
	if after {
		s.MoveAt = now.Add(st.Grace)
		st.moves.Push(move{at: s.MoveAt, id: s.ID})
		out.Notify(msgs.Notice{Kind: msgs.ServerLeaving, Server: s.ID})
		return
	}
	s.MoveAt = time.Time{}
	s.BackAt = now.Add(BackAfter)
	out.Notify(msgs.Notice{Kind: msgs.ServerBack, Server: s.ID})
}

// Due returns the leaving servers whose work has to be moved now.
func (st *State) Due(now time.Time, servers *table.Servers) []*table.Server {
	var due []*table.Server
	for st.moves.Len() > 0 && !st.moves.Min().at.After(now) {
		m := st.moves.Pop()
		if s := servers.Get(m.id); s != nil && s.MoveAt.Equal(m.at) {
			due = append(due, s)
		}
	}
	return due
}

// NextMove returns when the next server's work has to be moved, or zero.
func (st *State) NextMove() time.Time {
	if st.moves.Len() == 0 {
		return time.Time{}
	}
	return st.moves.Min().at
}
