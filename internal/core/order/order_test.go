package order

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"bulrushpond.example/bulrushpond/internal/proof"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

// engineFake obeys orders; some engines check the fencing number.
type engineFake struct {
	report model.Report
	checks bool
}

func (e *engineFake) obey(t *rapid.T, c Command) {
	if e.checks && c.Fence < e.report.Fence {
		return
	}
	e.report.Fence = max(e.report.Fence, c.Fence)
	switch c.Step {
	case Empty:
		e.report.Emptying = true
	case Serve:
		e.report.Emptying = false
	case Load:
		e.report.Model, e.report.Span, e.report.Emptying = c.Wanted.Model, c.Wanted.Span, false
	case None, Reserve:
		t.Fatal("an engine got what is no order")
	}
}

// TestEnginesComeToHoldWhatIsWanted: two owners with different epochs, of which
// the older was paused, orders that arrive late, settings that change, engines
// that ignore the fencing number: in the end every engine holds what is wanted
// and serves.
func TestEnginesComeToHoldWhatIsWanted(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		engines := map[model.ServerID]*engineFake{
			"e0": {checks: true, report: model.Report{Server: "e0", Model: "a", Span: model.Span{To: 4}}},
			"e1": {report: model.Report{Server: "e1", Model: "a", Span: model.Span{To: 4}}},
		}
		placement := map[string]setts.Placement{}
		owners := []*State{NewState(), NewState()}
		epochs := []uint64{1, 2}
		var late []Command
		run := func(i int) {
			in := Inbox{Placement: placement, Grace: time.Second, Shards: 1, Epochs: map[int]uint64{0: epochs[i]}, LeaseUntil: now.Add(time.Minute)}
			for _, id := range []model.ServerID{"e0", "e1"} {
				in.Reports = append(in.Reports, engines[id].report)
			}
			for _, c := range owners[i].Tick(now, in) {
				if c.Step == Reserve {
					owners[i].Tick(now, Inbox{Reserved: []Reserved{{Server: c.Server, Start: now}}})
					continue
				}
				if c.Step == Load && engines[c.Server].report.Running > 0 && now.Before(owners[i].rows[c.Server].emptyBy) {
					t.Fatalf("engine %s is loaded anew while it works", c.Server)
				}
				late = append(late, c)
			}
		}
		arrive := func(i int) {
			engines[late[i].Server].obey(t, late[i])
			late = append(late[:i], late[i+1:]...)
		}
		t.Repeat(map[string]func(*rapid.T){
			"want": func(t *rapid.T) {
				next := map[string]setts.Placement{}
				for _, id := range []string{"e0", "e1"} {
					next[id] = setts.Placement{Model: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "model"), Span: model.Span{To: 4}}
				}
				placement = next
			},
			"old owner": func(*rapid.T) { run(0) },
			"new owner": func(*rapid.T) { run(1) },
			"arrive": func(t *rapid.T) {
				if len(late) > 0 {
					arrive(rapid.IntRange(0, len(late)-1).Draw(t, "order"))
				}
			},
			"work": func(t *rapid.T) {
				engines["e0"].report.Running = rapid.IntRange(0, 2).Draw(t, "running")
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 6).Draw(t, "s")) * time.Second)
			},
		})
		for len(late) > 0 {
			arrive(0)
		}
		for range 40 {
			now = now.Add(time.Second)
			run(1)
			for len(late) > 0 {
				arrive(0)
			}
		}
		for id, e := range engines {
			want, ok := placement[string(id)]
			if !ok {
				continue
			}
			if e.report.Model != want.Model || e.report.Emptying {
				t.Fatalf("engine %s holds %s and emptying is %t, wanted %v", id, e.report.Model, e.report.Emptying, want)
			}
		}
	})
}

// TestNoOrderNearTheLeasesEnd: an order must not arrive under another owner.
func TestNoOrderNearTheLeasesEnd(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	in := Inbox{
		Placement: map[string]setts.Placement{"e0": {Model: "b", Span: model.Span{To: 4}}}, Shards: 1,
		Reports: []model.Report{{Server: "e0", Model: "a"}}, Epochs: map[int]uint64{0: 1}, LeaseUntil: now.Add(leaseMargin),
	}
	st := NewState()
	if c := st.Tick(now, in); len(c) > 0 {
		t.Fatalf("ordered near the end of the lease: %v", c)
	}
	in.LeaseUntil = now.Add(leaseMargin + time.Second)
	if c := st.Tick(now, in); len(c) != 1 || c[0].Step != Empty {
		t.Fatalf("not ordered: %v", c)
	}
	in.LeaseUntil, in.Checked = now.Add(leaseMargin), true
	if c := NewState().Tick(now, in); len(c) != 1 {
		t.Fatalf("not ordered at engines that check the number: %v", c)
	}
	in.Epochs = nil
	if c := NewState().Tick(now, in); len(c) > 0 {
		t.Fatalf("ordered without owning the engine: %v", c)
	}
}
