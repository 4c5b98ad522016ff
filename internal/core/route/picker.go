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
	// Found means that a route with room for the stream was found.
	Found Result = iota
	// Busy means that chains exist, but none has room for one more stream.
	Busy
	// NoChain means that no chain of usable servers covers all layers.
	NoChain
	// Paused means that chains exist, but only over servers that asked this daemon for a
	// pause.
	Paused
	// Limited means that chains with room exist, but only from first servers whose limits allow no
	// more requests of this daemon now.
	Limited
)

// Query holds the parameters of Picker.Pick.
type Query struct {
	Request *table.Request
	// Layers is the number of layers of the request's model.
	Layers int
	// FirstServers are the only servers that may be the first stage; empty allows all.
	FirstServers []model.ServerID
	// Daemons is how many daemons share the servers, at least 1.
	Daemons int
	// Reserve is for how many more requests like this one room must stay free.
	Reserve float64
}

// Picker chooses routes. Implementations keep only state that may be lost in a restart.
type Picker interface {
	// Pick chooses a route for a request. The route is valid only if the result is Found.
	Pick(now time.Time, servers *table.Servers, q Query) (model.Route, Result)
	// Observe records the mean time between tokens that a stream on a route had.
	Observe(r model.Route, gap time.Duration)
	// Learn records that a route's servers have a prompt prefix cached.
	Learn(prefix uint64, r model.Route)
}

// GapObserver is a Picker that learns from each token of a stream.
type GapObserver interface {
	// ObserveGap records the smoothed gap between the tokens of a running request.
	ObserveGap(now time.Time, servers *table.Servers, r *table.Request)
}

// hop returns the stage of a route that runs all layers of a server.
func hop(s *table.Server) model.Hop {
	return model.Hop{Server: s.ID, Address: s.Address, Span: s.Report.Span}
}

// HasCredit reports whether a server has room for one more stream of this daemon, within
// the daemon's share of the server. Only the daemon's own streams count as load: the
// engines' load reports are seconds old and the same for all daemons, so daemons that
// followed them would all move to the same servers, and away from them, at the same time.
func HasCredit(s *table.Server, daemons int) bool {
	share := (s.Report.MaxStreams()*burstNumerator + burstDenominator*daemons - 1) / (burstDenominator * max(1, daemons))
	return len(s.Users) < max(1, min(share, s.Report.MaxStreams()))
}

// burstNumerator divided by burstDenominator is the factor by which a daemon's share of a
// server exceeds an even share, since callers don't spread evenly over the daemons.
const (
	burstNumerator   = 4
	burstDenominator = 4
)
