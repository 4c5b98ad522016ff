// Package table holds the state of the decision core: its servers, requests and queues.
// Each table documents its invariants on the fields and verifies them in Check.
package table

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/board"
	"bulrushpond.example/bulrushpond/internal/core/limit"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// Server is one model engine.
type Server struct {
	ID      model.ServerID
	Address string
	Zone    string
	// Listed is true if the latest accepted membership list contains the server.
	Listed bool
	// Reported is true once Report has been received.
	Reported bool
	Report   model.Report
	// ListLeaving, ReportLeaving and SettingsLeaving are true if the membership list, the
	// server's own report or the settings declare the server as leaving.
	ListLeaving     bool
	ReportLeaving   bool
	SettingsLeaving bool
	// ReturnAt is the earliest time at which a server that was leaving may get work again;
	// zero if it never left. The delay keeps a flapping list from routing work to a
	// server that is about to leave.
	ReturnAt time.Time
	// MoveAt is the time at which work in progress is moved away; zero unless leaving.
	MoveAt time.Time
	// AvoidUntil is the time until which a server gets no new work, after a failure or
	// during a change of its layers.
	AvoidUntil time.Time
	// ReplacingUntil is the time until which the server is known to wait for its streams to end, so
	// that it can replace its layers.
	ReplacingUntil time.Time
	// SuspectedUntil is the time until which this daemon suspects the server to be dead.
	SuspectedUntil time.Time
	// SuspectedByOthersUntil is the time until which another daemon suspects the server to be dead.
	SuspectedByOthersUntil time.Time
	// DeclinedAt is the last time at which a request was declined because of this server.
	DeclinedAt time.Time
	// FullUntil is the time until which the server counts as full after it declined a
	// request of any daemon.
	FullUntil time.Time
	// PausedUntil is the time until which the server wants no requests from this daemon.
	PausedUntil time.Time
	// Failures counts the failures since the last success.
	Failures int
	// Users holds the requests whose current route passes through the server.
	Users map[model.RequestID]struct{}
	// Tokens is the sum of the users' Reserved tokens.
	Tokens int
	// OtherTokens and OtherStreams are the last known in-flight load of the other daemons,
	// valid until Servers.OthersUntil.
	OtherTokens, OtherStreams int
	// RecentRetries is the load that this daemon sent again after failures since the latest
	// exchange with the other daemons, and between that one and the exchange before.
	RecentRetries [2]StreamLoad
}

// StreamLoad is a number of streams with the cache tokens reserved for them.
type StreamLoad struct{ Streams, Tokens int }

// herdFraction is the fraction of the other daemons that are assumed to send as many
// retries to a server as this one, until their loads are known. It accounts for the
// thundering herd after a crash, when all daemons move their streams to the same few
// servers at the same moment.
const herdFraction = 0.5

// Load returns the in-flight streams and tokens of all daemons on the server. If the other
// daemons' loads are not known, each is assumed to have the same load as this one.
func (s *Server) Load(known bool, daemons int) (streams, tokens float64) {
	if known {
		herd := herdFraction * float64(max(0, daemons-1))
		streams = float64(len(s.Users)+s.OtherStreams) + herd*float64(s.RecentRetries[0].Streams+s.RecentRetries[1].Streams)
		tokens = float64(s.Tokens+s.OtherTokens) + herd*float64(s.RecentRetries[0].Tokens+s.RecentRetries[1].Tokens)
		return streams, tokens
	}
	return float64(len(s.Users) * max(1, daemons)), float64(s.Tokens * max(1, daemons))
}

// Leaving reports whether any source declares the server as leaving.
func (s *Server) Leaving() bool { return s.ListLeaving || s.ReportLeaving || s.SettingsLeaving }

// Usable reports whether the server may get new work.
func (s *Server) Usable(now time.Time) bool {
	return s.Listed && s.Reported && !s.Leaving() && !now.Before(s.ReturnAt) && !now.Before(s.AvoidUntil)
}

// Servers is the table of model engines.
type Servers struct {
	rows map[model.ServerID]*Server
	// Version is incremented by every change that may affect the choice of routes.
	Version uint64
	// OthersUntil is the time until which the rows' OtherTokens and OtherStreams are valid.
	OthersUntil time.Time
	// Pipes is the recent traffic between availability zones.
	Pipes Pipes
	// Limits holds the limits that servers named.
	Limits *limit.State
}

// SetOthers sets the loads of the other daemons, which are valid until the given time.
func (t *Servers) SetOthers(until time.Time, others board.View) {
	for _, s := range t.rows {
		s.OtherTokens, s.OtherStreams = 0, 0
		s.RecentRetries = [2]StreamLoad{{}, s.RecentRetries[0]}
	}
	for _, l := range others.Loads {
		if s := t.rows[l.Server]; s != nil {
			s.OtherTokens, s.OtherStreams = l.Tokens, l.Streams
		}
	}
	t.Pipes.setOthers(others.Pipes)
	t.OthersUntil = until
}

// Avoid keeps new work from healthy servers until the given time. They keep their work in
// progress.
func (t *Servers) Avoid(until time.Time, ids []model.ServerID) {
	for _, id := range ids {
		if s := t.rows[id]; s != nil && s.AvoidUntil.Before(until) {
			s.AvoidUntil = until
			t.Version++
		}
	}
}

// Declined returns the servers that declined a request after the given time, sorted.
func (t *Servers) Declined(after time.Time) []model.ServerID {
	var ids []model.ServerID
	for _, id := range t.IDs() {
		if t.rows[id].DeclinedAt.After(after) {
			ids = append(ids, id)
		}
	}
	return ids
}

