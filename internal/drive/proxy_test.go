package drive

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/core/reach"
	"bulrushpond.example/bulrushpond/internal/core/relay"
	"bulrushpond.example/bulrushpond/internal/core/retry"
	"bulrushpond.example/bulrushpond/internal/engine"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// scriptedProxies answers the n-th proxied request with the n-th script.
type scriptedProxies struct {
	scripts []proxyScript
	sent    []ProxyRequest
}

// proxyScript is the answer of one daemon: frames, and then the loss of the connection.
type proxyScript struct {
	openFails bool
	frames    []ProxyFrame
}

// OpenProxy implements ProxyClient.
func (s *scriptedProxies) OpenProxy(_ context.Context, _ string, q ProxyRequest) (ProxyStream, error) {
	script := s.scripts[len(s.sent)]
	s.sent = append(s.sent, q)
	if script.openFails {
		return nil, errors.New("no connection")
	}
	return &scriptedStream{frames: script.frames}, nil
}

// scriptedStream implements ProxyStream.
type scriptedStream struct{ frames []ProxyFrame }

// Next implements ProxyStream.
func (s *scriptedStream) Next(time.Time) (ProxyFrame, error) {
	if len(s.frames) == 0 {
		return ProxyFrame{}, errors.New("connection lost")
	}
	f := s.frames[0]
	s.frames = s.frames[1:]
	return f, nil
}

// Close implements ProxyStream.
func (*scriptedStream) Close() {}

// TestLostProxy guards against calls that run twice because the daemon which served them was lost, and against callers
// that are told that a request has not run although another daemon may have sent it.
func TestLostProxy(t *testing.T) {
	refusal := ProxyFrame{Failure: &ProxyFailure{Verdict: verdt.NotRun, Reason: verdt.Stopping, Message: "stopping"}}
	declined := ProxyFrame{Failure: &ProxyFailure{Verdict: verdt.NotRun, Reason: verdt.Overloaded, Message: "full", RetryAfter: 3 * time.Second}}
	answer := ProxyFrame{Answer: &engine.Answer{Status: http.StatusOK}}
	type scenario struct {
		name       string
		repetition setts.Repetition
		burst      float64
		scripts    []proxyScript
		wantSent   int
		// wantVerdict is that of the failure; nil for an answer.
		wantVerdict *verdt.Verdict
	}
	notRun, mayHaveRun := verdt.NotRun, verdt.MayHaveRun
	for _, tc := range []scenario{
		{"answered", setts.Once, 100, []proxyScript{{frames: []ProxyFrame{{}, answer}}}, 1, nil},
		{"no connection, then answered", setts.Once, 0, []proxyScript{{openFails: true}, {frames: []ProxyFrame{answer}}}, 2, nil},
		{"refused, then answered", setts.Once, 0, []proxyScript{{frames: []ProxyFrame{refusal}}, {frames: []ProxyFrame{answer}}}, 2, nil},
		{"lost, must not run twice", setts.Once, 100, []proxyScript{{frames: []ProxyFrame{{}}}}, 1, &mayHaveRun},
		{"lost, repeatable", setts.Idempotent, 100, []proxyScript{{frames: []ProxyFrame{{}}}, {frames: []ProxyFrame{answer}}}, 2, nil},
		{"lost, repeatable, retry budget used up", setts.Idempotent, 0, []proxyScript{{frames: []ProxyFrame{{}}}}, 1, &mayHaveRun},
		{"lost, then declined", setts.Idempotent, 100, []proxyScript{{frames: []ProxyFrame{{}}}, {frames: []ProxyFrame{declined}}}, 2, &mayHaveRun},
		{"declined", setts.Once, 100, []proxyScript{{frames: []ProxyFrame{declined}}}, 1, &notRun},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				state := relay.New("a", retry.New(0, tc.burst, 10*time.Second), 1)
				state.UpsertServer(model.Member{ID: "s1", Service: "app", Zone: "a"})
				state.ApplyReach(time.Now(), reach.Result{Service: "app", Tried: 1})
				state.HasProxies = true
				edge := newRelayEdge(&slowSender{}, state)
				edge.table.Load().Routing.Routes[0].Repetition = tc.repetition
				client := &scriptedProxies{scripts: tc.scripts}
				edge.proxies.client = client
				edge.proxies.set([]string{"p1", "p2", "p3"})
				in := newLookup()
				in.Header = http.Header{"X": {"y"}}
				var out answerRecorder
				edge.Serve(t.Context(), in, &out)
				assert.Equal(t, len(client.sent), tc.wantSent)
				assert.Equal(t, client.sent[0].AtMostOnce, tc.repetition == setts.Once)
				assert.Equal(t, client.sent[0].Service, "app")
				assert.DeepEqual(t, client.sent[0].Header, in.Header)
				if tc.wantVerdict == nil {
					assert.Assert(t, out.answer != nil, "%v", out.failure)
					return
				}
				assert.Assert(t, out.failure != nil)
				assert.Equal(t, out.failure.Verdict, *tc.wantVerdict)
			})
		})
	}
}

