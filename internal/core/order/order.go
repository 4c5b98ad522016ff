// Package order decides which instructions the model engines get, so that they
// come to hold what the settings' placement says. Each engine has one owner at a
// time: the daemon that owns the shard of the engine's name. The shard's epoch is
// the fencing number of its orders. What an engine reports is compared with what
// is wanted until both agree, so a stale order that an engine obeyed is repaired.
package order

import (
	"maps"
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/internal/rings"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

const (
	// retryAfter is how long an engine's reports may take to show an order.
	retryAfter = 5 * time.Second
	// leaseMargin is how much of the lease must be left for an order: one that
	// takes capacity away must not reach an engine that has another owner by
	// then. An engine that checks the fencing number protects itself, so less
	// is enough.
	leaseMargin        = 3 * time.Second
	leaseMarginChecked = time.Second
)

//go:generate enumer -type=Step -transform=snake -output=step_enumer.go

// Step is what a command asks for.
type Step uint8

const (
	// None is no step.
	None Step = iota
	// Empty tells an engine to finish its work and take no more.
	Empty
	// Reserve asks the weight store when a load may start.
	Reserve
	// Load tells an engine to load what is wanted.
	Load
	// Serve tells an engine that holds what is wanted to take work again.
	Serve
)

// Command is one thing to do.
type Command struct {
	Step   Step
	Server model.ServerID
	Wanted setts.Placement
	Fence  uint64
}

// Reserved tells when a load may start; a zero Start is a refusal.
type Reserved struct {
	Server model.ServerID
	Start  time.Time
}

// Inbox is what happened since the last tick.
type Inbox struct {
	// Placement is what the settings want, or nil for no news.
	Placement map[string]setts.Placement
	// Grace is how long an engine may take to finish its work.
	Grace time.Duration
	// Checked is whether engines refuse old fencing numbers; news with Placement.
	Checked  bool
	Reports  []model.Report
	Reserved []Reserved
	// Shards is the number of shards; Epochs are those of the shards owned
	// here, and LeaseUntil is when the ownership may end.
	Shards     int
	Epochs     map[int]uint64
	LeaseUntil time.Time
}

// engineRow is one engine with a placement.
type engineRow struct {
	report model.Report
	// emptyBy is when the engine's work is cut off; zero unless it was told to
	// empty.
	emptyBy time.Time
	// startAt is when the load may start; zero before it is reserved.
	startAt time.Time
	// last is the step that was asked for last; it is asked for again at
	// repeatAt. Another step waits for nothing.
	last     Step
	repeatAt time.Time
}

// State is what the system remembers between ticks.
type State struct {
	wanted  map[string]setts.Placement
	grace   time.Duration
	checked bool
	rows    map[model.ServerID]*engineRow
}

// NewState returns the state before any placement.
func NewState() *State {
	return &State{grace: setts.Defaults().DrainGrace, rows: map[model.ServerID]*engineRow{}}
}

// Tick takes in what happened and returns what is to be done.
func (st *State) Tick(now time.Time, in Inbox) []Command {
	if in.Placement != nil {
		st.wanted, st.grace, st.checked = in.Placement, in.Grace, in.Checked
		maps.DeleteFunc(st.rows, func(id model.ServerID, _ *engineRow) bool {
			_, kept := st.wanted[string(id)]
			return !kept
		})
	}
	for _, r := range in.Reports {
		if _, ok := st.wanted[string(r.Server)]; ok {
			st.row(r.Server).report = r
		}
	}
	for _, r := range in.Reserved {
		if row := st.rows[r.Server]; row != nil && !r.Start.IsZero() {
			row.startAt = r.Start
		}
	}
	if !now.Before(in.LeaseUntil.Add(-st.margin())) {
		return nil
	}
	var commands []Command
	for _, name := range slices.Sorted(maps.Keys(st.wanted)) {
		id := model.ServerID(name)
		epoch, owned := in.Epochs[ShardOf(id, in.Shards)]
		if row := st.rows[id]; owned && row != nil {
			commands = row.step(now, id, st.wanted[name], st.grace, epoch, commands)
		}
	}
	return commands
}

// margin is how much of the lease must be left for an order.
func (st *State) margin() time.Duration {
	if st.checked {
		return leaseMarginChecked
	}
	return leaseMargin
}

// ShardOf returns the shard whose owner gives an engine its orders.
func ShardOf(id model.ServerID, shards int) int {
	return rings.Digest("engine", string(id)).Shard(shards)
}

func (st *State) row(id model.ServerID) *engineRow {
	row := st.rows[id]
	if row == nil {
		row = &engineRow{}
		st.rows[id] = row
	}
	return row
}

// step compares what an engine reports with what is wanted, and adds the one
// command that leads on.
func (row *engineRow) step(now time.Time, id model.ServerID, wanted setts.Placement, grace time.Duration, epoch uint64, commands []Command) []Command {
	holds := row.report.Model == wanted.Model && row.report.Span == wanted.Span
	if holds && !row.report.Emptying {
		*row = engineRow{report: row.report}
		return commands
	}
	if row.report.Emptying && row.emptyBy.IsZero() {
		// An earlier owner told the engine to empty.
		row.emptyBy = now.Add(grace)
	}
	step, due := row.next(now, holds)
	if !due || (step == row.last && now.Before(row.repeatAt)) {
		return commands
	}
	switch step {
	case Empty:
		row.emptyBy = now.Add(grace)
	case Load:
		row.startAt = time.Time{}
	case None, Reserve, Serve:
	}
	row.last, row.repeatAt = step, now.Add(retryAfter)
	return append(commands, Command{Step: step, Server: id, Wanted: wanted, Fence: epoch})
}

// next returns the step that an engine needs, and whether it is due.
func (row *engineRow) next(now time.Time, holds bool) (Step, bool) {
	switch {
	case holds:
		return Serve, true
	case !row.report.Emptying:
		return Empty, true
	case row.report.Running > 0 && now.Before(row.emptyBy):
		return Load, false
	case row.startAt.IsZero():
		// After a load the reports may take a while to show it.
		return Reserve, row.last != Load || !now.Before(row.repeatAt)
	}
	return Load, !now.Before(row.startAt)
}
