package fleet

import (
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/pkg/model"
)

const (
	// assignedReadInterval is the interval at which a daemon reads the reports of the
	// engines that it is the assigned reader of.
	assignedReadInterval = 3 * time.Second
	// fallbackReadInterval is the interval at which it reads those of all other engines,
	// in case their assigned reader fails.
	fallbackReadInterval = 30 * time.Second
	// changeForwardPeriod is how long a changed report is forwarded to peers.
	changeForwardPeriod = 10 * time.Second
)

// Reports decides which engines' reports a daemon reads. Each engine has one assigned
// reader among the live daemons, which forwards changes to the others, so that a daemon's
// cost of reading does not grow with the number of daemons.
type Reports struct {
	self    model.DaemonID
	entries map[string]*reportEntry
}

type reportEntry struct {
	latest   model.Report
	received bool
	readAt   time.Time
	// forwardUntil is when forwarding of the last change ends.
	forwardUntil time.Time
}

// NewReports returns the report table of daemon self, without any engine.
func NewReports(self model.DaemonID) *Reports {
	return &Reports{self: self, entries: map[string]*reportEntry{}}
}

// Due returns the engines whose reports have to be read now, and forgets engines that
// are not listed.
func (r *Reports) Due(now time.Time, engines []model.Member, live []model.DaemonID) []model.Member {
	var due []model.Member
	listed := make(map[string]bool, len(engines))
	for _, m := range engines {
		if m.Role != model.Engine {
			continue
		}
		listed[m.ID] = true
		entry := r.entries[m.ID]
		if entry == nil {
			entry = &reportEntry{}
			r.entries[m.ID] = entry
		}
		interval := fallbackReadInterval
		if reader := Preferred("engine/"+m.ID, live); reader == r.self || reader == "" || !entry.received {
			interval = assignedReadInterval
		}
		if now.Sub(entry.readAt) >= interval {
			entry.readAt = now
			due = append(due, m)
		}
	}
	for id := range r.entries {
		if !listed[id] {
			delete(r.entries, id)
		}
	}
	return due
}

// Record records a report, read here or forwarded by a peer, and returns whether it is
// newer than the last one. Reports of unknown engines are dropped.
func (r *Reports) Record(now time.Time, report model.Report) bool {
	entry := r.entries[string(report.Server)]
	if entry == nil || (entry.received && !report.ReportedAt.After(entry.latest.ReportedAt)) {
		return false
	}
	if !entry.received || changesRouting(entry.latest, report) {
		entry.forwardUntil = now.Add(changeForwardPeriod)
	}
	entry.latest, entry.received = report, true
	return true
}

// changesRouting reports whether the difference between two reports affects the routes
// that other daemons choose.
func changesRouting(a, b model.Report) bool {
	return !a.EquivalentForRouting(b) || a.Leaving != b.Leaving || a.Emptying != b.Emptying
}

// Changed returns the recently changed reports to forward to peers, newest first and at
// most maxChangedReports.
func (r *Reports) Changed(now time.Time) []model.Report {
	var changed []model.Report
	for _, entry := range r.entries {
		if now.Before(entry.forwardUntil) {
			changed = append(changed, entry.latest)
		}
	}
	slices.SortFunc(changed, func(a, b model.Report) int { return b.ReportedAt.Compare(a.ReportedAt) })
	return changed[:min(len(changed), maxChangedReports)]
}

// maxChangedReports bounds the reports in one gossip message.
const maxChangedReports = 32
