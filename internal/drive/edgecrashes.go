package drive

import (
	"time"

	"bulrushpond.example/bulrushpond/internal/core/crash"
	"bulrushpond.example/bulrushpond/internal/evlog"
	"bulrushpond.example/bulrushpond/internal/guard"
)

// CrashReport returns what this daemon tells the others about requests that crash plain servers.
func (e *Edge) CrashReport(now time.Time) crash.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.relayState.CrashReport(now)
}

// ApplyCrashes applies what the other daemons know about requests that crash plain servers.
func (e *Edge) ApplyCrashes(r crash.Report) {
	now := time.Now()
	changes := guard.Locked(&e.mu, func() []crash.Change { return e.relayState.ApplyCrashes(now, r) })
	for _, change := range changes {
		event := evlog.RequestUnblocked
		switch change.Kind {
		case crash.Suspected:
			event = evlog.RequestSuspected
		case crash.Blocked:
			event = evlog.RequestBlocked
		case crash.Unblocked:
		}
		e.log.Info(event, "digest", crash.FormatPart(change.Part), "detail", change.Detail())
	}
}

// SetStoredBlocks adopts the blocked requests to plain services that are stored in the key-value service.
func (e *Edge) SetStoredBlocks(blocks []crash.Block) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.relayState.ApplyStoredBlocks(now, blocks)
}

// StoredBlocks returns the blocked requests to store, given those that are stored now; false if these need
// no change.
func (e *Edge) StoredBlocks(now time.Time, stored []crash.Block) ([]crash.Block, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.relayState.StoredBlocks(now, stored)
}

// BlockedRequests returns the number of requests to plain services that are blocked now, and how often one
// was refused.
func (e *Edge) BlockedRequests() (now int, refused uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.relayState.BlockedRequests()
}
