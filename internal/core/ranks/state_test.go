package ranks_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpond.example/bulrushpond/internal/core/board"
	"bulrushpond.example/bulrushpond/internal/core/ranks"
	"bulrushpond.example/bulrushpond/internal/proof"
)

var start = time.Unix(1_000_000, 0)

func newState(seed uint64) *ranks.State {
	st := ranks.New(seed)
	st.SetServices(map[string][]int{"m": {0, 1, 2}})
	return st
}

// shortage is news of other daemons whose most important requests lack room.
func shortage() []ranks.ServiceLoads {
	return []ranks.ServiceLoads{{Service: "m", Loads: []ranks.Load{
		{Rank: 0, Running: 200, Waiting: 40, Started: 60, Refused: 60}, {Rank: 1, Running: 20, Started: 4, Refused: 40}, {Rank: 2, Running: 20, Started: 4, Refused: 40},
	}}}
}

// TestFloorOfLessImportantRanks: while more important requests of other daemons take all room, a rank still gets a quarter of
// the service rate of all, up to the two requests that were not due yet.
func TestFloorOfLessImportantRanks(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		st := newState(rapid.Uint64().Draw(t, "seed"))
		now := start
		load := ranks.Load{Rank: 0, Waiting: rapid.IntRange(1, 100).Draw(t, "waiting"), Started: rapid.IntRange(50, 200).Draw(t, "started"), Refused: rapid.IntRange(10, 200).Draw(t, "refused")}
		all := float64(load.Started) / float64(load.Started+load.Refused)
		served, offered := 0, 400
		for range offered {
			now = now.Add(20 * time.Millisecond)
			st.SetOthers(now, now.Add(board.StatusTTL), []ranks.ServiceLoads{{Service: "m", Loads: []ranks.Load{load}}})
			place, admitted := st.Admit(now, "m", 2)
			switch {
			case admitted && place.Order == 0:
				served++
				st.Queued("m", 2)
				st.Started(now, "m", 2, place)
			case admitted:
				// It would wait until it is refused.
				st.Queued("m", 2)
				st.Withdrawn("m", 2, place)
				st.Refused(now, "m", 2)
			default:
				st.Refused(now, "m", 2)
			}
		}
		// The rank's own requests lower the service rate of all by the part that they are of all requests.
		perWindow := 25.0
		all *= float64(load.Started+load.Refused) / (float64(load.Started+load.Refused) + perWindow)
		if got := float64(served+2) / float64(offered); got < 0.25*all {
			t.Fatalf("%d of %d requests were served, of all %.3f", served, offered, all)
		}
	})
}

// TestLevelEndsWithItsNews: a level that other daemons' shortage put in force holds requests back while the news are valid. Two
// seconds after the last news all are admitted again, also if nobody tells that the shortage is over.
func TestLevelEndsWithItsNews(t *testing.T) {
	st := newState(1)
	st.SetOthers(start, start.Add(board.StatusTTL), shortage())
	level, inForce := st.Level(start, "m")
	assert.Assert(t, inForce)
	assert.Equal(t, level.Rank, 0)
	assert.Assert(t, st.Reserve(start, "m", 1) > 0)
	assert.Equal(t, st.Reserve(start, "m", 0), 0.0)
	refused := 0
	for now := start; now.Before(start.Add(2 * time.Second)); now = now.Add(50 * time.Millisecond) {
		if _, admitted := st.Admit(now, "m", 2); !admitted {
			st.Refused(now, "m", 2)
			refused++
		}
	}
	assert.Assert(t, refused > 20, "%d of 40 refused", refused)
	now := start.Add(2 * time.Second)
	_, inForce = st.Level(now, "m")
	assert.Assert(t, !inForce)
	for range 20 {
		_, admitted := st.Admit(now, "m", 2)
		assert.Assert(t, admitted)
		assert.Equal(t, st.Reserve(now, "m", 2), 0.0)
	}
}