// TestOthersCutRaisesSuspicion guards against a daemon with few requests that learns of a cut only when one of them
// fails, though other daemons behind the same cut know it.
func TestOthersCutRaisesSuspicion(t *testing.T) {
	state := relay.New("a", retry.New(0, 100, 10*time.Second), 1)
	state.UpsertServer(model.Member{ID: "s1", Service: "app", Zone: "a", Address: "s1:1"})
	edge := newRelayEdge(&slowSender{}, state)
	now := time.Now()
	assert.Equal(t, len(state.ReachProbes(now)), 0)
	for _, want := range []int{1, 0} {
		edge.ApplyOthersCutOff([]string{"app", "unknown"})
		probes := state.ReachProbes(now)
		assert.Equal(t, len(probes), want)
		for _, p := range probes {
			state.ApplyReach(now, reach.Result{Service: p.Service, Tried: 1, Reached: 1})
		}
		now = now.Add(time.Minute)
	}
}

// TestMalformedProxyRequestsAreRefused guards against malformed requests of other daemons.
func TestMalformedProxyRequestsAreRefused(t *testing.T) {
	state := relay.New("a", retry.New(0, 100, 10*time.Second), 1)
	state.UpsertServer(model.Member{ID: "s1", Service: "app", Zone: "a"})
	good := ProxyRequest{ID: "1", Method: "GET", Target: "/", Host: "h", Service: "app", MaxAttempts: 1, TimeLeft: time.Second}
	type scenario struct {
		name   string
		change func(*ProxyRequest, *Edge)
		want   verdt.Reason
	}
	for _, tc := range []scenario{
		{"no time left", func(q *ProxyRequest, _ *Edge) { q.TimeLeft = 0 }, verdt.BadRequest},
		{"no attempts", func(q *ProxyRequest, _ *Edge) { q.MaxAttempts = 0 }, verdt.BadRequest},
		{"no service", func(q *ProxyRequest, _ *Edge) { q.Service = "" }, verdt.BadRequest},
		{"unknown service", func(q *ProxyRequest, _ *Edge) { q.Service = "x" }, verdt.UnknownService},
		{"a stream of a plain service", func(q *ProxyRequest, _ *Edge) { q.Streamed = true }, verdt.UnknownService},
		{"a negative position", func(q *ProxyRequest, _ *Edge) { q.From = -1 }, verdt.BadRequest},
		{"negative tokens", func(q *ProxyRequest, _ *Edge) { q.PromptTokens = -1 }, verdt.BadRequest},
		{"too many requests in progress", func(_ *ProxyRequest, e *Edge) { e.proxiedIn.Store(maxProxiedRequests) }, verdt.Unreachable},
		{"too many bytes in progress", func(q *ProxyRequest, e *Edge) { q.Body = make([]byte, 2); e.proxiedBytes.Store(maxProxiedBytes - 1) }, verdt.Unreachable},
		{"a stopping daemon", func(_ *ProxyRequest, e *Edge) { e.Stop() }, verdt.Stopping},
	} {
		t.Run(tc.name, func(t *testing.T) {
			edge, q := newRelayEdge(&slowSender{}, state), good
			tc.change(&q, edge)
			var frames []ProxyFrame
			edge.ServeProxied(t.Context(), &q, func(f ProxyFrame) error { frames = append(frames, f); return nil })
			assert.Equal(t, len(frames), 1)
			assert.Assert(t, frames[0].Failure != nil)
			assert.Equal(t, frames[0].Failure.Verdict, verdt.NotRun)
			assert.Equal(t, frames[0].Failure.Reason, tc.want)
			assert.Assert(t, edge.proxiedIn.Load()%maxProxiedRequests == 0 && edge.proxiedBytes.Load()%(maxProxiedBytes-1) == 0, "not released")
		})
	}
}

