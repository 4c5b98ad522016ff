// Measure runs the benchmarks of the policy in virtual time and prints a table.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"bulrushpond.example/bulrushpond/internal/bench"
	"bulrushpond.example/bulrushpond/internal/core/route"
)

type cli struct {
	Users   []string      `default:"quintal,jaring" help:"Workloads: quintal, jaring."`
	Pickers []string      `default:"flow" help:"Policies: flow, round_robin, least_reported, two_choices."`
	Loads   []float64     `default:"0.8" help:"Offered load as a share of the bound."`
	Daemons []int         `default:"7" help:"Numbers of daemons."`
	Engines int           `default:"40" help:"Number of engines."`
	Seeds   []uint64      `default:"1" help:"Seeds; 101 to 105 are kept for the record and never tuned on."`
	Length  time.Duration `default:"40s" help:"Virtual time of a run."`
	WarmUp  time.Duration `default:"10s" help:"Virtual time before counting."`
	Kill    time.Duration `help:"Kill the busiest engine at this time."`
	Flood   float64       `default:"1" help:"Factor by which the first team exceeds its usual load."`
	Teams   bool          `help:"Also print each team's share of whole answers."`
}

func pickers() map[string]func(*rand.Rand) route.Picker {
	return map[string]func(*rand.Rand) route.Picker{
		"flow":           func(r *rand.Rand) route.Picker { return route.NewFlow(r.Uint64()) },
		"round_robin":    func(*rand.Rand) route.Picker { return route.NewBaseline(route.RoundRobin()) },
		"least_reported": func(*rand.Rand) route.Picker { return route.NewBaseline(route.LeastReported()) },
		"two_choices":    func(r *rand.Rand) route.Picker { return route.NewBaseline(route.TwoChoices(r)) },
	}
}

func main() {
	var c cli
	kong.Parse(&c, kong.Name("measure"), kong.Description("Measures the routing policy in virtual time."))
	if err := c.run(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(2)
	}
}

func (c *cli) run() error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	defer func() { _ = w.Flush() }()
	_, _ = fmt.Fprintln(w, "user\tpolicy\tdaemons\tload\tseed\tbound\ttokens/s\tshare\tgoodput\tfirst p50\tp95\tp99 ms\tgap p50\tp95\tp99 ms\trefused\tlost\tlate\trecovery p50\tp99 ms\tcore us/token")
	for _, user := range c.Users {
		workload := bench.Quintal()
		if user == "jaring" {
			workload = bench.Jaring()
		}
		for _, name := range c.Pickers {
			picker, ok := pickers()[name]
			if !ok {
				return fmt.Errorf("unknown policy %q", name)
			}
			for _, d := range c.Daemons {
				for _, load := range c.Loads {
					for _, seed := range c.Seeds {
						w2, factor := workload.Flood(c.Flood)
						p := bench.Plan{Engines: c.Engines, Daemons: d, Workload: w2, Load: load * factor, Seed: seed, Length: c.Length, WarmUp: c.WarmUp, Picker: picker, KillAt: c.Kill}
						c.print(w, name, p, bench.Run(p))
					}
				}
			}
		}
	}
	return nil
}

func (c *cli) print(w *tabwriter.Writer, name string, p bench.Plan, r bench.Result) {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	t := r.Total()
	n := float64(max(1, t.Offered))
	_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%.2f\t%d\t%.0f\t%.0f\t%.3f\t%.3f", p.Workload.Name, name, p.Daemons, p.Load, p.Seed, r.Bound, r.Tokens, r.Tokens/r.Bound, r.Good/r.Bound)
	_, _ = fmt.Fprintf(w, "\t%.0f\t%.0f\t%.0f", ms(r.First.ValueAtQuantile(50)), ms(r.First.ValueAtQuantile(95)), ms(r.First.ValueAtQuantile(99)))
	_, _ = fmt.Fprintf(w, "\t%.1f\t%.1f\t%.1f", ms(r.Gap.ValueAtQuantile(50)), ms(r.Gap.ValueAtQuantile(95)), ms(r.Gap.ValueAtQuantile(99)))
	_, _ = fmt.Fprintf(w, "\t%.3f\t%.4f\t%.3f", float64(t.Refused)/n, float64(t.Lost)/n, float64(t.Late)/n)
	_, _ = fmt.Fprintf(w, "\t%.0f\t%.0f\t%.2f\n", ms(r.Recovery.ValueAtQuantile(50)), ms(r.Recovery.ValueAtQuantile(99)), float64(r.CoreTime.Nanoseconds())/1000)
	if !c.Teams {
		return
	}
	for i, team := range r.Teams {
		_, _ = fmt.Fprintf(w, "  %s\toffered %d\twhole %.3f\trefused %.3f\tlate %.3f\n", p.Workload.Teams[i].Team, team.Offered, float64(team.Whole)/float64(max(1, team.Offered)), float64(team.Refused)/float64(max(1, team.Offered)), float64(team.Late)/float64(max(1, team.Offered)))
	}
}