// MarkFull marks servers as full until the given time.
func (t *Servers) MarkFull(until time.Time, ids []model.ServerID) {
	for _, id := range ids {
		if s := t.rows[id]; s != nil && s.FullUntil.Before(until) {
			s.FullUntil = until
		}
	}
}

// Pause keeps all requests from a server until the given time, and reports whether that is news.
func (t *Servers) Pause(id model.ServerID, until time.Time) bool {
	s := t.rows[id]
	if s == nil || !until.After(s.PausedUntil) {
		return false
	}
	s.PausedUntil = until
	return true
}

// NextPauseEnd returns when the first paused server of a model may be sent requests again; zero
// if none is paused.
func (t *Servers) NextPauseEnd(now time.Time, modelName string) time.Time {
	var next time.Time
	for _, s := range t.rows {
		if s.Report.Model == modelName && now.Before(s.PausedUntil) && (next.IsZero() || s.PausedUntil.Before(next)) {
			next = s.PausedUntil
		}
	}
	return next
}

// LimitedFirst returns the usable servers of a model with limits that may be the first of a route.
func (t *Servers) LimitedFirst(now time.Time, modelName string) []model.ServerID {
	var ids []model.ServerID
	for id, s := range t.rows {
		if s.Report.Model == modelName && s.Report.Span.From == 0 && s.Usable(now) && t.Limits.Limited(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// Suspects returns the servers that this daemon suspects to be dead, sorted.
func (t *Servers) Suspects(now time.Time) []model.ServerID {
	var ids []model.ServerID
	for _, id := range t.IDs() {
		if now.Before(t.rows[id].SuspectedUntil) {
			ids = append(ids, id)
		}
	}
	return ids
}

// Loads returns this daemon's in-flight load on each server that has any, sorted by server.
func (t *Servers) Loads() []board.Load {
	var loads []board.Load
	for _, id := range t.IDs() {
		if s := t.rows[id]; len(s.Users) > 0 {
			loads = append(loads, board.Load{Server: id, Tokens: s.Tokens, Streams: len(s.Users)})
		}
	}
	return loads
}

// NewServers returns an empty table.
func NewServers() *Servers {
	return &Servers{rows: map[model.ServerID]*Server{}, Limits: limit.New(1)}
}

// Get returns a row, or nil if there is none.
func (t *Servers) Get(id model.ServerID) *Server { return t.rows[id] }

// GetOrAdd returns a row and adds it if it is missing.
func (t *Servers) GetOrAdd(id model.ServerID) *Server {
	s := t.rows[id]
	if s == nil {
		s = &Server{ID: id, Users: map[model.RequestID]struct{}{}}
		t.rows[id] = s
	}
	return s
}

// Remove removes a row unless a request uses it.
func (t *Servers) Remove(id model.ServerID) {
	if s := t.rows[id]; s != nil && len(s.Users) == 0 {
		delete(t.rows, id)
		t.Limits.Forget(id)
		t.Version++
	}
}

// Len returns the number of rows.
func (t *Servers) Len() int { return len(t.rows) }

// IDs returns all server IDs, sorted.
func (t *Servers) IDs() []model.ServerID { return slices.Sorted(maps.Keys(t.rows)) }

// typicalAnswerTokens is the number of answer tokens reserved for a request that allows
// more, since most answers are much shorter than callers allow.
const typicalAnswerTokens = 256

// Reserve reserves room for a request on all servers of a route.
func (t *Servers) Reserve(r *Request, route model.Route) {
	r.Reserved = r.Tokens(typicalAnswerTokens)
	for _, h := range route.Hops {
		s := t.GetOrAdd(h.Server)
		if s.addUser(r) && r.Recoveries > 0 {
			s.RecentRetries[0].Tokens += r.Reserved
			s.RecentRetries[0].Streams++
		}
	}
}

// Correct changes the room that a running request has on its servers.
func (t *Servers) Correct(r *Request, tokens int) {
	for _, h := range r.Route.Hops {
		if s := t.rows[h.Server]; s != nil {
			if _, counted := s.Users[r.ID]; counted {
				s.Tokens += tokens - r.Reserved
			}
		}
	}
	r.Reserved = tokens
}

// Restore undoes a Release of a request that stays on its route.
func (t *Servers) Restore(r *Request, route model.Route) {
	for _, h := range route.Hops {
		t.GetOrAdd(h.Server).addUser(r)
	}
}

// addUser counts a request's reserved tokens on the server, and reports whether they were not
// counted yet.
func (s *Server) addUser(r *Request) bool {
	if _, counted := s.Users[r.ID]; counted {
		return false
	}
	s.Users[r.ID] = struct{}{}
	s.Tokens += r.Reserved
	return true
}

// Release frees a request's room on all servers of a route.
func (t *Servers) Release(r *Request, route model.Route) {
	for _, h := range route.Hops {
		s := t.rows[h.Server]
		if s == nil {
			continue
		}
		if _, counted := s.Users[r.ID]; counted {
			delete(s.Users, r.ID)
			s.Tokens -= r.Reserved
		}
	}
}

// Check returns an error for the first invariant violation found.
func (t *Servers) Check(requests *Requests) error {
	for id, s := range t.rows {
		if !s.MoveAt.IsZero() && !s.Leaving() {
			return fmt.Errorf("server %s is not leaving, but has a time to move its work away", id)
		}
		reserved := 0
		for user := range s.Users {
			if r := requests.Get(user); r != nil {
				reserved += r.Reserved
			}
		}
		if reserved != s.Tokens {
			return fmt.Errorf("server %s has %d tokens reserved, but its requests reserved %d", id, s.Tokens, reserved)
		}
		for user := range s.Users {
			r := requests.Get(user)
			if r == nil || !r.Route.Uses(id) {
				return fmt.Errorf("server %s is used by request %d, whose route does not contain it", id, user)
			}
		}
	}
	return nil
}