// streamRecorder records a streamed answer. It implements AnswerWriter.
type streamRecorder struct {
	answerRecorder
	events  []string
	aborted bool
}

func (r *streamRecorder) Event(text string) error { r.events = append(r.events, text); return nil }
func (r *streamRecorder) Abort()                  { r.aborted = true }

// TestBegunStreamGetsNoOtherAnswer guards against a caller that gets an engine's error response in the middle of a
// stream: another daemon that goes on with the stream may get a complete answer instead of one.
func TestBegunStreamGetsNoOtherAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		edge := newRelayEdge(&slowSender{}, relay.New("a", retry.New(0, 100, 10*time.Second), 1))
		edge.proxies.client = &scriptedProxies{scripts: []proxyScript{{frames: []ProxyFrame{
			{Events: []string{"3"}}, {Answer: &engine.Answer{Status: http.StatusInternalServerError, Body: []byte("error")}},
		}}}}
		edge.proxies.set([]string{"p1"})
		req := &requestState{in: newLookup(), arrived: time.Now(), deadline: time.Now().Add(time.Second)}
		part := &proxiedPart{streamed: true, from: 2, headSent: true, takeRetry: func(bool) bool { return false }}
		var out streamRecorder
		edge.serveByProxies(t.Context(), req, &setts.RouteRule{MaxAttempts: 2}, part, verdt.New(verdt.Ran, verdt.Unreachable, "cut off"), &out)
		assert.Assert(t, out.answer == nil, "the caller got an answer within its stream")
		assert.Assert(t, out.aborted)
		assert.DeepEqual(t, out.events, []string{"3"})
	})
}

// heartbeatProxies takes requests and does not answer them until its connection is lost. It implements ProxyClient and
// ProxyStream.
type heartbeatProxies struct{ lostAt time.Time }

// OpenProxy implements ProxyClient.
func (h heartbeatProxies) OpenProxy(context.Context, string, ProxyRequest) (ProxyStream, error) {
	return h, nil
}

// Next implements ProxyStream.
func (h heartbeatProxies) Next(deadline time.Time) (ProxyFrame, error) {
	if time.Now().After(h.lostAt) {
		return ProxyFrame{}, errors.New("connection lost")
	}
	if time.Until(deadline) < proxyHeartbeatInterval {
		time.Sleep(time.Until(deadline))
		return ProxyFrame{}, context.DeadlineExceeded
	}
	time.Sleep(proxyHeartbeatInterval)
	return ProxyFrame{}, nil
}

// Close implements ProxyStream.
func (heartbeatProxies) Close() {}

