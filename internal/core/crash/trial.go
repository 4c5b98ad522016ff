package crash

import (
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/pkg/model"
)

const (
	// trialDelay is the time from the last crash of a part to its first trial. By then, all daemons know the
	// evidence.
	trialDelay = 1500 * time.Millisecond
	// trialSlot is how long one of the parts that are blocked together may be tried before it is another's turn. It
	// covers the crash that a trial may cause and an exchange.
	trialSlot = time.Second
)

// serversUnder returns the servers that ended under requests with a part, sorted.
func (st *State) serversUnder(part uint64) []model.ServerID {
	var servers []model.ServerID
	for e := range st.evidence {
		if e.Part == part {
			servers = append(servers, e.Server)
		}
	}
	slices.Sort(servers)
	return servers
}

// tied returns the blocked parts that may be tried in turn with a part, itself included, sorted: a server that ended
// under one also ended under another, and either no more servers ended under them than it takes for a block or the
// same ones did. Only one of them need crash servers. Once another server ends in a trial, its part is to blame.
// Empty if the part is not one of them.
func (st *State) tied(part uint64) []uint64 {
	servers := st.serversUnder(part)
	if len(servers) == 0 {
		return nil
	}
	undecided, shared := len(servers) <= blockCrashes, false
	parts := []uint64{part}
	for other := range st.blocks {
		otherServers := st.serversUnder(other)
		if other == part || !slices.ContainsFunc(otherServers, func(id model.ServerID) bool { return slices.Contains(servers, id) }) {
			continue
		}
		shared = true
		same := slices.Equal(otherServers, servers)
		undecided = undecided || same
		if same || len(otherServers) <= blockCrashes {
			parts = append(parts, other)
		}
	}
	if !shared || !undecided {
		return nil
	}
	slices.Sort(parts)
	return parts
}

// explainedByOther reports whether all servers that ended under a part also ended under a blocked part that more
// servers ended under.
func (st *State) explainedByOther(part uint64) bool {
	servers := st.serversUnder(part)
	if !st.policy.Trials || len(servers) == 0 {
		return false
	}
	for other := range st.blocks {
		otherServers := st.serversUnder(other)
		covered := func(id model.ServerID) bool { return slices.Contains(otherServers, id) }
		if len(otherServers) > len(servers) && !slices.ContainsFunc(servers, func(id model.ServerID) bool { return !covered(id) }) {
			return true
		}
	}
	return false
}

// hasOwnEvidence reports whether servers ended under streams of this daemon with a part.
func (st *State) hasOwnEvidence(part uint64) bool {
	for e := range st.own {
		if e.Part == part {
			return true
		}
	}
	return false
}

// trial reports whether a request with a blocked part may be sent to one server all the same, to learn which of
// several parts that are blocked because of the same servers crashes them. They take turns. Only daemons that saw a
// server end may try, once each turn, so that few trials run at one time. If none may now, until is the earlier
// of the next turn and the end of the block.
func (st *State) trial(now time.Time, part uint64) (ok bool, until time.Time) {
	end, blocked := st.blocks[part]
	if !blocked || !st.policy.Trials {
		return false, end
	}
	parts := st.tied(part)
	if len(parts) == 0 || !st.hasOwnEvidence(part) {
		return false, end
	}
	first := end.Add(trialDelay - BlockDuration)
	rank, turns := slices.Index(parts, part), len(parts)
	slot := max(0, int(now.Sub(first)/trialSlot))
	if !now.Before(first) && slot%turns == rank && st.trialUntil[part].Before(now) {
		st.trialUntil[part] = first.Add(time.Duration(slot+1) * trialSlot)
		return true, time.Time{}
	}
	next := slot + (rank-slot%turns+turns)%turns
	if next == slot && !now.Before(first) {
		next += turns
	}
	if at := first.Add(time.Duration(next) * trialSlot); at.Before(end) {
		return false, at
	}
	return false, end
}

// BlockedUntil returns until when a new request with a part is refused; false if it is not refused, or if it is a
// trial.
func (st *State) BlockedUntil(now time.Time, part uint64) (until time.Time, refused bool) {
	if _, blocked := st.Blocked(now, []uint64{part}); !blocked {
		return time.Time{}, false
	}
	ok, until := st.trial(now, part)
	return until, !ok
}
