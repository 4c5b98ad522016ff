// Measure benchmarks routing policies in virtual time and prints a table of results.
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
	Loads   []float64     `default:"0.8" help:"Offered load as a fraction of the throughput bound."`
	Daemons []int         `default:"7" help:"Numbers of daemons."`
	Engines int           `default:"40" help:"Number of engines."`
	Seeds   []uint64      `default:"1" help:"Random seeds; 101 to 105 are reserved for recorded results and not used for tuning."`
	Length  time.Duration `default:"40s" help:"Virtual time of a run."`
	WarmUp  time.Duration `default:"10s" help:"Virtual time before measurement starts."`
	Kill    time.Duration `help:"Kill the busiest engine at this virtual time."`
	Flood   float64       `default:"1" help:"Factor by which the first team exceeds its usual load."`
	Teams   bool          `help:"Also print each team's share of complete answers."`
}

// pickerConstructors returns the constructors of the routing policies by name.
func pickerConstructors() map[string]func(*rand.Rand) route.Picker {
	return map[string]func(*rand.Rand) route.Picker{
		"flow":           func(r *rand.Rand) route.Picker { return route.NewFlow(r.Uint64()) },
		"round_robin":    func(*rand.Rand) route.Picker { return route.NewBaseline(route.RoundRobin()) },
		"least_reported": func(*rand.Rand) route.Picker { return route.NewBaseline(route.LeastReported()) },
		"two_choices":    func(r *rand.Rand) route.Picker { return route.NewBaseline(route.TwoChoices(r)) },
	}
}

func main() {
	var c cli
	kong.Parse(&c, kong.Name("measure"), kong.Description("Benchmarks routing policies in virtual time."))
	if err := c.run(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(2)
	}
}

// run benchmarks every combination of the flags and prints one row for each.
func (c *cli) run() error {
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	defer func() { _ = table.Flush() }()
	_, _ = fmt.Fprintln(table, "user\tpolicy\tdaemons\tload\tseed\tbound\ttokens/s\tshare\tgoodput\tfirst p50\tp95\tp99 ms\tgap p50\tp95\tp99 ms\trefused\tlost\tlate\trecovery p50\tp99 ms\tcore us/token")
	for _, user := range c.Users {
		workload := bench.Quintal()
		if user == "jaring" {
			workload = bench.Jaring()
		}
		for _, policy := range c.Pickers {
			newPicker, ok := pickerConstructors()[policy]
			if !ok {
				return fmt.Errorf("unknown policy %q", policy)
			}
			for _, daemons := range c.Daemons {
				for _, load := range c.Loads {
					for _, seed := range c.Seeds {
						flooded, factor := workload.Flood(c.Flood)
						plan := bench.Plan{Engines: c.Engines, Daemons: daemons, Workload: flooded, Load: load * factor, Seed: seed, Length: c.Length, WarmUp: c.WarmUp, Picker: newPicker, KillAt: c.Kill}
						c.print(table, policy, plan, bench.Run(plan))
					}
				}
			}
		}
	}
	return nil
}

// print prints the row of one run, and the rows of its teams if they are wanted.
func (c *cli) print(table *tabwriter.Writer, policy string, plan bench.Plan, result bench.Result) {
	milliseconds := func(microseconds int64) float64 { return float64(microseconds) / 1000 }
	total := result.Total()
	offered := float64(max(1, total.Offered))
	_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%.2f\t%d\t%.0f\t%.0f\t%.3f\t%.3f", plan.Workload.Name, policy, plan.Daemons, plan.Load, plan.Seed, result.Bound, result.Tokens, result.Tokens/result.Bound, result.Good/result.Bound)
	_, _ = fmt.Fprintf(table, "\t%.0f\t%.0f\t%.0f", milliseconds(result.First.ValueAtQuantile(50)), milliseconds(result.First.ValueAtQuantile(95)), milliseconds(result.First.ValueAtQuantile(99)))
	_, _ = fmt.Fprintf(table, "\t%.1f\t%.1f\t%.1f", milliseconds(result.Gap.ValueAtQuantile(50)), milliseconds(result.Gap.ValueAtQuantile(95)), milliseconds(result.Gap.ValueAtQuantile(99)))
	_, _ = fmt.Fprintf(table, "\t%.3f\t%.4f\t%.3f", float64(total.Refused)/offered, float64(total.Lost)/offered, float64(total.Late)/offered)
	_, _ = fmt.Fprintf(table, "\t%.0f\t%.0f\t%.2f\n", milliseconds(result.Recovery.ValueAtQuantile(50)), milliseconds(result.Recovery.ValueAtQuantile(99)), float64(result.CoreTime.Nanoseconds())/1000)
	if !c.Teams {
		return
	}
	for i, team := range result.Teams {
		_, _ = fmt.Fprintf(table, "  %s\toffered %d\twhole %.3f\trefused %.3f\tlate %.3f\n", plan.Workload.Teams[i].Team, team.Offered, float64(team.Whole)/float64(max(1, team.Offered)), float64(team.Refused)/float64(max(1, team.Offered)), float64(team.Late)/float64(max(1, team.Offered)))
	}
}
