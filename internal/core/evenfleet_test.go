package core

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/core/board"
	"bulrushpond.example/bulrushpond/internal/core/even"
	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/route"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

const (
	// fleetStep is the length of a step of an evenFleet.
	fleetStep = 10 * time.Millisecond
	// fleetRate is the number of requests a second.
	fleetRate = 400
)

// fleetEngine is one row of the table of engines.
type fleetEngine struct {
	report model.Report
	// slow is how many times longer than its step time a token takes.
	slow float64
	// started counts the requests that were sent to it.
	started int
}

// fleetDaemon is one daemon with its core.
type fleetDaemon struct {
	id    model.DaemonID
	core  *Core
	paces *even.Paces
	in    msgs.Inbox
	out   msgs.Outbox
	// exchangeAt is the time of the next exchange.
	exchangeAt time.Time
}

// fleetStream is a stream in progress.
type fleetStream struct {
	daemon  *fleetDaemon
	request model.RequestID
	epoch   model.Epoch
	route   model.Route
	next    int
	tokenAt time.Time
}

// evenFleet is a table of engines, a number of daemons that share them, and a loop of arrivals.
type evenFleet struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Time
	engines  map[model.ServerID]*fleetEngine
	daemons  []*fleetDaemon
	streams  []*fleetStream
	board    *board.State
	interval time.Duration
	answer   int
	lastID   model.RequestID
	// lies are added to what the first daemon reports.
	lies []even.Pace
}

// newEvenFleet returns a fleet over engines that each hold one of two halves of a model.
func newEvenFleet(t *testing.T, daemons, enginesOfHalf int, seed uint64) *evenFleet {
	t.Helper()
	f := &evenFleet{
		t: t, rng: rand.New(rand.NewPCG(seed, 34)), now: time.Unix(1_000_000, 0), engines: map[model.ServerID]*fleetEngine{},
		board: board.New(), interval: 250 * time.Millisecond, answer: 20,
	}
	var list []model.Member
	for i := range enginesOfHalf {
		for half := range 2 {
			id := model.ServerID(fmt.Sprintf("e%d%02d", half, i))
			span := model.Span{From: half, To: half + 1}
			list = append(list, model.Member{ID: string(id), Address: string(id), Zone: "a", Role: model.Engine, Span: span})
			f.engines[id] = &fleetEngine{slow: 1, report: model.Report{
				Server: id, Model: "m", Span: span, Slots: 1000, TokensPerSecond: 1, StepTime: 10 * time.Millisecond, ReportedAt: f.now,
			}}
		}
	}
	root := setts.Defaults()
	root.Models["m"] = 2
	for i := range daemons {
		d := &fleetDaemon{id: model.DaemonID(fmt.Sprintf("d%03d", i)), paces: even.NewPaces()}
		d.core = New(WithPicker(route.NewChains("a", seed<<16+uint64(i), route.WithPaces(d.paces))), WithPaces(d.paces))
		d.exchangeAt = f.now.Add(time.Duration(f.rng.Int64N(int64(f.interval))))
		d.in.Settings, d.in.List, d.in.Daemons = setts.EffectiveSettingsOf(1, root, nil), list, daemons
		for _, m := range list {
			d.in.Reports = append(d.in.Reports, f.engines[model.ServerID(m.ID)].report)
		}
		f.daemons = append(f.daemons, d)
	}
	return f
}

// run lets time pass, and returns how many were sent to each engine.
func (f *evenFleet) run(duration time.Duration) map[model.ServerID]int {
	f.t.Helper()
	for _, e := range f.engines {
		e.started = 0
	}
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(fleetStep) {
		for mean := fleetRate * fleetStep.Seconds(); f.rng.Float64() < mean; mean-- {
			f.lastID++
			d := f.daemons[f.rng.IntN(len(f.daemons))]
			d.in.Arrivals = append(d.in.Arrivals, msgs.Arrival{ID: f.lastID, Model: "m", PromptTokens: 100, MaxTokens: 100, Deadline: f.now.Add(time.Minute)})
		}
		f.sendTokens()
		for _, d := range f.daemons {
			f.tick(d)
		}
	}
	started := map[model.ServerID]int{}
	for id, e := range f.engines {
		started[id] = e.started
	}
	return started
}

// tick exchanges a daemon's loads if it is time, and lets its core decide.
func (f *evenFleet) tick(d *fleetDaemon) {
	if !f.now.Before(d.exchangeAt) {
		d.exchangeAt = d.exchangeAt.Add(f.interval)
		status := d.core.DaemonStatus(f.now)
		if d == f.daemons[0] && len(f.lies) > 0 {
			status.Slow = f.lies
		}
		f.board.Put(f.now, d.id, status)
		d.in.Others, d.in.OthersUntil = f.board.Others(f.now, d.id), f.now.Add(board.StatusTTL)
	}
	d.core.Tick(f.now, &d.in, &d.out)
	d.in.Reset()
	for _, o := range d.out.Opens {
		s := &fleetStream{daemon: d, request: o.Request, epoch: o.Epoch, route: o.Route}
		s.tokenAt = f.now.Add(f.gap(s))
		f.streams = append(f.streams, s)
		for _, h := range o.Route.Hops {
			f.engines[h.Server].started++
		}
	}
}

// gap returns the time of a stream's next token.
func (f *evenFleet) gap(s *fleetStream) time.Duration {
	sum := 0.0
	for _, h := range s.route.Hops {
		e := f.engines[h.Server]
		sum += e.slow * float64(e.report.StepTime)
	}
	return time.Duration(sum * (0.8 + 0.4*f.rng.Float64()))
}

// sendTokens gives the daemons the tokens that are due.
func (f *evenFleet) sendTokens() {
	f.streams = slices.DeleteFunc(f.streams, func(s *fleetStream) bool {
		for !s.tokenAt.After(f.now) {
			tok := model.Token{Request: s.request, Epoch: s.epoch, Position: s.next, End: s.next == f.answer}
			s.daemon.in.Tokens = append(s.daemon.in.Tokens, tok)
			if tok.End {
				return true
			}
			s.next++
			s.tokenAt = s.tokenAt.Add(f.gap(s))
		}
		return false
	})
}

// share returns the part of the requests to an engine's half that were sent to the engine.
func (f *evenFleet) share(started map[model.ServerID]int, id model.ServerID) float64 {
	total := 0
	for other, n := range started {
		if f.engines[other].report.Span == f.engines[id].report.Span {
			total += n
		}
	}
	assert.Assert(f.t, total > 0)
	return float64(started[id]) / float64(total)
}
