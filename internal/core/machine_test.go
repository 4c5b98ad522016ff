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

// stream simulates the engines' side of one epoch. The engines send all tokens, also after
// the core has cancelled or replaced the stream.
type stream struct {
	open  msgs.Open
	next  int
	ended bool
	// omitsTrail is true if the engines send no digest of the route.
	omitsTrail bool
}

// oracleRequest is the oracle's record of a request.
type oracleRequest struct {
	length int
	// sentTokens is the number of positions sent to the caller, in order.
	sentTokens int
	opened     bool
	epoch      model.Epoch
	finished   bool
	deadline   time.Time
}

// coreHarness runs a core against simulated engines, and checks its commands against the
// oracle's records in requests.
type coreHarness struct {
	t              *rapid.T
	now            time.Time
	core           *Core
	in             msgs.Inbox
	out            msgs.Outbox
	streams        []*stream
	requests       map[model.RequestID]*oracleRequest
	lastID         model.RequestID
	list           map[string]model.Member
	reports        map[model.ServerID]model.Report
	drainedServers []string
	// listedStates holds the state of each server in the last list passed to the core.
	listedStates map[string]model.MemberState
	leaving      map[model.ServerID]bool
	// deliveredTokens holds tokens that were delivered, to be sent again with errors.
	deliveredTokens []model.Token
	completed       int
	revision        model.Revision
	// hintStep is 0 if callers give no estimates of their answers' tokens.
	hintStep int
}

func newCoreHarness(t *rapid.T) *coreHarness {
	w := &coreHarness{
		t: t, now: time.Unix(1_000_000, 0), core: New(WithStallCheck()), requests: map[model.RequestID]*oracleRequest{},
		list: map[string]model.Member{}, reports: map[model.ServerID]model.Report{}, leaving: map[model.ServerID]bool{},
		listedStates: map[string]model.MemberState{}, hintStep: rapid.SampledFrom([]int{0, 60}).Draw(t, "hint step"),
	}
	spans := []model.Span{{From: 0, To: 6}, {From: 6, To: 12}, {From: 0, To: 4}, {From: 4, To: 12}, {From: 0, To: 12}}
	for i, span := range append(spans, spans[:2]...) {
		id := fmt.Sprintf("e%d", i)
		w.list[id] = model.Member{ID: id, Address: id + ":1", Role: model.Engine}
		w.reports[model.ServerID(id)] = model.Report{Server: model.ServerID(id), Model: testModel, Span: span, Slots: 3, TokensPerSecond: 100, AnswerTokens: 100, TokensPerEvent: 16}
	}
	w.setForce()
	w.setList()
	w.tick()
	w.setReports()
	w.tick()
	return w
}

func (w *coreHarness) setForce() {
	w.revision++
	root := setts.Node{Kind: setts.Firm, Settings: map[string]string{"models": "{m: 12}", "drain_servers": fmt.Sprintf("%q", w.drainedServers)}}
	if len(w.drainedServers) == 0 {
		root.Settings["drain_servers"] = "[]"
	} else {
		root.Settings["drain_servers"] = "[" + w.drainedServers[0] + "]"
	}
	w.in.Settings = setts.NewEffectiveSettings(setts.Tree{Revision: w.revision, Nodes: map[string]setts.Node{setts.Root: root}})
}

