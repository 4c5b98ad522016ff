// Package order reconciles model engines with the placement in the settings: it
// compares each engine's reports with the placement and issues commands until
// both agree, so the effect of a stale command is corrected. Each engine has one
// owner at a time, the daemon that owns the shard of the engine's name. The
// shard's epoch is the fencing token of its commands.
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
	// retryInterval is how long to wait for an engine's reports to reflect a
	// command before it is sent again.
	retryInterval = 5 * time.Second
	// unfencedLeaseMargin is how much of the lease must remain to send a
	// command: one that takes capacity away must not reach an engine that has
	// another owner by then. Engines that check the fencing token reject such
	// a command themselves, so fencedLeaseMargin is shorter.
	unfencedLeaseMargin = 3 * time.Second
	fencedLeaseMargin   = time.Second
)

//go:generate enumer -type=Step -transform=snake -output=step_enumer.go

// Step is the action that a command asks for.
type Step uint8

const (
	// None is the zero value; no command has it.
	None Step = iota
	// Empty tells an engine to finish its running work and accept no more.
	Empty
	// Reserve asks the weight store for a time at which a load may start.
	Reserve
	// Load tells an engine to load the model and layer span of its placement.
	Load
	// Serve tells an emptying engine that matches its placement to accept work
	// again.
	Serve
)

// Command is one step for one engine.
type Command struct {
	Step      Step
	Server    model.ServerID
	Placement setts.Placement
	// Fence is the fencing token: the epoch of the engine's shard.
	Fence uint64
}

// Reservation is the weight store's answer to a Reserve step: when the load may
// start. A zero Start is a refusal.
type Reservation struct {
	Server model.ServerID
	Start  time.Time
}

// Inbox holds the input of one tick.
type Inbox struct {
	// Placement is the placement by engine name, or nil if the settings did
	// not change. EmptyGrace and EnginesCheckFence are read only if Placement is set.
	Placement map[string]setts.Placement
	// EmptyGrace is how long an emptying engine may take to finish its work.
	EmptyGrace time.Duration
	// EnginesCheckFence reports whether engines reject old fencing tokens.
	EnginesCheckFence bool
	Reports           []model.Report
	Reservations      []Reservation
	// Shards is the number of shards, Epochs holds the epochs of the shards
	// that this daemon owns, and LeaseUntil is when its ownership may end.
	Shards     int
	Epochs     map[int]uint64
	LeaseUntil time.Time
}

// engineState is the reconciliation state of one engine that has a placement.
type engineState struct {
	// report is the engine's latest report.
	report model.Report
	// emptyDeadline is when the engine's running work is cut off; zero unless
	// the engine was told to empty.
	emptyDeadline time.Time
	// loadAt is when the load may start; zero while no start time is reserved.
	loadAt time.Time
	// lastStep is the step of the latest command. The same step is not sent
	// again before retryAt; a different one is sent at once.
	lastStep Step
	retryAt  time.Time
}

// State is the state kept between ticks.
type State struct {
	placements        map[string]setts.Placement
	grace             time.Duration
	enginesCheckFence bool
	engines           map[model.ServerID]*engineState
}

// New returns a State without placements.
func New() *State {
	return &State{grace: setts.Defaults().DrainGrace, engines: map[model.ServerID]*engineState{}}
}

// Tick applies the inbox and returns the commands that are due. It returns none
// near the end of the lease, nor for engines whose shard this daemon does not own.
func (st *State) Tick(now time.Time, in Inbox) []Command {
	if in.Placement != nil {
		st.placements, st.grace, st.enginesCheckFence = in.Placement, in.EmptyGrace, in.EnginesCheckFence
		maps.DeleteFunc(st.engines, func(id model.ServerID, _ *engineState) bool {
			_, kept := st.placements[string(id)]
			return !kept
		})
	}
	for _, r := range in.Reports {
		if _, ok := st.placements[string(r.Server)]; ok {
			st.engine(r.Server).report = r
		}
	}
	for _, r := range in.Reservations {
		if e := st.engines[r.Server]; e != nil && !r.Start.IsZero() {
			e.loadAt = r.Start
		}
	}
	if !now.Before(in.LeaseUntil.Add(-st.leaseMargin())) {
		return nil
	}
	var commands []Command
	for _, name := range slices.Sorted(maps.Keys(st.placements)) {
		id := model.ServerID(name)
		epoch, owned := in.Epochs[ShardOf(id, in.Shards)]
		if e := st.engines[id]; owned && e != nil {
			commands = e.appendCommand(now, id, st.placements[name], st.grace, epoch, commands)
		}
	}
	return commands
}

// leaseMargin returns how much of the lease must remain to send a command.
func (st *State) leaseMargin() time.Duration {
	if st.enginesCheckFence {
		return fencedLeaseMargin
	}
	return unfencedLeaseMargin
}

// ShardOf returns the shard whose owner sends an engine its commands.
func ShardOf(id model.ServerID, shards int) int {
	return rings.NewDigest("engine", string(id)).Shard(shards)
}

// engine returns the state of an engine, adding it if there is none.
func (st *State) engine(id model.ServerID) *engineState {
	e := st.engines[id]
	if e == nil {
		e = &engineState{}
		st.engines[id] = e
	}
	return e
}

// appendCommand compares an engine's report with its placement and appends the
// next command towards it, if one is due.
func (e *engineState) appendCommand(now time.Time, id model.ServerID, wanted setts.Placement, grace time.Duration, epoch uint64, commands []Command) []Command {
	placed := e.report.Model == wanted.Model && e.report.Span == wanted.Span
	if placed && !e.report.Emptying {
		*e = engineState{report: e.report}
		return commands
	}
	if e.report.Emptying && e.emptyDeadline.IsZero() {
		// A previous owner told the engine to empty.
		e.emptyDeadline = now.Add(grace)
	}
	step, due := e.nextStep(now, placed)
	if !due || (step == e.lastStep && now.Before(e.retryAt)) {
		return commands
	}
	switch step {
	case Empty:
		e.emptyDeadline = now.Add(grace)
	case Load:
		e.loadAt = time.Time{}
	case None, Reserve, Serve:
	}
	e.lastStep, e.retryAt = step, now.Add(retryInterval)
	return append(commands, Command{Step: step, Server: id, Placement: wanted, Fence: epoch})
}

// nextStep returns the next step for an engine and whether it is due. placed
// reports whether the engine holds its placement.
func (e *engineState) nextStep(now time.Time, placed bool) (Step, bool) {
	switch {
	case placed:
		return Serve, true
	case !e.report.Emptying:
		return Empty, true
	case e.report.Running > 0 && now.Before(e.emptyDeadline):
		return Load, false
	case e.loadAt.IsZero():
		// No start is reserved anew while reports may not yet show the last load.
		return Reserve, e.lastStep != Load || !now.Before(e.retryAt)
	}
	return Load, !now.Before(e.loadAt)
}
