package board

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpond.example/bulrushpond/internal/core/crash"
	"bulrushpond.example/bulrushpond/internal/proof"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// TestOthersExcludesOwnAndExpiredReports checks that a daemon gets the sum of the others'
// loads without its own, and that expired reports are removed.
func TestOthersExcludesOwnAndExpiredReports(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	st := New()
	pipe := PipeBetween("b", "a")
	st.Put(now, "a", DaemonStatus{Address: "10.0.0.1:1", Loads: []Load{{Server: "e", Tokens: 10, Streams: 1}}, Suspects: []model.ServerID{"g", "f"}, Pipes: []PipeLoad{{pipe, 7}}})
	st.Put(now, "b", DaemonStatus{Address: "10.0.0.2:1", Loads: []Load{{Server: "e", Tokens: 20, Streams: 2}, {Server: "f", Tokens: 1, Streams: 1}}, Pipes: []PipeLoad{{pipe, 5}}})
	st.Put(now, "c", DaemonStatus{Address: "10.0.0.3:1", Loads: []Load{{Server: "e", Tokens: 5, Streams: 1}}, Suspects: []model.ServerID{"g"}, Leaving: []model.ServerID{"h"}})
	assert.DeepEqual(t, st.Suspects(now), []model.ServerID{"f", "g"})
	assert.DeepEqual(t, st.Others(now, "a"), View{
		Loads: []Load{{Server: "e", Tokens: 25, Streams: 3}, {Server: "f", Tokens: 1, Streams: 1}},
		Pipes: []PipeLoad{{pipe, 5}}, Suspects: []model.ServerID{"f", "g"}, Leaving: []model.ServerID{"h"},
	})
	assert.Equal(t, st.Daemons(now), 3)
	assert.DeepEqual(t, st.Peers("a", 4), []string{"10.0.0.2:1", "10.0.0.3:1"})
	later := now.Add(StatusTTL)
	st.Put(later, "c", DaemonStatus{Address: "10.0.0.3:1"})
	assert.Equal(t, len(st.Suspects(later)), 0)
	assert.Equal(t, st.Daemons(later), 1)
	assert.DeepEqual(t, st.Others(later, "a"), View{})
	assert.Equal(t, len(st.Peers("c", 4)), 0)
}

// TestSumsMatchReports compares the sums that the board updates incrementally with sums
// computed anew from all reports.
func TestSumsMatchReports(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		st, now := New(), time.Unix(1_000_000, 0)
		reports := map[model.DaemonID]daemonReport{}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				var status DaemonStatus
				for i := range rapid.IntRange(0, 3).Draw(t, "loads") {
					status.Loads = append(status.Loads, Load{Server: model.ServerID(strconv.Itoa(i)), Tokens: rapid.IntRange(0, 9).Draw(t, "tokens"), Streams: 1})
				}
				if n := rapid.IntRange(0, 9).Draw(t, "sent"); n > 0 {
					status.Pipes = append(status.Pipes, PipeLoad{PipeBetween("a", "b"), n})
				}
				from := model.DaemonID(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "daemon"))
				st.Put(now, from, status)
				reports[from] = daemonReport{DaemonStatus: status, expiresAt: now.Add(StatusTTL)}
			},
			"time passes": func(t *rapid.T) {
				now = now.Add(sweepInterval * time.Duration(rapid.IntRange(1, 20).Draw(t, "steps")))
			},
			"": func(t *rapid.T) {
				loads, sent := map[model.ServerID]Load{}, 0
				for from, r := range reports {
					if from == "x" || !now.Before(r.expiresAt) {
						continue
					}
					for _, l := range r.Loads {
						loads[l.Server] = Load{Server: l.Server, Tokens: loads[l.Server].Tokens + l.Tokens, Streams: loads[l.Server].Streams + l.Streams}
					}
					for _, p := range r.Pipes {
						sent += p.Tokens
					}
				}
				var want View
				for _, l := range loads {
					want.Loads = append(want.Loads, l)
				}
				slices.SortFunc(want.Loads, func(a, b Load) int { return cmp.Compare(a.Server, b.Server) })
				if sent > 0 {
					want.Pipes = []PipeLoad{{PipeBetween("a", "b"), sent}}
				}
				assert.DeepEqual(t, st.Others(now, "x"), want)
			},
		})
	})
}

// TestPromptPartsAreUnion checks that each daemon gets the union of what all daemons know about
// prompt parts, its own included, and that nothing is left after the reports.
func TestPromptPartsAreUnion(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	until := now.Add(time.Minute)
	st := New()
	st.Put(now, "a", DaemonStatus{PromptParts: PromptParts{CrashEvidence: []crash.Evidence{{Server: "e", Part: 2}}, SoundParts: []uint64{1}}})
	st.Put(now, "b", DaemonStatus{PromptParts: PromptParts{
		CrashEvidence: []crash.Evidence{{Server: "e", Part: 2}, {Server: "f", Part: 2}}, SoundParts: []uint64{1, 3}, BlockedParts: []crash.Block{{Part: 2, Until: until}},
	}})
	want := PromptParts{
		CrashEvidence: []crash.Evidence{{Server: "e", Part: 2}, {Server: "f", Part: 2}}, SoundParts: []uint64{1, 3}, BlockedParts: []crash.Block{{Part: 2, Until: until}},
	}
	assert.DeepEqual(t, st.Others(now, "a").PromptParts, want)
	assert.DeepEqual(t, st.Others(now, "b").PromptParts, want)
	st.Put(now, "b", DaemonStatus{})
	assert.DeepEqual(t, st.Others(now, "b").PromptParts, PromptParts{CrashEvidence: []crash.Evidence{{Server: "e", Part: 2}}, SoundParts: []uint64{1}})
	assert.DeepEqual(t, st.Others(now.Add(StatusTTL), "b"), View{})
}

// BenchmarkExchange measures one daemon's exchange with the hub of 300 daemons with 60 of 3,000 engines in use each.
func BenchmarkExchange(b *testing.B) {
	const daemons, engines, inUse = 300, 3000, 60
	st, now, random := New(), time.Unix(1000, 0), rand.New(rand.NewPCG(1, 2))
	statuses := make([]DaemonStatus, daemons)
	for i := range statuses {
		for range inUse {
			id := model.ServerID(fmt.Sprintf("engine-%04d", random.IntN(engines)))
			statuses[i].Loads = append(statuses[i].Loads, Load{Server: id, Tokens: 500, Streams: 1})
		}
		st.Put(now, model.DaemonID(strconv.Itoa(i)), statuses[i])
	}
	for i := 0; b.Loop(); i++ {
		from := model.DaemonID(strconv.Itoa(i % daemons))
		st.Put(now, from, statuses[i%daemons])
		st.Others(now, from)
		now = now.Add(time.Millisecond)
	}
}
