package board

import (
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