// TestProxiedRequestKeepsItsDeadline guards against a request that outlives its deadline because the daemon that serves
// it says that it is in progress.
func TestProxiedRequestKeepsItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := relay.New("a", retry.New(0, 100, 10*time.Second), 1)
		state.UpsertServer(model.Member{ID: "s1", Service: "app", Zone: "a"})
		state.ApplyReach(time.Now(), reach.Result{Service: "app", Tried: 1})
		state.HasProxies = true
		edge := newRelayEdge(&slowSender{}, state)
		edge.proxies.client = heartbeatProxies{lostAt: time.Now().Add(time.Minute)}
		edge.proxies.set([]string{"p1"})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		began := time.Now()
		var out answerRecorder
		edge.Serve(ctx, newLookup(), &out)
		assert.Assert(t, time.Since(began) <= 2500*time.Millisecond, "took %s", time.Since(began))
		assert.Equal(t, out.failure.Reason, verdt.DeadlinePassed)
		assert.Equal(t, out.failure.Verdict, verdt.MayHaveRun)
	})
}

// TestProxiedRequestIsGivenBack guards against requests to plain services that go from daemon to daemon in a circle.
func TestProxiedRequestIsGivenBack(t *testing.T) {
	state := relay.New("a", retry.New(0, 100, 10*time.Second), 1)
	state.UpsertServer(model.Member{ID: "s1", Service: "app", Zone: "a"})
	state.ApplyReach(time.Now(), reach.Result{Service: "app", Tried: 1})
	state.HasProxies = true
	edge := newRelayEdge(&slowSender{}, state)
	client := &scriptedProxies{}
	edge.proxies.client = client
	edge.proxies.set([]string{"p1"})
	var frames []ProxyFrame
	edge.ServeProxied(t.Context(), &ProxyRequest{ID: "1", Method: "GET", Target: "/", Host: "h", Service: "app", MaxAttempts: 1, TimeLeft: time.Second}, func(f ProxyFrame) error {
		frames = append(frames, f)
		return nil
	})
	assert.Equal(t, len(client.sent), 0)
	last := frames[len(frames)-1]
	assert.Assert(t, last.Failure != nil)
	assert.Equal(t, last.Failure.Reason, verdt.Unreachable)
	assert.Equal(t, last.Failure.Verdict, verdt.NotRun)
}

// hangingSender does not answer before the context ends.
type hangingSender struct{}

// Send implements engine.Relay.
func (hangingSender) Send(ctx context.Context, _ model.Member, _ engine.Origin, _ time.Time) (engine.Answer, error) {
	<-ctx.Done()
	return engine.Answer{}, &engine.AnswerError{Failure: verdt.New(verdt.MayHaveRun, verdt.DeadlinePassed, "the deadline passed")}
}

// TestSlowRequestsForProxiesShareRetryBudget guards against requests that give up their attempts because of the same
// room in the retry budget when their service is found cut off, and fail because only one of them gets it.
func TestSlowRequestsForProxiesShareRetryBudget(t *testing.T) {
	const burstOfEight = 8
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			// Eight daemons are assumed, so that this one has room for one retry.
			state := relay.New("a", retry.New(0, burstOfEight, 10*time.Second), 1)
			state.UpsertServer(model.Member{ID: "s1", Service: "app", Zone: "a"})
			state.HasProxies = true
			edge := newRelayEdge(hangingSender{}, state)
			answered := proxyScript{frames: []ProxyFrame{{Answer: &engine.Answer{Status: http.StatusOK}}}}
			client := &scriptedProxies{scripts: []proxyScript{answered, answered, answered, answered, answered}}
			edge.proxies.client = client
			edge.proxies.set([]string{"p1"})
			out := make([]answerRecorder, 5)
			took := make([]time.Duration, len(out))
			var requests sync.WaitGroup
			began := time.Now()
			for i := range out {
				requests.Go(func() {
					edge.Serve(t.Context(), newLookup(), &out[i])
					took[i] = time.Since(began)
				})
			}
			time.Sleep(time.Second)
			edge.mu.Lock()
			state.ApplyReach(time.Now(), reach.Result{Service: "app", Tried: 1})
			edge.mu.Unlock()
			requests.Wait()
			answers := 0
			for i := range out {
				if out[i].answer != nil {
					answers++
					continue
				}
				assert.Assert(t, took[i] >= 2*time.Second, "gave up its attempt after %s: %v", took[i], out[i].failure)
			}
			assert.Equal(t, answers, 1)
		})
	}
}
