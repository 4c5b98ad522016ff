// Package stall detects stalled streams and the engine that stalls them. When one engine
// of a chain dies, the whole chain stalls; the first engine of the chain knows which one
// it waits for.
package stall

import (
	"maps"
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/table"
	"bulrushpond.example/bulrushpond/pkg/model"
)

const (
	// sweepInterval is the interval at which the streams are checked.
	sweepInterval = 25 * time.Millisecond
	// askAfterPause is the minimum pause between two tokens of a stream after which its
	// first engine is asked. Callers notice a pause of about twice that.
	askAfterPause = 130 * time.Millisecond
	// askAfterGaps is the pause in multiples of the stream's usual gap between tokens
	// after which its first engine is asked.
	askAfterGaps = 3
	// firstTokenTimeout is how long the first token of a route may take before the first
	// engine is asked.
	firstTokenTimeout = 600 * time.Millisecond
	// DeadCooldown is how long an engine that others wait for gets no work. By then, a dead
	// engine has lost its entry in the platform's list.
	DeadCooldown = 4 * time.Second
	// UnresponsiveCooldown is how long an engine that did not answer when asked gets no work. It is
	// shorter than DeadCooldown, as the engine may only be slow.
	UnresponsiveCooldown = time.Second
	// minAskInterval is the minimum time between two asks to one engine, since each ask is
	// costly. What engines report of themselves lags by some hundred milliseconds.
	minAskInterval = 75 * time.Millisecond
	// askIntervalPerDaemon is the time between two asks to one engine across all daemons:
	// they share the answers, so each asks less often the more daemons there are.
	askIntervalPerDaemon = 10 * time.Millisecond
	// declineWindow is how long a server counts as recently declined after it was the
	// reason why a request did not run.
	declineWindow = 400 * time.Millisecond
	// quietAfterPause is the minimum pause after which a stream counts as quiet. A recently
	// declined server is dead, and not only full, if all its streams are quiet.
	quietAfterPause = 80 * time.Millisecond
	// quietAfterGaps is the pause in multiples of the stream's usual gap between tokens
	// after which it counts as quiet.
	quietAfterGaps = 2
	// minQuietStreams is how many quiet streams suffice to call a server dead without
	// asking. A daemon with fewer streams asks.
	minQuietStreams = 3
	// processPauseThreshold is the delay of a sweep above which this process itself was
	// paused, so that quiet streams prove nothing.
	processPauseThreshold = 75 * time.Millisecond
	// maxCatchUpTime bounds how long a paused process waits to read the tokens that
	// arrived meanwhile.
	maxCatchUpTime = 250 * time.Millisecond
)

// State holds the detector's state between ticks.
type State struct {
	// NextSweep is when the streams are checked next.
	NextSweep time.Time
	// nextAskAt is when each recently asked engine may be asked again.
	nextAskAt map[model.ServerID]time.Time
	// hadRequests is set if the last sweep saw requests. Without any, sweeps stop, so that
	// the next one is late without a pause of the process.
	hadRequests bool
}

// New returns a detector that has asked no engine.
func New() *State { return &State{nextAskAt: map[model.ServerID]time.Time{}} }

// Sweep asks the first engines of stalled streams. It returns the engines that are dead
// without having to ask: recently declined servers whose streams are all quiet, since an
// engine that is only full keeps serving its streams. It also returns the streams that
// wait for an engine which is already suspected to be dead.
func (st *State) Sweep(now time.Time, requests *table.Requests, servers *table.Servers, daemons int, out *msgs.Outbox) (crashed []model.ServerID, waiting []Stuck) {
	if now.Before(st.NextSweep) {
		return nil, nil
	}
	overdue, hadRequests := now.Sub(st.NextSweep), st.hadRequests
	st.NextSweep, st.hadRequests = now.Add(sweepInterval), requests.Len() > 0
	if hadRequests && overdue > processPauseThreshold {
		// The tokens that arrived during the pause have to be read first.
		st.NextSweep = now.Add(min(overdue, maxCatchUpTime))
		return nil, nil
	}
	for id, until := range st.nextAskAt {
		if now.After(until) {
			delete(st.nextAskAt, id)
		}
	}
	for r := range requests.All() {
		if r.Phase != table.Running || r.StalledOn != "" || now.Sub(r.LastActivityAt) < pauseLimit(r) {
			continue
		}
		firstHop := r.Route.Hops[0]
		if _, asked := st.nextAskAt[firstHop.Server]; asked {
			continue
		}
		st.nextAskAt[firstHop.Server] = now.Add(max(minAskInterval, time.Duration(daemons)*askIntervalPerDaemon))
		out.Asks = append(out.Asks, msgs.Ask{Server: firstHop.Server, Address: firstHop.Address, At: now})
	}
	return crashedServers(now, requests, servers), stuckStreams(now, requests, servers)
}

