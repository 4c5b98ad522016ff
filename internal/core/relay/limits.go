package relay

import (
	"time"

	"bulrushpond.example/bulrushpond/internal/core/limit"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// RecordLimit records what a server said about its limit, and reports whether that is news.
func (st *State) RecordLimit(now time.Time, s limit.Statement) bool {
	return st.servers[string(s.Server)] != nil && st.limits.Record(now, s)
}

// Limited returns the number of servers with a limit in force.
func (st *State) Limited() int { return st.limits.Count() }

// LimitReports returns what this daemon tells the others about the limits of servers.
func (st *State) LimitReports(now time.Time) []limit.Report { return st.limits.Reports(now) }

// ApplyLimits applies this daemon's shares of limits and what servers said to the others, and returns the
// statements that are news.
func (st *State) ApplyLimits(now time.Time, grants []limit.Grant) []limit.Statement {
	return st.limits.Apply(now, grants, func(id model.ServerID) bool { return st.servers[string(id)] != nil })
}
