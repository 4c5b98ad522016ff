package core

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/route"
	"bulrushpond.example/bulrushpond/internal/core/table"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

var benchNow = time.Unix(1_000_000, 0)

// benchCore returns a core with the given numbers of engines and teams. Each engine holds half
// of a model's layers. More than 1000 engines are spread over 31 models.
func benchCore(engines, teams int) *Core {
	models := 1
	if engines > 1000 {
		models = 31
	}
	tree := setts.NewTree()
	tree.Revision = 1
	var names strings.Builder
	for m := range models {
		fmt.Fprintf(&names, "m%d: 32, ", m)
	}
	tree.Nodes["/"] = setts.Node{Settings: map[string]string{"models": "{" + names.String() + "}", "queue_length": "100000"}}
	for i := range teams {
		tree.Nodes[fmt.Sprintf("/t%d", i)] = setts.Node{Kind: setts.Team}
	}
	c := New()
	in, out := &msgs.Inbox{Settings: setts.NewEffectiveSettings(tree), List: []model.Member{}}, &msgs.Outbox{}
	for i := range engines {
		id := fmt.Sprintf("e%05d", i)
		half := model.Span{From: 16 * (i % 2), To: 16 * (1 + i%2)}
		in.List = append(in.List, model.Member{ID: id, Address: id, Role: model.Engine})
		in.Reports = append(in.Reports, model.Report{Server: model.ServerID(id), Model: fmt.Sprintf("m%d", (i/2)%models), Span: half, Slots: 1 << 20, TokensPerSecond: 1000})
	}
	c.Tick(benchNow, in, out)
	return c
}

// BenchmarkRoute measures one routing decision.
func BenchmarkRoute(b *testing.B) {
	for _, engines := range []int{40, 12_000} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			c := benchCore(engines, 10)
			r := &table.Request{Arrival: msgs.Arrival{Model: "m0", Prefix: 1, PromptTokens: 800}}
			q := route.Query{Request: r, Layers: 32, Daemons: 7}
			b.ReportAllocs()
			for b.Loop() {
				if _, result := c.picker.Pick(benchNow, c.servers, q); result != route.Found {
					b.Fatal(result)
				}
			}
		})
	}
}

// BenchmarkRequest measures a request with an answer of one token, from arrival to finish.
func BenchmarkRequest(b *testing.B) {
	for _, size := range []struct{ engines, teams int }{{40, 10}, {40, 2700}, {12_000, 2700}} {
		b.Run(fmt.Sprintf("engines=%d/teams=%d", size.engines, size.teams), func(b *testing.B) {
			c := benchCore(size.engines, size.teams)
			in, out := &msgs.Inbox{}, &msgs.Outbox{}
			id := model.RequestID(0)
			b.ReportAllocs()
			for b.Loop() {
				id++
				team := model.Team(fmt.Sprintf("/t%d", int(id)%size.teams))
				in.Arrivals = append(in.Arrivals, msgs.Arrival{ID: id, Team: team, Model: "m0", Deadline: benchNow.Add(time.Minute)})
				c.Tick(benchNow, in, out)
				in.Reset()
				epoch := out.Opens[0].Epoch
				in.Tokens = append(in.Tokens, model.Token{Request: id, Epoch: epoch}, model.Token{Request: id, Epoch: epoch, Position: 1, End: true})
				c.Tick(benchNow, in, out)
				in.Reset()
			}
		})
	}
}

// BenchmarkToken measures one token, with many requests in progress.
func BenchmarkToken(b *testing.B) {
	for _, requests := range []int{100, 10_000} {
		b.Run(fmt.Sprintf("requests=%d", requests), func(b *testing.B) {
			c := benchCore(40, 10)
			in, out := &msgs.Inbox{}, &msgs.Outbox{}
			for i := range requests {
				in.Arrivals = append(in.Arrivals, msgs.Arrival{ID: model.RequestID(i + 1), Team: "/t1", Model: "m0", Deadline: benchNow.Add(time.Hour)})
			}
			c.Tick(benchNow, in, out)
			in.Reset()
			next := make([]int, requests+1)
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i = i%requests + 1
				in.Tokens = append(in.Tokens, model.Token{Request: model.RequestID(i), Epoch: 1, Position: next[i]})
				next[i]++
				c.Tick(benchNow, in, out)
				in.Reset()
			}
		})
	}
}

// BenchmarkChange measures one change of the settings, up to the number of teams that the
// router is designed for.
func BenchmarkChange(b *testing.B) {
	for _, teams := range []int{10, 2700} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			tree := setts.NewTree()
			for i := range teams {
				tree.Nodes[fmt.Sprintf("/t%d", i)] = setts.Node{Kind: setts.Team, Settings: map[string]string{"weight": "2"}}
			}
			f := setts.NewEffectiveSettings(tree)
			b.ReportAllocs()
			for b.Loop() {
				next, err := f.Next(setts.Change{Path: "/t5", Base: f.Tree.Nodes["/t5"].Changed, Set: map[string]string{"weight": "3"}})
				if err != nil {
					b.Fatal(err)
				}
				f = next
			}
		})
	}
}

// BenchmarkTables measures the memory of the tables for each engine.
func BenchmarkTables(b *testing.B) {
	for _, engines := range []int{40, 12_000} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			var before, after runtime.MemStats
			var c *Core
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				c = benchCore(engines, 10)
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(engines), "bytes/engine")
			runtime.KeepAlive(c)
		})
	}
}

// BenchmarkReports measures a tick with one report of each engine.
func BenchmarkReports(b *testing.B) {
	for _, engines := range []int{40, 12_000} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			c := benchCore(engines, 10)
			in, out := &msgs.Inbox{}, &msgs.Outbox{}
			now := benchNow
			for b.Loop() {
				now = now.Add(time.Second)
				for _, id := range c.servers.IDs() {
					r := c.servers.Get(id).Report
					r.ReportedAt = now
					in.Reports = append(in.Reports, r)
				}
				c.Tick(now, in, out)
				in.Reset()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(engines), "ns/report")
		})
	}
}

// BenchmarkPlan measures the computation of a model's routing plan.
func BenchmarkPlan(b *testing.B) {
	for _, engines := range []int{40, 12_000} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			c := benchCore(engines, 10)
			for b.Loop() {
				route.NewPlan(benchNow, c.servers, "m0", 32)
			}
		})
	}
}
