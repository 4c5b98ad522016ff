// Package stall notices streams that do not go on, and finds the engine that keeps
// them waiting. A chain of engines stands still as a whole when one of them dies;
// the first engine of the chain knows for whom it waits.
package stall

import (
	"time"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/table"
	"bulrushpond.example/bulrushpond/pkg/model"
)

const (
	// sweepEvery is how often the streams are looked at.
	sweepEvery = 25 * time.Millisecond
	// quietLimit is how long a stream may pause between two tokens at least before its
	// first engine is asked. Callers notice a pause of about twice that.
	quietLimit = 130 * time.Millisecond
	// quietGaps is how many of its usual gaps a stream may pause.
	quietGaps = 3
	// firstLimit is how long the first token of a route may take.
	firstLimit = 600 * time.Millisecond
	// DeadFor is how long an engine that others wait for gets no work: by then a dead
	// one has lost its entry.
	DeadFor = 4 * time.Second
	// SilentFor is how long an engine that does not answer itself gets none. It may
	// only be slow to answer.
	SilentFor = time.Second
	// askEvery is how often one engine is asked, since each question costs.
	askEvery = 200 * time.Millisecond
)

// State is what the system remembers between ticks.
type State struct {
	// NextSweep is when the streams are looked at next.
	NextSweep time.Time
	// asked is when each engine may be asked again.
	asked map[model.ServerID]time.Time
}

// New returns a system that has asked nobody.
func New() *State { return &State{asked: map[model.ServerID]time.Time{}} }

// Sweep asks the first engines of streams that do not go on.
func (st *State) Sweep(now time.Time, requests *table.Requests, out *msgs.Outbox) {
	if now.Before(st.NextSweep) {
		return
	}
	st.NextSweep = now.Add(sweepEvery)
	for id, until := range st.asked {
		if now.After(until) {
			delete(st.asked, id)
		}
	}
	for r := range requests.All() {
		if r.Phase != table.Running || now.Sub(r.HeardAt) < limit(r) {
			continue
		}
		head := r.Route.Hops[0]
		if _, asked := st.asked[head.Server]; asked {
			continue
		}
		st.asked[head.Server] = now.Add(askEvery)
		out.Asks = append(out.Asks, msgs.Ask{Server: head.Server, Address: head.Address})
	}
}

// limit is how long a stream may be quiet.
func limit(r *table.Request) time.Duration {
	if r.Next == r.OpenedAt {
		return firstLimit
	}
	return max(quietLimit, quietGaps*r.Gap)
}

// Suspect notes that an engine seems to be dead, for a time.
func Suspect(now time.Time, s *table.Server) { s.DeadUntil = now.Add(DeadFor) }

// Diagnosed returns the engines to take work off.
func (st *State) Diagnosed(d msgs.Diagnosis, servers *table.Servers) []model.ServerID {
	if d.Silent {
		if servers.Get(d.Server) == nil {
			return nil
		}
		return []model.ServerID{d.Server}
	}
	var faulty []model.ServerID
	for _, address := range d.Faulty {
		for _, id := range servers.IDs() {
			if servers.Get(id).Address == address {
				faulty = append(faulty, id)
			}
		}
	}
	return faulty
}
