package burn

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"slices"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"

	"bulrushpond.example/bulrushpond/pkg/model"
)

// Report is the burn rates of the error budgets over all daemons.
type Report struct {
	CreatedAt time.Time `json:"taken"`
	// Daemons are those that answered. Missing are those that did not; their counts are
	// not included.
	Daemons []model.DaemonID `json:"daemons"`
	Missing []model.DaemonID `json:"missing"`
	Teams   []TeamReport     `json:"teams"`
}

// TeamReport is the part of a report on one team.
type TeamReport struct {
	Team       model.Team        `json:"team"`
	Objectives []ObjectiveReport `json:"objectives"`
	// FirstToken and Gap are quantiles of the times since the start of each daemon.
	FirstToken Quantiles `json:"first_token"`
	Gap        Quantiles `json:"token_gap"`
}

// ObjectiveReport is the counts of one team for one objective.
type ObjectiveReport struct {
	Objective Objective      `json:"objective"`
	Windows   []WindowReport `json:"windows"`
}

// WindowReport is the counts in one time window that ends with the report.
type WindowReport struct {
	Minutes int    `json:"minutes"`
	Good    uint64 `json:"good"`
	Bad     uint64 `json:"bad"`
	// Burn is the burn rate: the bad share divided by the share that the objective
	// allows to be bad. Above 1 the error budget shrinks and the objective is missed.
	Burn float64 `json:"burn"`
}

// Quantiles are quantiles of times, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
}

// Merge returns the report on the snapshots of the daemons that answered. missing are
// the daemons that did not answer.
func Merge(now time.Time, snapshots []Snapshot, missing []model.DaemonID) (Report, error) {
	r := Report{CreatedAt: now, Missing: missing, Daemons: []model.DaemonID{}, Teams: []TeamReport{}}
	teams := map[model.Team][]Snapshot{}
	for _, s := range snapshots {
		r.Daemons = append(r.Daemons, s.Daemon)
		for team := range s.Teams {
			teams[team] = append(teams[team], s)
		}
	}
	slices.Sort(r.Daemons)
	for team, teamSnapshots := range teams {
		t, err := mergeTeam(team, teamSnapshots)
		if err != nil {
			return r, err
		}
		r.Teams = append(r.Teams, t)
	}
	sort.Slice(r.Teams, func(i, j int) bool { return r.Teams[i].Team < r.Teams[j].Team })
	return r, nil
}

// mergeTeam returns the report on one team from the snapshots that contain it.
func mergeTeam(team model.Team, snapshots []Snapshot) (TeamReport, error) {
	t := TeamReport{Team: team}
	limits := snapshots[0].Limits[team]
	var first, gap [][]byte
	for _, s := range snapshots {
		first = append(first, s.Teams[team].First)
		gap = append(gap, s.Teams[team].Gap)
	}
	var err error
	if t.FirstToken, err = mergeQuantiles(first); err != nil {
		return t, err
	}
	if t.Gap, err = mergeQuantiles(gap); err != nil {
		return t, err
	}
	for o := range Lost + 1 {
		objective := ObjectiveReport{Objective: o}
		for w, window := range Windows() {
			sum := Count{}
			for _, s := range snapshots {
				if counts := s.Teams[team].Counts; w < len(counts) && int(o) < len(counts[w]) {
					sum.Good += counts[w][o].Good
					sum.Bad += counts[w][o].Bad
				}
			}
			objective.Windows = append(objective.Windows, WindowReport{
				Minutes: int(window / time.Minute), Good: sum.Good, Bad: sum.Bad, Burn: burnRate(sum, limits.Share),
			})
		}
		t.Objectives = append(t.Objectives, objective)
	}
	return t, nil
}

// burnRate returns the burn rate for an objective by which share of all events must be
// good. It is 0 if nothing was counted or share leaves no error budget.
func burnRate(count Count, share float64) float64 {
	total := count.Good + count.Bad
	if total == 0 || share >= 1 {
		return 0
	}
	return float64(count.Bad) / float64(total) / (1 - share)
}

// mergeQuantiles merges encoded histograms and returns the quantiles of the sum.
func mergeQuantiles(encoded [][]byte) (Quantiles, error) {
	sum := hdrhistogram.New(1, histMax, histDigits)
	for _, raw := range encoded {
		h, err := hdrhistogram.Decode(raw)
		if err != nil {
			return Quantiles{}, trace.Wrap(err)
		}
		sum.Merge(h)
	}
	millisAt := func(q float64) float64 {
		return float64(sum.ValueAtQuantile(q)) * float64(HistUnit) / float64(time.Millisecond)
	}
	return Quantiles{P50: millisAt(50), P95: millisAt(95), P99: millisAt(99)}, nil
}

// WriteJSON writes the report as indented JSON.
func (r Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return trace.Wrap(enc.Encode(r))
}

// WriteText writes the report as a table for a terminal.
func (r Report) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(tw, "error budget burn rates at %s, from %d daemons\n", r.CreatedAt.Format(time.RFC3339), len(r.Daemons))
	for _, d := range r.Missing {
		_, _ = fmt.Fprintf(tw, "no answer from daemon %s: its counts are missing\n", d)
	}
	_, _ = fmt.Fprint(tw, "team\tobjective\twindow\tgood\tbad\tburn\n")
	for _, t := range r.Teams {
		for _, o := range t.Objectives {
			for _, win := range o.Windows {
				_, _ = fmt.Fprintf(tw, "%s\t%s\t%d min\t%d\t%d\t%.2f\n", t.Team, o.Objective, win.Minutes, win.Good, win.Bad, win.Burn)
			}
		}
		_, _ = fmt.Fprintf(tw, "%s\tfirst token ms\tp50 %.1f\tp95 %.1f\tp99 %.1f\t\n", t.Team, t.FirstToken.P50, t.FirstToken.P95, t.FirstToken.P99)
		_, _ = fmt.Fprintf(tw, "%s\ttoken gap ms\tp50 %.1f\tp95 %.1f\tp99 %.1f\t\n", t.Team, t.Gap.P50, t.Gap.P95, t.Gap.P99)
	}
	return trace.Wrap(tw.Flush())
}

//go:embed report.html.tmpl
var pageTemplate string

// fullBarBurn is the burn rate at which a bar of the page has its full width.
const fullBarBurn = 4.0

// WriteHTML writes the report as a self-contained HTML page.
func (r Report) WriteHTML(w io.Writer) error {
	t, err := template.New("report").Funcs(template.FuncMap{
		"width": func(burn float64) int { return int(100 * min(burn, fullBarBurn) / fullBarBurn) },
		"level": burnClass,
	}).Parse(pageTemplate)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(t.Execute(w, r))
}

// burnClass returns the CSS class for a burn rate.
func burnClass(burn float64) string {
	switch {
	case burn > 2:
		return "high"
	case burn > 1:
		return "over"
	}
	return "fine"
}
