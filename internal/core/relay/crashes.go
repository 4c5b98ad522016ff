package relay

import (
	"time"

	"bulrushpond.example/bulrushpond/internal/core/crash"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// recordCrash records what the outcome of an attempt says about requests that crash servers.
func (st *State) recordCrash(now time.Time, r *Request, attempt Attempt, o Outcome) {
	server, digest := model.ServerID(attempt.Server.ID), []uint64{r.Digest}
	switch {
	case o.Failure == nil:
		st.crash.RecordAlive(server, attempt.Began)
		st.crash.RecordSound(now, digest)
	case o.ConnectionLost && !st.reach.CutOff(r.Service):
		r.Crashes++
		st.crash.RecordCrash(now, server, digest)
	}
}

// mayCrash reports whether a request must not be sent to another server, since it could crash it.
func (st *State) mayCrash(now time.Time, r *Request) bool {
	return r.Crashes > 0 && st.crash.MayCrash(now, []uint64{r.Digest}, r.Crashes)
}

// blockedUntil returns until when a request is refused because servers crash on it; false if it is not, or if it may
// be tried.
func (st *State) blockedUntil(now time.Time, r *Request) (until time.Time, blocked bool) {
	if r.Attempts > 0 {
		return st.crash.Blocked(now, []uint64{r.Digest})
	}
	return st.crash.BlockedUntil(now, r.Digest)
}

// CrashReport returns what this daemon tells the others about requests that crash servers.
func (st *State) CrashReport(now time.Time) crash.Report { return st.crash.Report(now) }

// ApplyCrashes applies the reports of the other daemons and returns the decisions that changed.
func (st *State) ApplyCrashes(now time.Time, r crash.Report) []crash.Change {
	st.crash.Apply(now, r)
	return st.crash.Check(now)
}

// ApplyStoredBlocks adopts the stored blocks of requests.
func (st *State) ApplyStoredBlocks(now time.Time, blocks []crash.Block) {
	st.crash.ApplyStored(now, blocks)
}

// StoredBlocks returns the blocked requests to store, given those that are stored now; false if these need
// no change.
func (st *State) StoredBlocks(now time.Time, stored []crash.Block) ([]crash.Block, bool) {
	return st.crash.Stored(now, stored)
}

// BlockedRequests returns the number of requests that are blocked now, and how often one was refused.
func (st *State) BlockedRequests() (now int, refused uint64) {
	return st.crash.BlockedParts(), st.blocked
}