func (w *coreHarness) setList() {
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

func (w *coreHarness) setReports() {
	for _, id := range w.serverIDs() {
		r := w.reports[id]
		r.ReportedAt = w.now
		w.in.Reports = append(w.in.Reports, r)
	}
}

func (w *coreHarness) serverIDs() []model.ServerID {
	var ids []model.ServerID
	for id := range w.reports {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// tick runs the core and checks its commands against the oracle.
func (w *coreHarness) tick() {
	w.recordLeaving()
	w.core.Tick(w.now, &w.in, &w.out)
	w.in.Reset()
	for _, tok := range w.out.Sends {
		w.checkSent(tok)
	}
	for _, o := range w.out.Opens {
		w.checkOpened(o)
	}
	for _, f := range w.out.Finishes {
		w.checkFinished(f)
	}
	for id, a := range w.requests {
		if !a.finished && !a.deadline.After(w.now) && w.handedOver(id) {
			w.t.Fatalf("request %d was not answered by its deadline", id)
		}
	}
	if err := w.core.Check(); err != nil {
		w.t.Fatal(err)
	}
}

// handedOver reports whether a request was passed to the core.
func (w *coreHarness) handedOver(id model.RequestID) bool {
	for _, a := range w.in.Arrivals {
		if a.ID == id {
			return false
		}
	}
	return true
}

// recordLeaving records which servers are leaving according to the list, the settings or
// their reports in this tick.
func (w *coreHarness) recordLeaving() {
	for _, m := range w.in.List {
		w.listedStates[m.ID] = m.State
	}
	for _, id := range w.serverIDs() {
		w.leaving[id] = w.listedStates[string(id)] == model.Leaving || slices.Contains(w.drainedServers, string(id)) || w.core.leavingByReport(id)
	}
	for _, r := range w.in.Reports {
		w.leaving[r.Server] = w.leaving[r.Server] || r.Leaving
	}
}

func (c *Core) leavingByReport(id model.ServerID) bool {
	s := c.servers.Get(id)
	return s != nil && s.ReportLeaving
}

// tokenText returns the only correct text of a token.
func tokenText(id model.RequestID, position int) string { return fmt.Sprintf("%d.%d", id, position) }

func (w *coreHarness) checkSent(tok model.Token) {
	a := w.requests[tok.Request]
	switch {
	case a == nil || a.finished:
		w.t.Fatalf("a token was sent at position %d for request %d, which is not in progress", tok.Position, tok.Request)
	case tok.Position != a.sentTokens:
		w.t.Fatalf("request %d: position %d was sent after %d", tok.Request, tok.Position, a.sentTokens-1)
	case tok.Epoch != a.epoch:
		w.t.Fatalf("request %d: a token of epoch %d was sent in epoch %d", tok.Request, tok.Epoch, a.epoch)
	case tok.Text != tokenText(tok.Request, tok.Position):
		w.t.Fatalf("request %d: the text %q was sent at position %d", tok.Request, tok.Text, tok.Position)
	}
	a.sentTokens++
}

func (w *coreHarness) checkOpened(o msgs.Open) {
	a := w.requests[o.Request]
	if a == nil || a.finished {
		w.t.Fatalf("a stream was opened for request %d, which is not in progress", o.Request)
	}
	if !o.Route.Covers(testLayers) {
		w.t.Fatalf("route %v does not contain all layers once, in order", o.Route)
	}
	if o.From != a.sentTokens {
		w.t.Fatalf("request %d resumes from position %d, but %d tokens were sent to the caller", o.Request, o.From, a.sentTokens)
	}
	for _, h := range o.Route.Hops {
		if w.leaving[h.Server] {
			w.t.Fatalf("server %s is leaving, but gets new work", h.Server)
		}
	}
	a.opened, a.epoch = true, o.Epoch
	w.streams = append(w.streams, &stream{open: o, next: o.From, omitsTrail: rapid.Bool().Draw(w.t, "omits trail")})
}

func (w *coreHarness) checkFinished(f msgs.Finish) {
	a := w.requests[f.Request]
	switch {
	case a == nil || a.finished:
		w.t.Fatalf("request %d was finished, but was not in progress", f.Request)
	case f.Failure == nil && (a.sentTokens != a.length || f.Tokens != a.length):
		w.t.Fatalf("request %d was finished as complete with %d of %d tokens", f.Request, a.sentTokens, a.length)
	case f.Failure != nil && f.Failure.Verdict == verdt.NotRun && a.opened:
		w.t.Fatalf("a stream was opened for request %d, but the request was answered as not_run", f.Request)
	}
	if f.Failure == nil {
		w.completed++
	}
	a.finished = true
}

func (w *coreHarness) arrive() {
	w.lastID++
	deadline := w.now.Add(time.Duration(rapid.IntRange(1, 90).Draw(w.t, "deadline")) * time.Second)
	w.requests[w.lastID] = &oracleRequest{length: rapid.IntRange(0, 6).Draw(w.t, "length"), deadline: deadline}
	w.in.Arrivals = append(w.in.Arrivals, msgs.Arrival{ID: w.lastID, Team: "/a", Model: testModel, Prefix: uint64(w.lastID % 3), PromptTokens: 400, LengthHint: int(w.lastID%5) * w.hintStep, Deadline: deadline})
}

// deliver sends the next token of a stream, which the core may have replaced already.
func (w *coreHarness) deliver(s *stream) {
	a := w.requests[s.open.Request]
	tok := model.Token{Request: s.open.Request, Epoch: s.open.Epoch, Position: s.next, Trail: model.TrailOf(s.open.Route)}
	if s.omitsTrail {
		tok.Trail = 0
	}
	if s.next >= a.length {
		tok.End, s.ended = true, true
	} else {
		tok.Text = tokenText(s.open.Request, s.next)
		s.next++
	}
	w.in.Tokens = append(w.in.Tokens, tok)
	w.deliveredTokens = append(w.deliveredTokens, tok)
}

func (w *coreHarness) drawLiveStream() *stream {
	var live []*stream
	for _, s := range w.streams {
		if !s.ended {
			live = append(live, s)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[rapid.IntRange(0, len(live)-1).Draw(w.t, "stream")]
}

func (w *coreHarness) failStream(s *stream) {
	s.ended = true
	hop := rapid.IntRange(0, len(s.open.Route.Hops)-1).Draw(w.t, "hop")
	v := rapid.SampledFrom([]verdt.Verdict{verdt.NotRun, verdt.MayHaveRun}).Draw(w.t, "verdict")
	f := verdt.New(v, verdt.StageFailed, "died", verdt.Server(string(s.open.Route.Hops[hop].Server)))
	w.in.Ends = append(w.in.Ends, msgs.StreamEnd{Request: s.open.Request, Epoch: s.open.Epoch, Failure: f})
}

// sendMismatchedToken sends a token that must not be accepted: a duplicate, or one of an
// unknown request, with a later position or with the digest of another route.
func (w *coreHarness) sendMismatchedToken() {
	if len(w.deliveredTokens) == 0 {
		return
	}
	tok := w.deliveredTokens[rapid.IntRange(0, len(w.deliveredTokens)-1).Draw(w.t, "delivered token")]
	switch rapid.IntRange(0, 3).Draw(w.t, "mismatch") {
	case 1:
		tok.Request += 1000
	case 2:
		tok.Position += rapid.IntRange(1, 3).Draw(w.t, "positions ahead")
		if a := w.requests[tok.Request]; a == nil || tok.Position >= a.length {
			return
		}
		tok.Text, tok.End = tokenText(tok.Request, tok.Position), false
	case 3:
		s := w.drawLiveStream()
		if s == nil || s.next >= w.requests[s.open.Request].length {
			return
		}
		tok = model.Token{Request: s.open.Request, Epoch: s.open.Epoch, Position: s.next, Trail: 12345, Text: "wrong"}
	}
	w.in.Tokens = append(w.in.Tokens, tok)
}

func (w *coreHarness) toggleMemberState() {
	id := string(rapid.SampledFrom(w.serverIDs()).Draw(w.t, "server"))
	m := w.list[id]
	m.State = 1 - m.State
	w.list[id] = m
	w.setList()
}

// clearFaults ends all faults and runs every stream to its end.
func (w *coreHarness) clearFaults() {
	for id, m := range w.list {
		m.State = model.Live
		w.list[id] = m
	}
	for id, r := range w.reports {
		r.Leaving = false
		w.reports[id] = r
	}
	w.drainedServers = nil
	w.setForce()
	w.setList()
	for range 600 {
		w.now = w.now.Add(100 * time.Millisecond)
		w.setReports()
		for _, s := range w.streams {
			if !s.ended {
				w.deliver(s)
			}
		}
		w.tick()
	}
}

// TestStreams runs one daemon's core with engines that fail, tokens that are late, duplicated,
// reordered or of other requests and routes, and servers that leave and return.
func TestStreams(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		w := newCoreHarness(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(*rapid.T) { w.arrive() },
			"tick": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
				w.tick()
			},
			"long time": func(*rapid.T) { w.now = w.now.Add(drain.ReturnDelay) },
			"token": func(*rapid.T) {
				if s := w.drawLiveStream(); s != nil {
					w.deliver(s)
				}
			},
			"tokens": func(*rapid.T) {
				for _, s := range w.streams {
					if !s.ended {
						w.deliver(s)
					}
				}
				w.tick()
			},
			"swap tokens": func(*rapid.T) {
				if n := len(w.in.Tokens); n >= 2 {
					w.in.Tokens[n-1], w.in.Tokens[n-2] = w.in.Tokens[n-2], w.in.Tokens[n-1]
				}
			},
			"mismatched token": func(*rapid.T) { w.sendMismatchedToken() },
			"fail": func(*rapid.T) {
				if s := w.drawLiveStream(); s != nil {
					w.failStream(s)
				}
			},
			"close early": func(*rapid.T) {
				if s := w.drawLiveStream(); s != nil {
					s.ended = true
					w.in.Ends = append(w.in.Ends, msgs.StreamEnd{Request: s.open.Request, Epoch: s.open.Epoch})
				}
			},
			"hang up": func(t *rapid.T) {
				if w.lastID > 0 {
					w.in.CallerGone = append(w.in.CallerGone, model.RequestID(rapid.IntRange(1, int(w.lastID)).Draw(t, "request")))
				}
			},
			"stall": func(t *rapid.T) {
				d := msgs.Diagnosis{Server: rapid.SampledFrom(w.serverIDs()).Draw(t, "server"), AskedAt: w.now, Unresponsive: rapid.Bool().Draw(t, "unresponsive")}
				if !d.Unresponsive {
					d.Faulty = []string{string(rapid.SampledFrom(w.serverIDs()).Draw(t, "faulty server")) + ":1"}
				}
				w.in.Diagnoses = append(w.in.Diagnoses, d)
			},
			"flap":       func(*rapid.T) { w.toggleMemberState() },
			"empty list": func(*rapid.T) { w.in.List = []model.Member{} },
			"report leaving": func(t *rapid.T) {
				id := rapid.SampledFrom(w.serverIDs()).Draw(t, "server")
				r := w.reports[id]
				r.Leaving = rapid.Bool().Draw(t, "leaving")
				w.reports[id] = r
				w.setReports()
			},
			"drain": func(t *rapid.T) {
				w.drainedServers = nil
				if rapid.Bool().Draw(t, "some") {
					w.drainedServers = []string{string(rapid.SampledFrom(w.serverIDs()).Draw(t, "server"))}
				}
				w.setForce()
			},
		})
		w.clearFaults()
		for id, a := range w.requests {
			if !a.finished && a.deadline.Before(w.now) {
				t.Fatalf("request %d was not answered", id)
			}
		}
		before := w.completed
		w.arrive()
		w.requests[w.lastID].deadline = w.now.Add(time.Minute)
		w.in.Arrivals[len(w.in.Arrivals)-1].Deadline = w.now.Add(time.Minute)
		w.clearFaults()
		assert.Assert(t, w.completed > before, "the request was not completed although all faults have ended")
	})
}

// TestCallerGoneBeforeTick guards against a request that runs to its end although its caller left before the core had seen
// it: both events come with the same tick.
func TestCallerGoneBeforeTick(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		w := newCoreHarness(t)
		w.arrive()
		w.in.CallerGone = append(w.in.CallerGone, w.lastID)
		w.tick()
		w.tick()
		assert.Assert(t, !w.requests[w.lastID].opened)
		assert.Assert(t, w.core.requests.Get(w.lastID) == nil)
	})
}

// TestEmptyAuthoritativeListIsApplied guards against streams to the last engine after it has gone: where the list says for
// certain which engines there are, one without engines counts as well.
func TestEmptyAuthoritativeListIsApplied(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		w := newCoreHarness(t)
		w.core.drain.ListIsAuthoritative = true
		w.in.List = []model.Member{}
		w.tick()
		w.arrive()
		w.tick()
		assert.Assert(t, !w.requests[w.lastID].opened)
		assert.Equal(t, w.core.servers.Len(), 0)
	})
}

// TestEmptyListKeepsServing: requests are still served after the platform sends an empty
// membership list.
func TestEmptyListKeepsServing(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		w := newCoreHarness(t)
		w.in.List = []model.Member{}
		w.tick()
		w.arrive()
		w.tick()
		assert.Assert(t, w.requests[w.lastID].opened)
	})
}
