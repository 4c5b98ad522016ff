package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpond.example/bulrushpond/internal/core/drain"
	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/proof"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

const (
	testLayers = 12
	testModel  = "m"
)

// stream is one epoch at the engines, who keep sending until they are through,
// whatever the core thinks of them.
type stream struct {
	open msgs.Open
	next int
	dead bool
	// silent engines report no digest of the stages.
	silent bool
}

// asked is the oracle's view of a request.
type asked struct {
	length int
	// sent is how many positions the caller was sent, in order.
	sent     int
	opened   bool
	epoch    model.Epoch
	finished bool
	deadline time.Time
}

type coreWorld struct {
	t       *rapid.T
	now     time.Time
	core    *Core
	in      msgs.Inbox
	out     msgs.Outbox
	streams []*stream
	asked   map[model.RequestID]*asked
	next    model.RequestID
	list    map[string]model.Member
	reports map[model.ServerID]model.Report
	drained []string
	// told is the state of each server in the last list that was handed over.
	told    map[string]model.MemberState
	leaving map[model.ServerID]bool
	// recent are tokens already delivered, to be doubled and swapped.
	recent []model.Token
	whole  int
	rev    model.Revision
}

func newCoreWorld(t *rapid.T) *coreWorld {
	w := &coreWorld{
		t: t, now: time.Unix(1_000_000, 0), core: New(), asked: map[model.RequestID]*asked{},
		list: map[string]model.Member{}, reports: map[model.ServerID]model.Report{}, leaving: map[model.ServerID]bool{},
		told: map[string]model.MemberState{},
	}
	spans := []model.Span{{From: 0, To: 6}, {From: 6, To: 12}, {From: 0, To: 4}, {From: 4, To: 12}, {From: 0, To: 12}}
	for i, span := range append(spans, spans[:2]...) {
		id := fmt.Sprintf("e%d", i)
		w.list[id] = model.Member{ID: id, Address: id + ":1", Role: model.Engine}
		w.reports[model.ServerID(id)] = model.Report{Server: model.ServerID(id), Model: testModel, Span: span, Slots: 3, TokensPerSecond: 100}
	}
	w.setForce()
	w.setList()
	w.tick()
	w.setReports()
	w.tick()
	return w
}

func (w *coreWorld) setForce() {
	w.rev++
	root := setts.Node{Kind: setts.Firm, Settings: map[string]string{"models": "{m: 12}", "drain_servers": fmt.Sprintf("%q", w.drained)}}
	if len(w.drained) == 0 {
		root.Settings["drain_servers"] = "[]"
	} else {
		root.Settings["drain_servers"] = "[" + w.drained[0] + "]"
	}
	w.in.Force = setts.NewForce(setts.Tree{Revision: w.rev, Nodes: map[string]setts.Node{setts.Root: root}})
}

