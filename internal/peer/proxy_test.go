package peer

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/drive"
	"bulrushpond.example/bulrushpond/internal/engine"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// proxyHandler serves proxied requests only.
type proxyHandler struct {
	serve func(ctx context.Context, q *drive.ProxyRequest, write func(drive.ProxyFrame) error)
}

// Answer implements Handler.
func (proxyHandler) Answer(context.Context, Request) Answer { return Answer{} }

// ServeProxied implements ProxyHandler.
func (h proxyHandler) ServeProxied(ctx context.Context, q *drive.ProxyRequest, write func(drive.ProxyFrame) error) {
	h.serve(ctx, q, write)
}

// TestProxiedRequestAndFramesArriveUnchanged guards against fields that are lost or changed between two daemons, and
// against bytes that are no UTF-8 and make a request fail there.
func TestProxiedRequestAndFramesArriveUnchanged(t *testing.T) {
	authority := newTestAuthority(t)
	sent := drive.ProxyRequest{
		ID: "1", Method: "POST", Target: "//a\xff?b=c\x80", Host: "h", Header: http.Header{"X": {"y", "z\xe4"}}, Body: []byte("body"), Team: "t", Priority: 3, AtMostOnce: true,
		Service: "s", Streamed: true, PromptTokens: 4, MaxTokens: 5, Parts: []uint64{6}, From: 7, MaxAttempts: 2, TimeLeft: time.Second, TargetLatency: time.Millisecond, Route: "r",
	}
	frames := []drive.ProxyFrame{
		{},
		{Head: &drive.ProxyHead{Status: 200, Header: http.Header{"A": {"b\xe4"}}}, Events: []string{"id: 1\ndata: \xff\n\n", "id: 2\n\n"}},
		{Events: []string{"id: 3\n\n"}},
		{Answer: &engine.Answer{Status: 200, Header: http.Header{"C": {"d"}}, Body: []byte("e")}},
		{Failure: &drive.ProxyFailure{Verdict: verdt.MayHaveRun, Reason: verdt.StageFailed, Message: "m", Server: "s", RetryAfter: time.Second}},
		{Complete: true},
	}
	received := make(chan drive.ProxyRequest, 1)
	address := startServer(t, issueKeys(t, authority, "d1"), proxyHandler{func(_ context.Context, q *drive.ProxyRequest, write func(drive.ProxyFrame) error) {
		received <- *q
		for _, f := range frames {
			assert.Check(t, write(f))
		}
	}})
	stream, err := newTestClient(t, issueKeys(t, authority, "d0"), address).OpenProxy(t.Context(), address, sent)
	assert.NilError(t, err)
	defer stream.Close()
	select {
	case got := <-received:
		assert.DeepEqual(t, got, sent)
	case <-time.After(5 * time.Second):
		t.Fatal("the request did not arrive")
	}
	for _, want := range frames {
		got, err := stream.Next(time.Now().Add(5 * time.Second))
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
	}
	_, err = stream.Next(time.Now().Add(5 * time.Second))
	assert.Assert(t, err != nil, "a frame after the end")
}

// TestCallerLeavesOthersConnection guards against a caller who leaves just as its request is to be sent to another daemon,
// and with whom the requests of others on the same connection end.
func TestCallerLeavesOthersConnection(t *testing.T) {
	authority := newTestAuthority(t)
	goOn := make(chan struct{})
	address := startServer(t, issueKeys(t, authority, "d1"), proxyHandler{func(_ context.Context, _ *drive.ProxyRequest, write func(drive.ProxyFrame) error) {
		assert.Check(t, write(drive.ProxyFrame{}))
		<-goOn
		assert.Check(t, write(drive.ProxyFrame{Complete: true}))
	}})
	client := newTestClient(t, issueKeys(t, authority, "d0"), address)
	stream, err := client.OpenProxy(t.Context(), address, drive.ProxyRequest{ID: "1"})
	assert.NilError(t, err)
	defer stream.Close()
	_, err = stream.Next(time.Now().Add(5 * time.Second))
	assert.NilError(t, err)
	left, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = client.OpenProxy(left, address, drive.ProxyRequest{ID: "2"})
	assert.Assert(t, err != nil)
	close(goOn)
	frame, err := stream.Next(time.Now().Add(5 * time.Second))
	assert.NilError(t, err)
	assert.Assert(t, frame.Complete)
}

// TestProxiedBodyHasDeadline guards against a caller that is blocked by a daemon which stands still and takes no more of
// a large body. The request has not run, as its end is missing.
func TestProxiedBodyHasDeadline(t *testing.T) {
	authority := newTestAuthority(t)
	tlsConfig, err := issueKeys(t, authority, "d1").TLS()
	assert.NilError(t, err)
	tlsConfig.NextProtos = []string{alpnProtocol}
	listener, err := quic.ListenAddr("127.0.0.1:0", tlsConfig, quicConfig())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		// The connection is accepted, and nothing is read from it.
		conn, err := listener.Accept(context.Background())
		if err == nil {
			<-conn.Context().Done()
		}
	}()
	address := listener.Addr().String()
	began := time.Now()
	_, err = newTestClient(t, issueKeys(t, authority, "d0"), address).OpenProxy(t.Context(), address, drive.ProxyRequest{ID: "1", Body: make([]byte, 4<<20), TimeLeft: time.Minute})
	assert.Assert(t, err != nil)
	assert.Assert(t, time.Since(began) < proxyOpenTimeout+proxyWriteTimeout+time.Second, "%s", time.Since(began))
}

// TestClosedProxyStreamEndsRequest guards against work that goes on at another daemon after the caller has left.
func TestClosedProxyStreamEndsRequest(t *testing.T) {
	authority := newTestAuthority(t)
	ended := make(chan struct{})
	address := startServer(t, issueKeys(t, authority, "d1"), proxyHandler{func(ctx context.Context, _ *drive.ProxyRequest, write func(drive.ProxyFrame) error) {
		defer close(ended)
		assert.Check(t, write(drive.ProxyFrame{}))
		<-ctx.Done()
	}})
	stream, err := newTestClient(t, issueKeys(t, authority, "d0"), address).OpenProxy(t.Context(), address, drive.ProxyRequest{ID: "1"})
	assert.NilError(t, err)
	_, err = stream.Next(time.Now().Add(5 * time.Second))
	assert.NilError(t, err)
	stream.Close()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the request goes on")
	}
}

// TestSilentProxyIsNoticed guards against requests that wait for a daemon which has the request and says nothing. Its
// connection is kept if it answers a probe, as other requests use it.
func TestSilentProxyIsNoticed(t *testing.T) {
	authority := newTestAuthority(t)
	address := startServer(t, issueKeys(t, authority, "d1"), proxyHandler{func(ctx context.Context, _ *drive.ProxyRequest, _ func(drive.ProxyFrame) error) { <-ctx.Done() }})
	client := newTestClient(t, issueKeys(t, authority, "d0"), address)
	began := time.Now()
	stream, err := client.OpenProxy(t.Context(), address, drive.ProxyRequest{ID: "1"})
	assert.NilError(t, err)
	defer stream.Close()
	_, err = stream.Next(time.Now().Add(time.Minute))
	assert.Assert(t, err != nil)
	assert.Assert(t, time.Since(began) < 5*time.Second)
	client.mu.Lock()
	defer client.mu.Unlock()
	assert.Equal(t, len(client.conns), 1)
}
