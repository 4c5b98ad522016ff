// Package limit keeps the requests to servers that name a limit within it. Such a server takes
// only so many requests a second from all daemons together, for as long as its answers say so.
package limit

import (
	"strconv"
	"time"

	"bulrushpond.example/bulrushpond/pkg/model"
)

// Statement is what a server said about its limit in one answer.
type Statement struct {
	Server model.ServerID
	// Limited is false if the answer named no limit.
	Limited bool
	// PerSecond is the number of requests a second that the server takes from all daemons together.
	PerSecond float64
}

// String returns the statement as it is logged.
func (s Statement) String() string {
	if !s.Limited {
		return "no limit"
	}
	return strconv.FormatFloat(s.PerSecond, 'f', -1, 64) + " requests a second"
}

// serverLimit is the limit of one server.
type serverLimit struct {
	latest Statement
	// saidAt is when the server said it last.
	saidAt time.Time
}

// State is what one daemon knows about the limits of servers.
type State struct {
	servers map[model.ServerID]*serverLimit
}

// New returns a state without limits.
func New() *State { return &State{servers: map[model.ServerID]*serverLimit{}} }

// Record records what a server said, and reports whether that is news.
func (st *State) Record(now time.Time, s Statement) bool {
	known := st.servers[s.Server]
	switch {
	case known == nil && !s.Limited:
		return false
	case known == nil:
		known = &serverLimit{}
		st.servers[s.Server] = known
	}
	news := known.latest != s
	known.latest, known.saidAt = s, now
	return news
}

// Limited returns the number of servers with a limit in force.
func (st *State) Limited() int {
	n := 0
	for _, s := range st.servers {
		if s.latest.Limited {
			n++
		}
	}
	return n
}
