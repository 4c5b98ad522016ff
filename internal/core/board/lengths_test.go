package board

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpond.example/bulrushpond/internal/core/length"
	"bulrushpond.example/bulrushpond/internal/proof"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// TestLengthsAreThoseOfTheOthers: whatever daemons report, and in whatever order, each gets the sums of the other
// daemons' last reports, and reports that have expired or make no sense count for nothing.
func TestLengthsAreThoseOfTheOthers(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		st := New()
		now := time.Unix(1000, 0)
		last := map[model.DaemonID]length.Sketch{}
		ids := []model.DaemonID{"a", "b", "c"}
		for range rapid.IntRange(1, 20).Draw(t, "reports") {
			id := rapid.SampledFrom(ids).Draw(t, "daemon")
			answers := rapid.IntRange(-1, 5).Draw(t, "answers")
			s := length.Sketch{Service: "s", Answers: answers, Tokens: 100 * answers}
			for range rapid.IntRange(0, 12).Draw(t, "classes") {
				s.Hints = append(s.Hints, length.Sums{Answers: answers, Tokens: 100 * answers})
			}
			st.Put(now, id, DaemonStatus{Lengths: []length.Sketch{s}})
			last[id] = s
		}
		for _, id := range ids {
			want := 0
			for other, s := range last {
				if other != id {
					want += max(0, s.Answers)
				}
			}
			got := length.Sketch{}
			if others := st.Others(now, id).Lengths; len(others) > 0 {
				got = others[0]
			}
			assert.Equal(t, got.Answers, want)
			assert.Equal(t, got.Tokens, 100*want)
		}
		assert.Equal(t, len(st.Others(now.Add(StatusTTL), "d").Lengths), 0)
		assert.Equal(t, len(st.lengths), 0)
	})
}

// TestLengthsOfManyServicesAreBounded guards against a daemon that reports more and more services.
func TestLengthsOfManyServicesAreBounded(t *testing.T) {
	st := New()
	now := time.Unix(1000, 0)
	for round := range 100 {
		var status DaemonStatus
		for i := range 1000 {
			status.Lengths = append(status.Lengths, length.Sketch{Service: fmt.Sprint(round, "-", i), Answers: 1, Tokens: 100})
		}
		st.Put(now, "a", status)
		assert.Assert(t, len(st.lengths) <= maxSketches)
	}
}
