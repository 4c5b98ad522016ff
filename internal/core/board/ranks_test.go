package board

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/core/ranks"
)

// TestRankSums: a daemon gets the sums of the others' loads by service and rank, and those of a silent daemon expire.
func TestRankSums(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	report := func(service string, loads ...ranks.Load) []ranks.ServiceLoads {
		return []ranks.ServiceLoads{{Service: service, Loads: loads}}
	}
	st := New()
	st.Put(now, "a", DaemonStatus{Ranks: report("m", ranks.Load{Rank: 2, Running: 1}, ranks.Load{Rank: 0, Waiting: 3, Refused: 2})})
	st.Put(now, "b", DaemonStatus{Ranks: report("m", ranks.Load{Rank: 0, Waiting: 1, Started: 4})})
	st.Put(now, "old", DaemonStatus{})
	assert.DeepEqual(t, st.Others(now, "b").Ranks, report("m", ranks.Load{Rank: 0, Waiting: 3, Refused: 2}, ranks.Load{Rank: 2, Running: 1}))
	assert.DeepEqual(t, st.Others(now, "old").Ranks, report("m", ranks.Load{Rank: 0, Waiting: 4, Started: 4, Refused: 2}, ranks.Load{Rank: 2, Running: 1}))
	now = now.Add(StatusTTL)
	st.Put(now, "b", DaemonStatus{Ranks: report("k", ranks.Load{Rank: 1, Running: 1})})
	assert.DeepEqual(t, st.Others(now, "old").Ranks, report("k", ranks.Load{Rank: 1, Running: 1}))
	assert.Equal(t, len(st.Others(now, "b").Ranks), 0)
}
