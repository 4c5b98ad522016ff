package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/pkg/model"
)

// engines returns a platform's list of n engines.
func engines(n int) []model.Member {
	var list []model.Member
	for i := range n {
		list = append(list, model.Member{ID: fmt.Sprintf("e%02d", i), Role: model.Engine})
	}
	return list
}

// TestEachEngineHasOneAssignedReader checks that the live daemons divide the engines
// among them, and that each daemon still reads every engine at the fallback interval.
func TestEachEngineHasOneAssignedReader(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	list, live := engines(40), []model.DaemonID{"d0", "d1", "d2"}
	reads := map[string]int{}
	for _, d := range live {
		r := NewReports(d)
		first := r.Due(now, list, live)
		assert.Equal(t, len(first), 40)
		for _, m := range first {
			r.Record(now, model.Report{Server: model.ServerID(m.ID), ReportedAt: now})
		}
		for _, m := range r.Due(now.Add(assignedReadInterval), list, live) {
			reads[m.ID]++
		}
		assert.Equal(t, len(r.Due(now.Add(assignedReadInterval+fallbackReadInterval), list, live)), 40)
	}
	assert.Equal(t, len(reads), 40)
	for id, n := range reads {
		assert.Equal(t, n, 1, id)
	}
}

// TestChangedReportsAreForwarded checks that a report that changes routing is forwarded
// for a limited time, and that an older report does not replace it.
func TestChangedReportsAreForwarded(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	r := NewReports("d0")
	r.Due(now, engines(1), nil)
	report := model.Report{Server: "e00", Slots: 4, TokensPerSecond: 100, ReportedAt: now}
	assert.Assert(t, r.Record(now, report))
	now = now.Add(changeForwardPeriod)
	assert.Equal(t, len(r.Changed(now)), 0)
	report.ReportedAt, report.Running = now, 3
	assert.Assert(t, r.Record(now, report))
	assert.Equal(t, len(r.Changed(now)), 0)
	report.ReportedAt, report.Leaving = now.Add(time.Second), true
	assert.Assert(t, r.Record(now, report))
	assert.Equal(t, len(r.Changed(now)), 1)
	report.ReportedAt, report.Leaving = now, false
	assert.Assert(t, !r.Record(now, report))
	assert.Assert(t, r.Changed(now)[0].Leaving)
}
