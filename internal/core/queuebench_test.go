package core

import (
	"fmt"
	"testing"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/table"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

// BenchmarkWaiting measures an arrival and a dispatch while 10,000 requests wait, without ranks and with three.
func BenchmarkWaiting(b *testing.B) {
	const waiting = 10_000
	for _, numbers := range [][]int{nil, {0, 1, 2}} {
		b.Run(fmt.Sprintf("ranks=%d", len(numbers)), func(b *testing.B) {
			c := New()
			root := setts.Defaults()
			root.Models["m0"], root.QueueLength = 1, 10*waiting
			settings := setts.EffectiveSettingsOf(1, root, nil)
			settings.Ranks = map[string][]int{"m0": numbers}
			in, out := &msgs.Inbox{Settings: settings}, &msgs.Outbox{}
			id := model.RequestID(0)
			arrive := func() {
				id++
				in.Arrivals = append(in.Arrivals, msgs.Arrival{
					ID: id, Team: model.Team(fmt.Sprintf("/t%d", id%100)), Model: "m0", Rank: int(id % 3), Deadline: benchNow.Add(time.Hour), FirstTokenDeadline: benchNow.Add(time.Hour),
				})
			}
			for range waiting {
				arrive()
			}
			c.Tick(benchNow, in, out)
			in.Reset()
			// One server takes one request at a time.
			in.List = []model.Member{{ID: "e", Address: "e", Role: model.Engine}}
			in.Reports = []model.Report{{Server: "e", Model: "m0", Span: model.Span{To: 1}, Slots: 1, TokensPerSecond: 1000}}
			c.Tick(benchNow, in, out)
			in.Reset()
			b.ReportAllocs()
			for b.Loop() {
				if len(out.Opens) != 1 {
					b.Fatal(len(out.Opens), len(out.Finishes), c.admit.Waiting)
				}
				o := out.Opens[0]
				arrive()
				in.Tokens = append(in.Tokens, model.Token{Request: o.Request, Epoch: o.Epoch}, model.Token{Request: o.Request, Epoch: o.Epoch, Position: 1, End: true})
				c.Tick(benchNow, in, out)
				in.Reset()
			}
		})
	}
}

// BenchmarkReroutingOrder measures the order in which 1,000 requests that lost their engine get routes, without ranks and with three.
func BenchmarkReroutingOrder(b *testing.B) {
	for _, numbers := range [][]int{nil, {0, 1, 2}} {
		b.Run(fmt.Sprintf("ranks=%d", len(numbers)), func(b *testing.B) {
			c := New()
			c.admit.Ranks.SetServices(map[string][]int{"m": numbers})
			for id := model.RequestID(1); id <= 1000; id++ {
				a := msgs.Arrival{ID: id, Model: "m", Rank: int(id*7) % 3}
				c.requests.Add(&table.Request{Arrival: a, HeardAt: benchNow.Add(time.Duration(id*31%1000) * time.Millisecond)})
				c.requests.Rerouting[id] = struct{}{}
			}
			for b.Loop() {
				c.reroutingByRank()
			}
		})
	}
}
