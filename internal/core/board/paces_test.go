package board

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/core/even"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// TestAgreedPaces checks that the lower median of the daemons' reports counts, that a daemon has one say, and that
// nothing is left of reports that are withdrawn.
func TestAgreedPaces(t *testing.T) {
	st, now := New(), time.Unix(1_000_000, 0)
	put := func(from model.DaemonID, paces ...even.Pace) { st.Put(now, from, DaemonStatus{Slow: paces}) }
	put("a", even.Pace{Server: "e", Factor: 12}, even.Pace{Server: "e", Factor: 12}, even.Pace{Server: "e", Factor: 12}, even.Pace{Server: "f", Factor: math.NaN()})
	assert.DeepEqual(t, st.Others(now, "b").Slow, []even.Pace{{Server: "e", Factor: 12}})
	put("b", even.Pace{Server: "e", Factor: 1})
	assert.DeepEqual(t, st.Others(now, "b").Slow, []even.Pace{{Server: "e", Factor: 1}})
	put("c", even.Pace{Server: "e", Factor: 8})
	assert.DeepEqual(t, st.Others(now, "b").Slow, []even.Pace{{Server: "e", Factor: 8}})
	put("a")
	put("c")
	assert.Equal(t, len(st.Others(now, "a").Slow), 0)
	put("b")
	assert.Equal(t, len(st.slow), 0)
}

// TestPacesOfALongReport: a faulty daemon calls far more engines slow than a report may hold. The sums hold no more of them,
// and the others hear of the engines that sound daemons report.
func TestPacesOfALongReport(t *testing.T) {
	st, now := New(), time.Unix(1_000_000, 0)
	var long []even.Pace
	for i := range 10_000 {
		long = append(long, even.Pace{Server: model.ServerID(fmt.Sprintf("x%05d", i)), Factor: 1e9})
	}
	slow := even.Pace{Server: "e", Factor: 12}
	st.Put(now, "a", DaemonStatus{Slow: long})
	st.Put(now, "b", DaemonStatus{Slow: []even.Pace{slow}})
	assert.Equal(t, len(st.slow), even.MaxReported+1)
	assert.Equal(t, st.Others(now, "c").Slow[0], slow)
	st.Put(now, "a", DaemonStatus{})
	assert.Equal(t, len(st.slow), 1)
}
