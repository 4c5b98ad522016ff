package drive

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/core/relay"
	"bulrushpond.example/bulrushpond/internal/core/retry"
	"bulrushpond.example/bulrushpond/internal/engine"
	"bulrushpond.example/bulrushpond/internal/evlog"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// slowSender answers each request after a delay, unless its context ends before.
type slowSender struct {
	delay time.Duration
	mu    sync.Mutex
	sends []string
	ended int
}

// Send implements engine.Relay.
func (s *slowSender) Send(ctx context.Context, to model.Member, _ engine.Origin, _ time.Time) (engine.Answer, error) {
	s.mu.Lock()
	s.sends = append(s.sends, to.ID)
	s.mu.Unlock()
	select {
	case <-time.After(s.delay):
		return engine.Answer{Status: http.StatusOK, Body: []byte(to.ID)}, nil
	case <-ctx.Done():
		s.mu.Lock()
		s.ended++
		s.mu.Unlock()
		reason := verdt.CallerGone
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			reason = verdt.DeadlinePassed
		}
		return engine.Answer{}, &engine.AnswerError{Failure: verdt.New(verdt.MayHaveRun, reason, "cancelled")}
	}
}

// answerRecorder records the end of an answer. It implements AnswerWriter.
type answerRecorder struct {
	answer  *engine.Answer
	failure *verdt.Error
}

func (*answerRecorder) Begin(model.AnswerHead) error { return nil }
func (*answerRecorder) Event(string) error           { return nil }
func (*answerRecorder) Flush() error                 { return nil }
func (*answerRecorder) Complete()                    {}
func (*answerRecorder) Abort()                       {}
func (r *answerRecorder) Answer(a engine.Answer)     { r.answer = &a }
func (r *answerRecorder) Fail(f *verdt.Error)        { r.failure = f }

// quietObserver ignores all measurements.
type quietObserver struct{}

func (quietObserver) FirstToken(model.Team, time.Duration)  {}
func (quietObserver) Gap(model.Team, time.Duration)         {}
func (quietObserver) RequestEnded(model.Team, *verdt.Error) {}

// newRelayEdge returns an Edge with a route for repeatable requests to the plain service "app".
func newRelayEdge(sender engine.Relay, state *relay.State) *Edge {
	edge := NewEdge(evlog.New(logr.Discard()), nil, sender, state, 1, quietObserver{})
	edge.SetRouting(&setts.Routing{Revision: 1, Services: map[string]setts.ServiceRule{"app": {Name: "app"}}, Routes: []setts.RouteRule{{
		Name: "r", Host: "h", Prefix: "/", Repetition: setts.Idempotent, Timeout: 2 * time.Second, TargetLatency: 100 * time.Millisecond,
		Shares: []setts.ServiceShare{{Service: "app", Weight: 1}}, MaxAttempts: 2, Public: true,
	}}})
	return edge
}

// newLookup returns a request for the route of newRelayEdge.
func newLookup() *InboundRequest {
	return &InboundRequest{Origin: engine.Origin{ID: "1", Method: http.MethodGet, Host: "h", Target: "/"}}
}

// TestSlowServerKeepsRequestWithoutAnother guards against requests to a plain service that fail because
// the daemon gave up a slow server before it knew whether the request may be sent to another one.
func TestSlowServerKeepsRequestWithoutAnother(t *testing.T) {
	type scenario struct {
		name    string
		servers int
		burst   float64
		// ended is the number of attempts that are given up.
		ended int
	}
	for _, tc := range []scenario{
		{"no other server", 1, 100, 0},
		{"retry budget used up", 2, 0, 0},
		{"another server", 2, 100, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				state := relay.New("a", retry.New(0, tc.burst, 10*time.Second), 1)
				for _, id := range []string{"s1", "s2"}[:tc.servers] {
					state.UpsertServer(model.Member{ID: id, Service: "app", Zone: "a"})
				}
				sender := &slowSender{delay: 400 * time.Millisecond}
				edge := newRelayEdge(sender, state)
				var out answerRecorder
				edge.Serve(t.Context(), newLookup(), &out)
				assert.Assert(t, out.failure == nil, "the request failed: %v", out.failure)
				assert.Equal(t, sender.ended, tc.ended)
				assert.Equal(t, len(sender.sends), tc.ended+1)
				assert.Equal(t, string(out.answer.Body), sender.sends[len(sender.sends)-1])
			})
		})
	}
}

// TestSlowServersShareRetryBudget guards against requests that give up their slow servers because of the same
// room in the retry budget, and fail because only one of them gets it.
func TestSlowServersShareRetryBudget(t *testing.T) {
	const burstOfEight = 8
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			// Eight daemons are assumed, so that this one has room for one retry.
			state := relay.New("a", retry.New(0, burstOfEight, 10*time.Second), 1)
			for _, id := range []string{"s1", "s2"} {
				state.UpsertServer(model.Member{ID: id, Service: "app", Zone: "a"})
			}
			sender := &slowSender{delay: 400 * time.Millisecond}
			edge := newRelayEdge(sender, state)
			out := make([]answerRecorder, 5)
			var requests sync.WaitGroup
			for i := range out {
				requests.Go(func() { edge.Serve(t.Context(), newLookup(), &out[i]) })
			}
			requests.Wait()
			for i := range out {
				assert.Assert(t, out[i].failure == nil, "a request failed: %v", out[i].failure)
			}
			assert.Equal(t, sender.ended, 1)
		})
	}
}
