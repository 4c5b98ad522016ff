package burn

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

func limits(model.Team) Limits {
	return Limits{FirstToken: time.Second, Gap: 50 * time.Millisecond, Share: 0.95}
}

func snapshotOf(t *testing.T, r *Recorder, id model.DaemonID) Snapshot {
	t.Helper()
	s, err := r.Snapshot(id)
	assert.NilError(t, err)
	raw, err := s.Encode()
	assert.NilError(t, err)
	s, err = DecodeSnapshot(raw)
	assert.NilError(t, err)
	return s
}

func window(r Report, o Objective, w int) WindowReport { return r.Teams[0].Objectives[o].Windows[w] }

// TestBurn: counts of several daemons add up, and old ones leave the windows.
func TestBurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := NewRecorder(limits), NewRecorder(limits)
		for range 90 {
			a.FirstToken("/t", 100*time.Millisecond)
		}
		for range 10 {
			b.FirstToken("/t", 2*time.Second)
			b.Gap("/t", 60*time.Millisecond)
		}
		b.Ended("/t", nil)
		b.Ended("/t", verdt.New(verdt.NotRun, verdt.Overloaded, ""))
		b.Ended("/t", verdt.New(verdt.Ran, verdt.StageFailed, ""))
		b.Ended("/t", verdt.New(verdt.Ran, verdt.CallerGone, ""))
		report, err := Merge(time.Now(), []Snapshot{snapshotOf(t, a, "a"), snapshotOf(t, b, "b")}, []model.DaemonID{"c"})
		assert.NilError(t, err)
		first := window(report, FirstToken, 0)
		assert.Equal(t, first.Good, uint64(90))
		assert.Equal(t, first.Bad, uint64(10))
		assert.Assert(t, first.Burn > 1.99 && first.Burn < 2.01)
		assert.Equal(t, window(report, Gap, 0).Bad, uint64(10))
		assert.Equal(t, window(report, Refused, 0).Bad, uint64(1))
		lost := window(report, Lost, 0)
		assert.Equal(t, lost.Bad, uint64(1))
		assert.Equal(t, lost.Good, uint64(2))
		assert.Assert(t, report.Teams[0].FirstToken.P99 >= 1900)

		time.Sleep(10 * time.Minute)
		report, err = Merge(time.Now(), []Snapshot{snapshotOf(t, a, "a"), snapshotOf(t, b, "b")}, nil)
		assert.NilError(t, err)
		assert.Equal(t, window(report, FirstToken, 0).Bad, uint64(0))
		assert.Equal(t, window(report, FirstToken, 1).Bad, uint64(10))
		time.Sleep(2 * time.Hour)
		report, err = Merge(time.Now(), []Snapshot{snapshotOf(t, a, "a"), snapshotOf(t, b, "b")}, nil)
		assert.NilError(t, err)
		assert.Equal(t, window(report, FirstToken, 2).Bad, uint64(0))
	})
}

// TestForms: the three forms hold the same and name what is missing.
func TestForms(t *testing.T) {
	r := NewRecorder(limits)
	r.FirstToken("/t<script>", 2*time.Second)
	report, err := Merge(time.Now(), []Snapshot{snapshotOf(t, r, "a")}, []model.DaemonID{"lost-one"})
	assert.NilError(t, err)
	var text, page, raw bytes.Buffer
	assert.NilError(t, report.WriteText(&text))
	assert.NilError(t, report.WriteHTML(&page))
	assert.NilError(t, report.WriteJSON(&raw))
	for _, out := range []string{text.String(), page.String(), raw.String()} {
		assert.Assert(t, strings.Contains(out, "lost-one"))
		assert.Assert(t, strings.Contains(out, "20"))
	}
	assert.Assert(t, !strings.Contains(page.String(), "<script>"))
	assert.Assert(t, !strings.Contains(page.String(), "http"))
	var back Report
	assert.NilError(t, json.Unmarshal(raw.Bytes(), &back))
	assert.Equal(t, back.Teams[0].Team, model.Team("/t<script>"))
}

// TestTeamsAreBounded: teams beyond the bound are counted together.
func TestTeamsAreBounded(t *testing.T) {
	r := NewRecorder(limits)
	for i := range maxTeams + 10 {
		r.Ended(model.Team(strings.Repeat("x", i%7)+string(rune(i))), nil)
	}
	s, err := r.Snapshot("a")
	assert.NilError(t, err)
	assert.Assert(t, len(s.Teams) <= maxTeams+1)
	_, other := s.Teams[OtherTeams]
	assert.Assert(t, other)
}

func FuzzDecodeSnapshot(f *testing.F) {
	raw, err := Snapshot{Daemon: "a", Teams: map[model.Team]TeamSnapshot{"/t": {Counts: [][]Count{{{Good: 1}}}}}}.Encode()
	assert.NilError(f, err)
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := DecodeSnapshot(raw)
		if err == nil {
			_, _ = Merge(time.Unix(0, 0), []Snapshot{s}, nil)
		}
	})
}

func BenchmarkRecord(b *testing.B) {
	r := NewRecorder(limits)
	b.ReportAllocs()
	for b.Loop() {
		r.Gap("/t", 20*time.Millisecond)
	}
}