// TestNewDaemonAdmits: a daemon that knows nothing of the others yet admits all ranks.
func TestNewDaemonAdmits(t *testing.T) {
	st := newState(1)
	for rank := range 3 {
		place, admitted := st.Admit(start, "m", rank)
		assert.Assert(t, admitted)
		assert.Equal(t, place, ranks.Place{Order: rank})
		assert.Equal(t, st.Reserve(start, "m", rank), 0.0)
	}
}

// TestImportantComeBackFirst: callers that are refused at one moment come back by rank, and those of one rank spread over a second.
func TestImportantComeBackFirst(t *testing.T) {
	var latest time.Time
	for rank := range 3 {
		earliest, last := start.Add(time.Hour), start
		for daemon := range 50 {
			at := newState(uint64(daemon)).RetryAt(start, "m", rank, 0)
			if at.Before(earliest) {
				earliest = at
			}
			if at.After(last) {
				last = at
			}
		}
		assert.Assert(t, earliest.After(start))
		assert.Assert(t, !earliest.Before(latest), "rank %d comes back before the one above", rank)
		assert.Assert(t, last.Sub(earliest) > 500*time.Millisecond, "rank %d comes back within %s", rank, last.Sub(earliest))
		latest = last
	}
}

// TestCallersStayAwayFromLongShortages: the longer a shortage has lasted, the later refused callers come back, so that most of
// them are refused once.
func TestCallersStayAwayFromLongShortages(t *testing.T) {
	st, now := newState(1), start
	at := st.RetryAt(now, "m", 0, 0)
	assert.Assert(t, at.Sub(now) <= 1500*time.Millisecond, "comes back after %s", at.Sub(now))
	for ; now.Before(start.Add(4 * time.Second)); now = now.Add(250 * time.Millisecond) {
		st.SetOthers(now, now.Add(board.StatusTTL), shortage())
	}
	at = st.RetryAt(now, "m", 1, 0)
	assert.Assert(t, at.Sub(now) >= 3500*time.Millisecond, "comes back after %s", at.Sub(now))
	assert.Assert(t, at.Sub(now) <= 7*time.Second, "comes back after %s", at.Sub(now))
}

// TestReturnIsNotBeforeTheExpectedWait: a caller whose request would wait for half a minute is not told to come back before.
func TestReturnIsNotBeforeTheExpectedWait(t *testing.T) {
	for number := range 3 {
		at := newState(1).RetryAt(start, "m", number, 30*time.Second)
		assert.Assert(t, at.Sub(start) >= 30*time.Second, "rank %d comes back after %s", number, at.Sub(start))
	}
}

// TestRanksOfEarlierSettingsAreDropped: ranks that the routing no longer names are neither kept nor make callers come back later,
// once none of their requests waits.
func TestRanksOfEarlierSettingsAreDropped(t *testing.T) {
	st := newState(1)
	st.Queued("m", 1)
	for number := 3; number < 100; number++ {
		st.SetServices(map[string][]int{"m": {0, number}})
		assert.Equal(t, len(st.Metrics(start)["m"].Ranks), 3, "rank 1 has a request waiting")
	}
	st.Withdrawn("m", 1, ranks.Place{Order: 1})
	st.SetServices(map[string][]int{"m": {0, 9}})
	assert.Equal(t, len(st.Metrics(start)["m"].Ranks), 2)
	at := st.ReturnAt(start, "m", 9)
	assert.Assert(t, at.Sub(start) <= 2*time.Second, "comes back after %s", at.Sub(start))
}

// TestRanksAreCheapToExchange: the loads of a service take at most 40 bytes for each rank, however many requests there are.
func TestRanksAreCheapToExchange(t *testing.T) {
	const requests = 100_000
	report := []ranks.ServiceLoads{{Service: "m"}}
	for rank := range 10 {
		report[0].Loads = append(report[0].Loads, ranks.Load{Rank: rank, Running: requests, Waiting: requests, Started: requests, Refused: requests})
	}
	raw, err := cbor.Marshal(report)
	assert.NilError(t, err)
	assert.Assert(t, len(raw) <= 40*len(report[0].Loads), "%d bytes", len(raw))
}
