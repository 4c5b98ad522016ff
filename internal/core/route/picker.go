package route

import (
	"time"

	"bulrushpond.example/bulrushpond/internal/core/table"
	"bulrushpond.example/bulrushpond/pkg/model"
)

//go:generate enumer -type=Result -transform=snake -output=result_enumer.go

// Result is how the search for a route ended.
type Result uint8

const (
	// Found means that the route can be used at once.
	Found Result = iota
	// Busy means that chains exist but have no room for one more stream.
	Busy
	// NoChain means that no chain of usable servers covers all layers.
	NoChain
)

// Query is what a picker is asked.
type Query struct {
	Request *table.Request
	Layers  int
	// Heads are the only servers that may come first in the chain; empty allows all.
	Heads []model.ServerID
	// Daemons is how many daemons share the servers, at least 1.
	Daemons int
}

// Picker chooses routes. Implementations keep only what they can lose.
type Picker interface {
	// Pick chooses a route for a request.
	Pick(now time.Time, servers *table.Servers, q Query) (model.Route, Result)
	// Observe takes in the mean time between tokens that a route showed.
	Observe(r model.Route, gap time.Duration)
	// Learn remembers that a route's servers cache a prefix.
	Learn(prefix uint64, r model.Route)
}

// hop makes one stage of a route.
func hop(s *table.Server) model.Hop {
	return model.Hop{Server: s.ID, Address: s.Address, Span: s.Report.Span}
}

// HasCredit reports whether a server has room for one more stream of this
// daemon, by the daemon's own count alone. The engines' reports are seconds old,
// and all daemons see the same ones: daemons that believe them turn to the same
// servers together, and away from the same servers together.
func HasCredit(s *table.Server, daemons int) bool {
	share := (s.Report.Room()*shareBurst + shareBase*daemons - 1) / (shareBase * max(1, daemons))
	return len(s.Users) < max(1, min(share, s.Report.Room()))
}

// shareBurst over shareBase is how far a daemon may exceed its even share of a
// server, since callers do not spread evenly.
const (
	shareBurst = 4
	shareBase  = 4
)
