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

func testLimits(model.Team) Limits {
	return Limits{FirstToken: time.Second, Gap: 50 * time.Millisecond, Share: 0.95}
}

// decodedSnapshot returns a snapshot of r after encoding and decoding it.
func decodedSnapshot(t *testing.T, r *Recorder, id model.DaemonID) Snapshot {
	t.Helper()
	s, err := r.Snapshot(id)
	assert.NilError(t, err)
	raw, err := s.Encode()
	assert.NilError(t, err)
	s, err = DecodeSnapshot(raw)
	assert.NilError(t, err)
	return s
}

func windowReport(r Report, o Objective, w int) WindowReport {
	return r.Teams[0].Objectives[o].Windows[w]
}

// TestMerge checks that Merge adds up the counts of several daemons, and that old counts
// drop out of the windows.
func TestMerge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := NewRecorder(testLimits), NewRecorder(testLimits)
		for range 90 {
			a.FirstToken("/t", 100*time.Millisecond)
		}
		for range 10 {
			b.FirstToken("/t", 2*time.Second)
			b.Gap("/t", 60*time.Millisecond)
		}
		b.RequestEnded("/t", nil)
		b.RequestEnded("/t", verdt.New(verdt.NotRun, verdt.Overloaded, ""))
		b.RequestEnded("/t", verdt.New(verdt.Ran, verdt.StageFailed, ""))
		b.RequestEnded("/t", verdt.New(verdt.Ran, verdt.CallerGone, ""))
		report, err := Merge(time.Now(), []Snapshot{decodedSnapshot(t, a, "a"), decodedSnapshot(t, b, "b")}, []model.DaemonID{"c"})
		assert.NilError(t, err)
		firstToken := windowReport(report, FirstToken, 0)
		assert.Equal(t, firstToken.Good, uint64(90))
		assert.Equal(t, firstToken.Bad, uint64(10))
		assert.Assert(t, firstToken.Burn > 1.99 && firstToken.Burn < 2.01)
		assert.Equal(t, windowReport(report, Gap, 0).Bad, uint64(10))
		assert.Equal(t, windowReport(report, Refused, 0).Bad, uint64(1))
		lost := windowReport(report, Lost, 0)
		assert.Equal(t, lost.Bad, uint64(1))
		assert.Equal(t, lost.Good, uint64(2))
		assert.Assert(t, report.Teams[0].FirstToken.P99 >= 1900)

		time.Sleep(10 * time.Minute)
		report, err = Merge(time.Now(), []Snapshot{decodedSnapshot(t, a, "a"), decodedSnapshot(t, b, "b")}, nil)
		assert.NilError(t, err)
		assert.Equal(t, windowReport(report, FirstToken, 0).Bad, uint64(0))
		assert.Equal(t, windowReport(report, FirstToken, 1).Bad, uint64(10))
		time.Sleep(2 * time.Hour)
		report, err = Merge(time.Now(), []Snapshot{decodedSnapshot(t, a, "a"), decodedSnapshot(t, b, "b")}, nil)
		assert.NilError(t, err)
		assert.Equal(t, windowReport(report, FirstToken, 2).Bad, uint64(0))
	})
}

// TestOutputFormats checks that the text, HTML and JSON outputs contain the burn rate and
// the daemons that did not answer, that the HTML output escapes team names and loads nothing,
// and that the JSON output can be decoded.
func TestOutputFormats(t *testing.T) {
	r := NewRecorder(testLimits)
	r.FirstToken("/t<script>", 2*time.Second)
	report, err := Merge(time.Now(), []Snapshot{decodedSnapshot(t, r, "a")}, []model.DaemonID{"lost-one"})
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

// TestMaxTeams checks that teams beyond maxTeams are counted together as OtherTeams.
func TestMaxTeams(t *testing.T) {
	r := NewRecorder(testLimits)
	for i := range maxTeams + 10 {
		r.RequestEnded(model.Team(strings.Repeat("x", i%7)+string(rune(i))), nil)
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
	r := NewRecorder(testLimits)
	b.ReportAllocs()
	for b.Loop() {
		r.Gap("/t", 20*time.Millisecond)
	}
}
