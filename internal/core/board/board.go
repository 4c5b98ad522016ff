// Package board adds up what the daemons have in progress on each engine. Engines'
// own reports lag and cost, and a daemon's own share says little about the others'.
// The daemon that owns the placement keeps the board; the others tell it what they
// have and learn the sum.
package board

import (
	"maps"
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/pkg/model"
)

// Fresh is how long what a daemon told counts, and how long a sum may be used.
const Fresh = 1500 * time.Millisecond

// Load is what some daemons have in progress on one engine.
type Load struct {
	Server model.ServerID `cbor:"1,keyasint"`
	// Tokens is the sum of the caches that the requests are counted with.
	Tokens  int `cbor:"2,keyasint"`
	Streams int `cbor:"3,keyasint"`
}

// Told is what a daemon tells.
type Told struct {
	// Address is where the daemon serves others.
	Address string `cbor:"1,keyasint"`
	// Loads is what it has in progress on each engine.
	Loads []Load `cbor:"2,keyasint,omitempty"`
	// Suspects are the engines that seem to be dead from there.
	Suspects []model.ServerID `cbor:"3,keyasint,omitempty"`
}

type row struct {
	Told
	until time.Time
}

// State is the board at its owner.
type State struct {
	rows map[model.DaemonID]row
	// turn spreads which daemons are named to others.
	turn int
}

// New returns an empty board.
func New() *State { return &State{rows: map[model.DaemonID]row{}} }

// Put takes in what a daemon tells.
func (st *State) Put(now time.Time, from model.DaemonID, told Told) {
	st.rows[from] = row{Told: told, until: now.Add(Fresh)}
}

// Suspects returns the engines that seem to be dead to any daemon, in order.
func (st *State) Suspects(now time.Time) []model.ServerID {
	var ids []model.ServerID
	for _, r := range st.rows {
		if now.Before(r.until) {
			ids = append(ids, r.Suspects...)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// Daemons returns how many daemons told something lately.
func (st *State) Daemons(now time.Time) int {
	n := 0
	for _, r := range st.rows {
		if now.Before(r.until) {
			n++
		}
	}
	return n
}

// Peers returns the addresses of up to n daemons, but for one, in turn.
func (st *State) Peers(but model.DaemonID, n int) []string {
	ids := slices.DeleteFunc(slices.Sorted(maps.Keys(st.rows)), func(id model.DaemonID) bool { return id == but })
	var peers []string
	for i := range min(n, len(ids)) {
		peers = append(peers, st.rows[ids[(st.turn+i)%len(ids)]].Address)
	}
	st.turn++
	slices.Sort(peers)
	return slices.Compact(peers)
}

// Others returns what all daemons but one have in progress, by engine.
func (st *State) Others(now time.Time, but model.DaemonID) []Load {
	sums := map[model.ServerID]Load{}
	for id, r := range st.rows {
		if !now.Before(r.until) {
			delete(st.rows, id)
			continue
		}
		if id == but {
			continue
		}
		for _, l := range r.Loads {
			sum := sums[l.Server]
			sums[l.Server] = Load{Server: l.Server, Tokens: sum.Tokens + l.Tokens, Streams: sum.Streams + l.Streams}
		}
	}
	loads := make([]Load, 0, len(sums))
	for _, id := range slices.Sorted(maps.Keys(sums)) {
		loads = append(loads, sums[id])
	}
	return loads
}