func (w *coreWorld) setList() {
	w.in.List = []model.Member{}
	for _, m := range w.list {
		w.in.List = append(w.in.List, m)
	}
	slices.SortFunc(w.in.List, func(a, b model.Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}

func (w *coreWorld) setReports() {
	for _, id := range w.serverIDs() {
		r := w.reports[id]
		r.Taken = w.now
		w.in.Reports = append(w.in.Reports, r)
	}
}

func (w *coreWorld) serverIDs() []model.ServerID {
	var ids []model.ServerID
	for id := range w.reports {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// tick runs the core and holds its commands against the oracle.
func (w *coreWorld) tick() {
	w.noteLeaving()
	w.core.Tick(w.now, &w.in, &w.out)
	w.in.Reset()
	for _, tok := range w.out.Sends {
		w.sent(tok)
	}
	for _, o := range w.out.Opens {
		w.opened(o)
	}
	for _, f := range w.out.Finishes {
		w.finished(f)
	}
	for id, a := range w.asked {
		if !a.finished && !a.deadline.After(w.now) && w.arrived(id) {
			w.t.Fatalf("request %d was not answered at its deadline", id)
		}
	}
	if err := w.core.Check(); err != nil {
		w.t.Fatal(err)
	}
}

// arrived reports whether the core was told of a request.
func (w *coreWorld) arrived(id model.RequestID) bool {
	for _, a := range w.in.Arrivals {
		if a.ID == id {
			return false
		}
	}
	return true
}

// noteLeaving records what the three sources say in this tick.
func (w *coreWorld) noteLeaving() {
	for _, m := range w.in.List {
		w.told[m.ID] = m.State
	}
	for _, id := range w.serverIDs() {
		w.leaving[id] = w.told[string(id)] == model.Leaving || slices.Contains(w.drained, string(id)) || w.core.leavingByReport(id)
	}
	for _, r := range w.in.Reports {
		w.leaving[r.Server] = w.leaving[r.Server] || r.Leaving
	}
}

func (c *Core) leavingByReport(id model.ServerID) bool {
	s := c.servers.Get(id)
	return s != nil && s.ReportLeaving
}

// textOf is the one right text of a position.
func textOf(id model.RequestID, position int) string { return fmt.Sprintf("%d.%d", id, position) }

func (w *coreWorld) sent(tok model.Token) {
	a := w.asked[tok.Request]
	switch {
	case a == nil || a.finished:
		w.t.Fatalf("token %d was sent for request %d, which is not in progress", tok.Position, tok.Request)
	case tok.Position != a.sent:
		w.t.Fatalf("request %d was sent position %d after %d", tok.Request, tok.Position, a.sent-1)
	case tok.Epoch != a.epoch:
		w.t.Fatalf("request %d was sent a token of epoch %d in epoch %d", tok.Request, tok.Epoch, a.epoch)
	case tok.Text != textOf(tok.Request, tok.Position):
		w.t.Fatalf("request %d was sent the text %q at position %d", tok.Request, tok.Text, tok.Position)
	}
	a.sent++
}

func (w *coreWorld) opened(o msgs.Open) {
	a := w.asked[o.Request]
	if a == nil || a.finished {
		w.t.Fatalf("a stream was opened for request %d, which is not in progress", o.Request)
	}
	if !o.Route.Covers(testLayers) {
		w.t.Fatalf("route %v does not run all layers once, in order", o.Route)
	}
	if o.From != a.sent {
		w.t.Fatalf("request %d goes on from position %d, but the caller was sent %d", o.Request, o.From, a.sent)
	}
	for _, h := range o.Route.Hops {
		if w.leaving[h.Server] {
			w.t.Fatalf("server %s is leaving and gets new work", h.Server)
		}
	}
	a.opened, a.epoch = true, o.Epoch
	w.streams = append(w.streams, &stream{open: o, next: o.From, silent: rapid.Bool().Draw(w.t, "silent")})
}

func (w *coreWorld) finished(f msgs.Finish) {
	a := w.asked[f.Request]
	switch {
	case a == nil || a.finished:
		w.t.Fatalf("request %d was finished twice", f.Request)
	case f.Failure == nil && (a.sent != a.length || f.Tokens != a.length):
		w.t.Fatalf("request %d was finished as whole with %d of %d tokens", f.Request, a.sent, a.length)
	case f.Failure != nil && f.Failure.Verdict == verdt.NotRun && a.opened:
		w.t.Fatalf("request %d was opened and is answered not_run", f.Request)
	}
	if f.Failure == nil {
		w.whole++
	}
	a.finished = true
}

func (w *coreWorld) arrive() {
	w.next++
	deadline := w.now.Add(time.Duration(rapid.IntRange(1, 90).Draw(w.t, "deadline")) * time.Second)
	w.asked[w.next] = &asked{length: rapid.IntRange(0, 6).Draw(w.t, "length"), deadline: deadline}
	w.in.Arrivals = append(w.in.Arrivals, msgs.Arrival{ID: w.next, Team: "/a", Model: testModel, Prefix: uint64(w.next % 3), PromptTokens: 400, Deadline: deadline})
}

// deliver sends the next token of a stream, also of one that the core has
// replaced long ago.
func (w *coreWorld) deliver(s *stream) {
	a := w.asked[s.open.Request]
	tok := model.Token{Request: s.open.Request, Epoch: s.open.Epoch, Position: s.next, Trail: model.TrailOf(s.open.Route)}
	if s.silent {
		tok.Trail = 0
	}
	if s.next >= a.length {
		tok.End, s.dead = true, true
	} else {
		tok.Text = textOf(s.open.Request, s.next)
		s.next++
	}
	w.in.Tokens = append(w.in.Tokens, tok)
	w.recent = append(w.recent, tok)
}

func (w *coreWorld) someStream() *stream {
	var live []*stream
	for _, s := range w.streams {
		if !s.dead {
			live = append(live, s)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[rapid.IntRange(0, len(live)-1).Draw(w.t, "stream")]
}

func (w *coreWorld) fail(s *stream) {
	s.dead = true
	hop := rapid.IntRange(0, len(s.open.Route.Hops)-1).Draw(w.t, "hop")
	v := rapid.SampledFrom([]verdt.Verdict{verdt.NotRun, verdt.MayHaveRun}).Draw(w.t, "verdict")
	f := verdt.New(v, verdt.StageFailed, "died", verdt.Server(string(s.open.Route.Hops[hop].Server)))
	w.in.Ends = append(w.in.Ends, msgs.StreamEnd{Request: s.open.Request, Epoch: s.open.Epoch, Failure: f})
}

// noise adds tokens that must not count: doubled, of a foreign request, with a
// position that is not due, or of a wrong route.
func (w *coreWorld) noise() {
	if len(w.recent) == 0 {
		return
	}
	tok := w.recent[rapid.IntRange(0, len(w.recent)-1).Draw(w.t, "recent")]
	switch rapid.IntRange(0, 3).Draw(w.t, "noise") {
	case 1:
		tok.Request += 1000
	case 2:
		tok.Position += rapid.IntRange(1, 3).Draw(w.t, "ahead")
		if a := w.asked[tok.Request]; a == nil || tok.Position >= a.length {
			return
		}
		tok.Text, tok.End = textOf(tok.Request, tok.Position), false
	case 3:
		s := w.someStream()
		if s == nil || s.next >= w.asked[s.open.Request].length {
			return
		}
		tok = model.Token{Request: s.open.Request, Epoch: s.open.Epoch, Position: s.next, Trail: 12345, Text: "wrong"}
	}
	w.in.Tokens = append(w.in.Tokens, tok)
}

func (w *coreWorld) flap() {
	id := string(rapid.SampledFrom(w.serverIDs()).Draw(w.t, "server"))
	m := w.list[id]
	m.State = 1 - m.State
	w.list[id] = m
	w.setList()
}

// heal ends all faults and lets every stream run to its end.
func (w *coreWorld) heal() {
	for id, m := range w.list {
		m.State = model.Live
		w.list[id] = m
	}
	for id, r := range w.reports {
		r.Leaving = false
		w.reports[id] = r
	}
	w.drained = nil
	w.setForce()
	w.setList()
	for range 600 {
		w.now = w.now.Add(100 * time.Millisecond)
		w.setReports()
		for _, s := range w.streams {
			if !s.dead {
				w.deliver(s)
			}
		}
		w.tick()
	}
}

// TestStreams drives one daemon's core with engines that die, tokens that come
// late, doubled, swapped or from elsewhere, and servers that leave and come back.
func TestStreams(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		w := newCoreWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(*rapid.T) { w.arrive() },
			"tick": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
				w.tick()
			},
			"long time": func(*rapid.T) { w.now = w.now.Add(drain.BackAfter) },
			"token": func(*rapid.T) {
				if s := w.someStream(); s != nil {
					w.deliver(s)
				}
			},
			"tokens": func(*rapid.T) {
				for _, s := range w.streams {
					if !s.dead {
						w.deliver(s)
					}
				}
				w.tick()
			},
			"swap": func(*rapid.T) {
				if n := len(w.in.Tokens); n >= 2 {
					w.in.Tokens[n-1], w.in.Tokens[n-2] = w.in.Tokens[n-2], w.in.Tokens[n-1]
				}
			},
			"noise": func(*rapid.T) { w.noise() },
			"fail": func(*rapid.T) {
				if s := w.someStream(); s != nil {
					w.fail(s)
				}
			},
			"cut": func(*rapid.T) {
				if s := w.someStream(); s != nil {
					s.dead = true
					w.in.Ends = append(w.in.Ends, msgs.StreamEnd{Request: s.open.Request, Epoch: s.open.Epoch})
				}
			},
			"gone": func(t *rapid.T) {
				if w.next > 0 {
					w.in.Gone = append(w.in.Gone, model.RequestID(rapid.IntRange(1, int(w.next)).Draw(t, "request")))
				}
			},
			"flap":       func(*rapid.T) { w.flap() },
			"empty list": func(*rapid.T) { w.in.List = []model.Member{} },
			"report": func(t *rapid.T) {
				id := rapid.SampledFrom(w.serverIDs()).Draw(t, "server")
				r := w.reports[id]
				r.Leaving = rapid.Bool().Draw(t, "leaving")
				w.reports[id] = r
				w.setReports()
			},
			"drain": func(t *rapid.T) {
				w.drained = nil
				if rapid.Bool().Draw(t, "some") {
					w.drained = []string{string(rapid.SampledFrom(w.serverIDs()).Draw(t, "server"))}
				}
				w.setForce()
			},
		})
		w.heal()
		for id, a := range w.asked {
			if !a.finished && a.deadline.Before(w.now) {
				t.Fatalf("request %d was never answered", id)
			}
		}
		before := w.whole
		w.arrive()
		w.asked[w.next].deadline = w.now.Add(time.Minute)
		w.in.Arrivals[len(w.in.Arrivals)-1].Deadline = w.now.Add(time.Minute)
		w.heal()
		assert.Assert(t, w.whole > before, "no request is served after all faults ended")
	})
}

// TestEmptyListKeepsServing: a platform that loses its whole list at once takes
// nothing away from callers.
func TestEmptyListKeepsServing(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		w := newCoreWorld(t)
		w.in.List = []model.Member{}
		w.tick()
		w.arrive()
		w.tick()
		assert.Assert(t, w.asked[w.next].opened)
	})
}