// crashedServers returns the recently declined servers whose streams are all quiet, except
// those already suspected here.
func crashedServers(now time.Time, requests *table.Requests, servers *table.Servers) []model.ServerID {
	var ids []model.ServerID
	for _, id := range servers.IDs() {
		s := servers.Get(id)
		if now.Sub(s.DeclinedAt) < declineWindow && !now.Before(s.SuspectedUntil) && allQuiet(now, s, requests) {
			ids = append(ids, id)
		}
	}
	return ids
}

// allQuiet reports whether all streams over a server that have given a token are quiet,
// and there are at least minQuietStreams of them. Streams that wait for another server say
// nothing about this one.
func allQuiet(now time.Time, s *table.Server, requests *table.Requests) bool {
	quiet := 0
	for id := range s.Users {
		r := requests.Get(id)
		if r == nil || r.Next == r.OpenedFrom || (r.StalledOn != "" && r.StalledOn != s.ID) {
			continue
		}
		if !Quiet(now, r) {
			return false
		}
		quiet++
	}
	return quiet >= minQuietStreams
}

// Quiet reports whether a stream has given no token for clearly longer than usual, so
// that it may be waiting for a dead engine.
func Quiet(now time.Time, r *table.Request) bool {
	return now.Sub(r.LastActivityAt) >= max(quietAfterPause, quietAfterGaps*r.Gap)
}

// pauseLimit returns how long a stream may give no token before its first engine is
// asked.
func pauseLimit(r *table.Request) time.Duration {
	if r.Next == r.OpenedFrom {
		return firstTokenTimeout
	}
	return max(askAfterPause, askAfterGaps*r.Gap)
}

// Suspect marks an engine as suspected to be dead for DeadCooldown.
func Suspect(now time.Time, s *table.Server) { s.SuspectedUntil = now.Add(DeadCooldown) }

// ApplyDiagnosis returns the engines to move quiet streams away from. An engine that did not
// answer is not one of them if a stream that begins there progressed since it was asked.
func (st *State) ApplyDiagnosis(d msgs.Diagnosis, requests *table.Requests, servers *table.Servers) []model.ServerID {
	if d.Unresponsive {
		s := servers.Get(d.Server)
		if s == nil || progressedSince(d.AskedAt, s, requests) {
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

// progressedSince reports whether a stream that begins at a server has given a token after
// the time at.
func progressedSince(at time.Time, s *table.Server, requests *table.Requests) bool {
	for id := range s.Users {
		if r := requests.Get(id); r != nil && r.Route.Hops[0].Server == s.ID && r.Next > r.OpenedFrom && r.LastActivityAt.After(at) {
			return true
		}
	}
	return false
}

// Stuck is a stream that waits for an engine which is suspected to be dead.
type Stuck struct {
	Request model.RequestID
	Server  model.ServerID
}

// stuckStreams returns the stalled streams over engines that are suspected to be dead,
// sorted by engine and request. Streams over an engine that this daemon suspects have to
// be quiet; if only peers suspect it, they have to pause for pauseLimit.
func stuckStreams(now time.Time, requests *table.Requests, servers *table.Servers) []Stuck {
	var stuck []Stuck
	for _, id := range servers.IDs() {
		s := servers.Get(id)
		suspectedHere, suspectedByPeers := now.Before(s.SuspectedUntil), now.Before(s.SuspectedByOthersUntil)
		if !suspectedHere && !suspectedByPeers {
			continue
		}
		for _, user := range slices.Sorted(maps.Keys(s.Users)) {
			r := requests.Get(user)
			if r != nil && r.Phase == table.Running && (suspectedHere && Quiet(now, r) || suspectedByPeers && now.Sub(r.LastActivityAt) >= pauseLimit(r)) {
				stuck = append(stuck, Stuck{Request: user, Server: id})
			}
		}
	}
	return stuck
}
