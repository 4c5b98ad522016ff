package drive

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/core"
	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/engine"
	"bulrushpond.example/bulrushpond/internal/evlog"
	"bulrushpond.example/bulrushpond/internal/fakes"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// newTestStreams starts a StreamExecutor with four in-memory engines, each of which holds half
// of a model's 32 layers: a0 and a1 the first half, b0 and b1 the second.
func newTestStreams(t *testing.T, opts ...core.Option) (*StreamExecutor, *fakes.Local) {
	t.Helper()
	engines := fakes.NewLocal()
	for i, id := range []model.ServerID{"a0", "a1", "b0", "b1"} {
		span := model.Span{From: 0, To: 16}
		if i >= 2 {
			span = model.Span{From: 16, To: 32}
		}
		e := engines.Add(model.Report{Server: id, Model: "m", Span: span, Slots: 8, TokensPerSecond: 100})
		e.StepTime = 10 * time.Millisecond
	}
	s := NewStreamExecutor(evlog.New(logr.Discard()), engines, 1, opts...)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	tree := setts.Tree{Revision: 1, Nodes: map[string]setts.Node{"/": {Settings: map[string]string{"models": "{m: 32}"}}}}
	s.SetSettings(setts.NewEffectiveSettings(tree))
	s.SetList(engines.Members(), 1)
	synctest.Wait()
	for _, m := range engines.Members() {
		r, err := engines.Report(t.Context(), m.Address)
		assert.NilError(t, err)
		s.AddReport(r)
	}
	synctest.Wait()
	return s, engines
}

// newAsk returns a request whose deadline is a given time from now.
func newAsk(prompt string, wait time.Duration) ModelRequest {
	return ModelRequest{Team: "/t", Model: "m", Prompt: prompt, MaxTokens: 100, Deadline: time.Now().Add(wait)}
}

// collect reads an answer to its end, calls onToken for each token, and returns the
// text.
func collect(t *testing.T, r *Reply, onToken func(model.Token)) (string, *msgs.Finish) {
	t.Helper()
	var text strings.Builder
	for {
		tokens, finish, err := r.Next(t.Context(), nil)
		assert.NilError(t, err)
		for _, tok := range tokens {
			text.WriteString(tok.Text)
			onToken(tok)
		}
		if finish != nil {
			return text.String(), finish
		}
	}
}

// TestStreamRecoversFromStageFailure: after the failure of any stage at any token, the
// stream continues within a second and the answer is complete and correct.
func TestStreamRecoversFromStageFailure(t *testing.T) {
	const maxPause = time.Second
	for _, hop := range []int{0, 1} {
		for _, position := range []int{0, 1, 5, 11} {
			synctest.Test(t, func(t *testing.T) {
				s, engines := newTestStreams(t)
				_, reply := s.Start(newAsk("Draft a roster", time.Minute))
				var killedAt time.Time
				text, finish := collect(t, reply, func(tok model.Token) {
					if tok.Position == position {
						engines.Kill(busyServer(s, hop))
						killedAt = time.Now()
					}
					if tok.Position == position+1 {
						assert.Assert(t, time.Since(killedAt) <= maxPause, "stream continued after %s", time.Since(killedAt))
					}
				})
				assert.Assert(t, finish.Failure == nil, "%v", finish.Failure)
				assert.Equal(t, text, strings.Join(fakes.Answer("Draft a roster", 32, 100), ""))
			})
		}
	}
}

// busyServer returns the server that the one request in progress uses at a hop; empty if
// there is none.
func busyServer(s *StreamExecutor, hop int) model.ServerID {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix := []string{"a", "b"}[hop]
	for _, id := range s.core.ServerIDs() {
		if server, _ := s.core.Server(id); strings.HasPrefix(string(id), prefix) && len(server.Users) > 0 {
			return id
		}
	}
	return ""
}

// TestStreamFailsWithoutAlternativeRoute: if no route is left, the caller gets the
// verdict, and the text it was sent is a prefix of the correct answer.
func TestStreamFailsWithoutAlternativeRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, engines := newTestStreams(t)
		_, reply := s.Start(newAsk("Draft a roster", time.Minute))
		text, finish := collect(t, reply, func(tok model.Token) {
			if tok.Position == 3 {
				engines.Kill("b0")
				engines.Kill("b1")
			}
		})
		assert.Equal(t, finish.Failure.Verdict, verdt.Ran)
		assert.Assert(t, strings.HasPrefix(strings.Join(fakes.Answer("Draft a roster", 32, 100), ""), text))
	})
}

// TestStreamEndsAtDeadline: a request that is still in progress fails exactly at its
// deadline.
func TestStreamEndsAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newTestStreams(t)
		start := time.Now()
		_, reply := s.Start(newAsk("Draft a roster", 55*time.Millisecond))
		_, finish := collect(t, reply, func(model.Token) {})
		assert.Equal(t, finish.Failure.Reason, verdt.DeadlinePassed)
		assert.Equal(t, time.Since(start), 55*time.Millisecond)
	})
}

