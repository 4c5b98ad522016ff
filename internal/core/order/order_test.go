package order

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"bulrushpond.example/bulrushpond/internal/proof"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

// fakeEngine is an engine that carries out commands, with or without checking
// their fencing tokens.
type fakeEngine struct {
	report      model.Report
	checksFence bool
}

func (e *fakeEngine) handle(t *rapid.T, c Command) {
	if e.checksFence && c.Fence < e.report.Fence {
		return
	}
	e.report.Fence = max(e.report.Fence, c.Fence)
	switch c.Step {
	case Empty:
		e.report.Emptying = true
	case Serve:
		e.report.Emptying = false
	case Load:
		e.report.Model, e.report.Span, e.report.Emptying = c.Placement.Model, c.Placement.Span, false
	case None, Reserve:
		t.Fatal("engine got a step that is not for engines")
	}
}

// TestEnginesConvergeOnPlacement runs two owners with different epochs (the older
// one sends stale commands), with delayed and reordered commands, changing
// settings, and an engine that ignores the fencing token. In the end every engine
// holds its placement and serves.
func TestEnginesConvergeOnPlacement(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		engines := map[model.ServerID]*fakeEngine{
			"e0": {checksFence: true, report: model.Report{Server: "e0", Model: "a", Span: model.Span{To: 4}}},
			"e1": {report: model.Report{Server: "e1", Model: "a", Span: model.Span{To: 4}}},
		}
		placement := map[string]setts.Placement{}
		owners := []*State{New(), New()}
		epochs := []uint64{1, 2}
		var inFlight []Command
		tick := func(i int) {
			in := Inbox{Placement: placement, EmptyGrace: time.Second, Shards: 1, Epochs: map[int]uint64{0: epochs[i]}, LeaseUntil: now.Add(time.Minute)}
			for _, id := range []model.ServerID{"e0", "e1"} {
				in.Reports = append(in.Reports, engines[id].report)
			}
			for _, c := range owners[i].Tick(now, in) {
				if c.Step == Reserve {
					owners[i].Tick(now, Inbox{Reservations: []Reservation{{Server: c.Server, Start: now}}})
					continue
				}
				if c.Step == Load && engines[c.Server].report.Running > 0 && now.Before(owners[i].engines[c.Server].emptyDeadline) {
					t.Fatalf("engine %s gets a load command while it has running work", c.Server)
				}
				inFlight = append(inFlight, c)
			}
		}
		deliver := func(i int) {
			engines[inFlight[i].Server].handle(t, inFlight[i])
			inFlight = append(inFlight[:i], inFlight[i+1:]...)
		}
		t.Repeat(map[string]func(*rapid.T){
			"set placement": func(t *rapid.T) {
				next := map[string]setts.Placement{}
				for _, id := range []string{"e0", "e1"} {
					next[id] = setts.Placement{Model: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "model"), Span: model.Span{To: 4}}
				}
				placement = next
			},
			"old owner ticks": func(*rapid.T) { tick(0) },
			"new owner ticks": func(*rapid.T) { tick(1) },
			"deliver command": func(t *rapid.T) {
				if len(inFlight) > 0 {
					deliver(rapid.IntRange(0, len(inFlight)-1).Draw(t, "command"))
				}
			},
			"set running": func(t *rapid.T) {
				engines["e0"].report.Running = rapid.IntRange(0, 2).Draw(t, "running")
			},
			"pass time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 6).Draw(t, "s")) * time.Second)
			},
		})
		for len(inFlight) > 0 {
			deliver(0)
		}
		for range 40 {
			now = now.Add(time.Second)
			tick(1)
			for len(inFlight) > 0 {
				deliver(0)
			}
		}
		for id, e := range engines {
			want, ok := placement[string(id)]
			if !ok {
				continue
			}
			if e.report.Model != want.Model || e.report.Emptying {
				t.Fatalf("engine %s holds %s with emptying=%t, want %v", id, e.report.Model, e.report.Emptying, want)
			}
		}
	})
}

// TestNoCommandNearLeaseExpiry checks that no command is sent so late in the lease
// that it could arrive when the engine has another owner.
func TestNoCommandNearLeaseExpiry(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	in := Inbox{
		Placement: map[string]setts.Placement{"e0": {Model: "b", Span: model.Span{To: 4}}}, Shards: 1,
		Reports: []model.Report{{Server: "e0", Model: "a"}}, Epochs: map[int]uint64{0: 1}, LeaseUntil: now.Add(unfencedLeaseMargin),
	}
	st := New()
	if c := st.Tick(now, in); len(c) > 0 {
		t.Fatalf("got commands near the end of the lease: %v", c)
	}
	in.LeaseUntil = now.Add(unfencedLeaseMargin + time.Second)
	if c := st.Tick(now, in); len(c) != 1 || c[0].Step != Empty {
		t.Fatalf("got %v, want one Empty command", c)
	}
	in.LeaseUntil, in.EnginesCheckFence = now.Add(unfencedLeaseMargin), true
	if c := New().Tick(now, in); len(c) != 1 {
		t.Fatalf("got %v for engines that check the fencing token, want one command", c)
	}
	in.Epochs = nil
	if c := New().Tick(now, in); len(c) > 0 {
		t.Fatalf("got commands without owning the engine's shard: %v", c)
	}
}
