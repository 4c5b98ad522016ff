package fleet

import (
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/pkg/model"
)

const (
	// readOwn is how often a daemon reads the reports of the engines that it
	// reads for all others.
	readOwn = 3 * time.Second
	// readOther is how often it reads those of all other engines, in case that
	// their reader is silent.
	readOther = 30 * time.Second
	// changedFor is how long a changed report is sent on.
	changedFor = 10 * time.Second
)

// Reports decides whose reports a daemon reads. Each engine has one reader among
// the live daemons, which tells the others what changed; so what reading costs a
// daemon does not grow with the daemons.
type Reports struct {
	self model.DaemonID
	rows map[string]*reportRow
}

type reportRow struct {
	last   model.Report
	known  bool
	readAt time.Time
	// changedUntil is how long the last change is sent on.
	changedUntil time.Time
}

// NewReports returns a table that knows no engine.
func NewReports(self model.DaemonID) *Reports {
	return &Reports{self: self, rows: map[string]*reportRow{}}
}

// Due returns the engines whose reports are to be read now.
func (r *Reports) Due(now time.Time, engines []model.Member, live []model.DaemonID) []model.Member {
	var due []model.Member
	seen := make(map[string]bool, len(engines))
	for _, m := range engines {
		if m.Role != model.Engine {
			continue
		}
		seen[m.ID] = true
		row := r.rows[m.ID]
		if row == nil {
			row = &reportRow{}
			r.rows[m.ID] = row
		}
		every := readOther
		if reader := Preferred("engine/"+m.ID, live); reader == r.self || reader == "" || !row.known {
			every = readOwn
		}
		if now.Sub(row.readAt) >= every {
			row.readAt = now
			due = append(due, m)
		}
	}
	for id := range r.rows {
		if !seen[id] {
			delete(r.rows, id)
		}
	}
	return due
}

// Offer takes in a report, read here or sent by a peer, and reports whether it
// is newer than what was known.
func (r *Reports) Offer(now time.Time, report model.Report) bool {
	row := r.rows[string(report.Server)]
	if row == nil || (row.known && !report.Taken.After(row.last.Taken)) {
		return false
	}
	if !row.known || differs(row.last, report) {
		row.changedUntil = now.Add(changedFor)
	}
	row.last, row.known = report, true
	return true
}

// differs reports whether a change concerns the routes of other daemons.
func differs(a, b model.Report) bool {
	return !a.SameRoutes(b) || a.Leaving != b.Leaving || a.Emptying != b.Emptying
}

// Changed returns the reports that changed just now, for other daemons.
func (r *Reports) Changed(now time.Time) []model.Report {
	var changed []model.Report
	for _, row := range r.rows {
		if now.Before(row.changedUntil) {
			changed = append(changed, row.last)
		}
	}
	slices.SortFunc(changed, func(a, b model.Report) int { return b.Taken.Compare(a.Taken) })
	return changed[:min(len(changed), maxChanged)]
}

// maxChanged bounds the reports in one message.
const maxChanged = 32