// TestLeavingServerIsDrained: a leaving server gets no new requests; a request in
// progress that outlasts the drain grace moves to another server and completes.
func TestLeavingServerIsDrained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, engines := newTestStreams(t)
		for _, m := range engines.Members() {
			// The request takes longer than the drain grace.
			engines.Engine(model.ServerID(m.ID)).StepTime = 100 * time.Millisecond
		}
		tree := setts.Tree{Revision: 2, Nodes: map[string]setts.Node{"/": {Settings: map[string]string{"models": "{m: 32}", "drain_grace": "1s"}}}}
		s.SetSettings(setts.NewEffectiveSettings(tree))
		_, reply := s.Start(newAsk("a long one that takes its time, please", time.Minute))
		synctest.Wait()
		leaving := busyServer(s, 1)
		list := engines.Members()
		for i := range list {
			if list[i].ID == string(leaving) {
				list[i].State = model.Leaving
			}
		}
		s.SetList(list, 1)
		synctest.Wait()
		_, otherReply := s.Start(newAsk("new work", time.Minute))
		synctest.Wait()
		s.mu.Lock()
		server, _ := s.core.Server(leaving)
		assert.Equal(t, len(server.Users), 1)
		s.mu.Unlock()
		text, finish := collect(t, reply, func(model.Token) {})
		assert.Assert(t, finish.Failure == nil)
		assert.Assert(t, importedCount(engines) > 0, "the moved stage imported nothing")
		assert.Equal(t, text, strings.Join(fakes.Answer("a long one that takes its time, please", 32, 100), ""))
		_, finish = collect(t, otherReply, func(model.Token) {})
		assert.Assert(t, finish.Failure == nil)
	})
}

// importedCount returns how many positions the engines imported from other engines
// instead of running them again.
func importedCount(engines *fakes.Local) int {
	n := 0
	for _, m := range engines.Members() {
		n += engines.Engine(model.ServerID(m.ID)).Counts().Imported
	}
	return n
}

// TestCallerDisconnectFreesServers: when its caller disconnects, a request ends and
// uses no server any more.
func TestCallerDisconnectFreesServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newTestStreams(t)
		id, _ := s.Start(newAsk("Draft a roster", time.Minute))
		synctest.Wait()
		s.CallerGone(id)
		synctest.Wait()
		s.mu.Lock()
		defer s.mu.Unlock()
		assert.Equal(t, s.core.InProgress(), 0)
		for _, id := range s.core.ServerIDs() {
			server, _ := s.core.Server(id)
			assert.Equal(t, len(server.Users), 0)
		}
	})
}

// firstHopRecorder is an engine that never answers and records the first server of each
// stream's route.
type firstHopRecorder struct {
	*fakes.Local
	firstHops chan model.ServerID
}

func (e firstHopRecorder) Open(ctx context.Context, s engine.Stream, _ func(model.Token)) error {
	select {
	case e.firstHops <- s.Route.Hops[0].Server:
	case <-ctx.Done():
		return ctx.Err()
	}
	<-ctx.Done()
	return ctx.Err()
}

// TestDaemonsChooseDifferentServers: two daemons that know the same engines do not
// choose the same ones in the same order; otherwise they would overload them together.
func TestDaemonsChooseDifferentServers(t *testing.T) {
	const requests = 20
	chooseServers := func(t *testing.T, idBase uint64) (chosen []model.ServerID) {
		synctest.Test(t, func(t *testing.T) {
			e := firstHopRecorder{Local: fakes.NewLocal(), firstHops: make(chan model.ServerID, requests)}
			s := NewStreamExecutor(evlog.New(logr.Discard()), e, idBase)
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			go func() { ended <- s.Serve(ctx) }()
			tree := setts.Tree{Revision: 1, Nodes: map[string]setts.Node{"/": {Settings: map[string]string{"models": "{m: 4}"}}}}
			s.SetSettings(setts.NewEffectiveSettings(tree))
			for i := range 16 {
				e.Add(model.Report{Server: model.ServerID(rune('a' + i)), Model: "m", Span: model.Span{To: 4}, Slots: 8, TokensPerSecond: 100})
			}
			s.SetList(e.Members(), 1)
			synctest.Wait()
			for _, m := range e.Members() {
				r, err := e.Report(t.Context(), m.Address)
				assert.NilError(t, err)
				s.AddReport(r)
			}
			for range requests {
				s.Start(newAsk("x", time.Minute))
				chosen = append(chosen, <-e.firstHops)
			}
			cancel()
			<-ended
		})
		return chosen
	}
	assert.Assert(t, !slices.Equal(chooseServers(t, 1), chooseServers(t, 2)))
}

// TestTokenAndEndInOneTick guards against a panic of the daemon when a token and the end of its stream are
// handled in the same tick, and the request is opened again from the token on.
func TestTokenAndEndInOneTick(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newTestStreams(t)
		id, _ := s.Start(newAsk("Draft a roster", time.Minute))
		synctest.Wait()
		s.loop.post(func(in *msgs.Inbox) {
			in.Tokens = append(in.Tokens, model.Token{Request: id, Epoch: 1, Position: 0, Text: "a"})
			in.Ends = append(in.Ends, msgs.StreamEnd{Request: id, Epoch: 1, Failure: verdt.New(verdt.MayHaveRun, verdt.StageFailed, "reset")})
		})
		synctest.Wait()
		s.CallerGone(id)
		synctest.Wait()
	})
}
