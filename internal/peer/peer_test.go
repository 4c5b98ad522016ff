package peer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/core/board"
	"bulrushpond.example/bulrushpond/internal/core/crash"
	"bulrushpond.example/bulrushpond/internal/core/fleet"
	"bulrushpond.example/bulrushpond/internal/drive"
	"bulrushpond.example/bulrushpond/internal/rings"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

type handlerFunc func(context.Context, Request) Answer

func (f handlerFunc) Answer(ctx context.Context, q Request) Answer { return f(ctx, q) }

func newTestAuthority(t *testing.T) *CertificateAuthority {
	t.Helper()
	authority, err := NewCertificateAuthority(time.Now().Add(time.Hour))
	assert.NilError(t, err)
	return authority
}

func issueKeys(t *testing.T, authority *CertificateAuthority, daemon string) Keys {
	t.Helper()
	keys, err := authority.Issue(daemon, time.Now().Add(time.Hour))
	assert.NilError(t, err)
	return keys
}

// startServer starts a server that is stopped at the end of the test, and returns its
// address.
func startServer(t *testing.T, keys Keys, handler Handler) string {
	t.Helper()
	tlsConfig, err := keys.TLS()
	assert.NilError(t, err)
	server, err := Listen("127.0.0.1:0", tlsConfig, handler)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-served })
	return server.Address()
}

func newTestClient(t *testing.T, keys Keys, address string) *Client {
	t.Helper()
	tlsConfig, err := keys.TLS()
	assert.NilError(t, err)
	c := NewClient(tlsConfig, func(model.DaemonID) (string, bool) { return address, address != "" })
	t.Cleanup(c.Close)
	return c
}

func TestForwardDeliversCall(t *testing.T) {
	authority := newTestAuthority(t)
	received := make(chan drive.CallRequest, 1)
	address := startServer(t, issueKeys(t, authority, "d1"), handlerFunc(func(_ context.Context, q Request) Answer {
		received <- *q.Call
		return Answer{Stored: &rings.StoredAnswer{Status: 200, Body: []byte("done")}}
	}))
	sent := drive.CallRequest{Team: "/t", Service: "s", Method: "POST", Path: "/p", Body: []byte("b"), Key: "k", Deadline: time.Now().Add(time.Minute).UTC()}
	stored, err := newTestClient(t, issueKeys(t, authority, "d0"), address).Forward(t.Context(), "d1", sent)
	assert.NilError(t, err)
	assert.Equal(t, string(stored.Body), "done")
	assert.DeepEqual(t, <-received, sent)
}

// TestHandlerPanicEndsOneRequest guards against a message on which a handler panics and that ends the whole process.
func TestHandlerPanicEndsOneRequest(t *testing.T) {
	authority := newTestAuthority(t)
	tlsConfig, err := issueKeys(t, authority, "d1").TLS()
	assert.NilError(t, err)
	panics := make(chan error, 1)
	server, err := Listen("127.0.0.1:0", tlsConfig, handlerFunc(func(_ context.Context, q Request) Answer {
		if q.Mirror != nil {
			panic("no such revision")
		}
		return Answer{}
	}), WithPanicHook(func(err error) { panics <- err }))
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-served })
	client := newTestClient(t, issueKeys(t, authority, "d0"), server.Address())
	_, err = client.Ask(t.Context(), "d1", Request{Mirror: &MirrorRequest{}})
	assert.Equal(t, verdt.AsError(err, verdt.Ran).Verdict, verdt.MayHaveRun)
	assert.ErrorContains(t, <-panics, "no such revision")
	_, err = client.Ask(t.Context(), "d1", Request{})
	assert.NilError(t, err)
}

// TestForwardFailureVerdicts checks that the verdict is not_run only if no byte of the
// call was sent.
func TestForwardFailureVerdicts(t *testing.T) {
	authority := newTestAuthority(t)
	request := drive.CallRequest{Deadline: time.Now().Add(time.Second)}

	_, err := newTestClient(t, issueKeys(t, authority, "d0"), "").Forward(t.Context(), "d1", request)
	assert.Equal(t, verdt.AsError(err, verdt.Ran).Verdict, verdt.NotRun)

	unresponsive := startServer(t, issueKeys(t, authority, "d1"), handlerFunc(func(ctx context.Context, _ Request) Answer {
		<-ctx.Done()
		return Answer{}
	}))
	_, err = newTestClient(t, issueKeys(t, authority, "d0"), unresponsive).Forward(t.Context(), "d1", request)
	assert.Equal(t, verdt.AsError(err, verdt.Ran).Verdict, verdt.MayHaveRun)

	request.Deadline = time.Now().Add(time.Minute)
	emptyAnswer := startServer(t, issueKeys(t, authority, "d1"), handlerFunc(func(context.Context, Request) Answer { return Answer{} }))
	_, err = newTestClient(t, issueKeys(t, authority, "d0"), emptyAnswer).Forward(t.Context(), "d1", request)
	assert.Equal(t, verdt.AsError(err, verdt.Ran).Verdict, verdt.MayHaveRun)
}

// TestClientOfAnotherAuthorityIsRejected checks that a daemon whose certificate was
// issued by another authority can't reach the handler.
func TestClientOfAnotherAuthorityIsRejected(t *testing.T) {
	var handlerCalled atomic.Bool
	address := startServer(t, issueKeys(t, newTestAuthority(t), "d1"), handlerFunc(func(context.Context, Request) Answer {
		handlerCalled.Store(true)
		return Answer{}
	}))
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	_, err := newTestClient(t, issueKeys(t, newTestAuthority(t), "d0"), address).Ask(ctx, "d1", Request{})
	assert.Assert(t, err != nil)
	assert.Assert(t, !handlerCalled.Load())
}

// TestServerSurvivesMalformedDatagrams checks that the server still responds after it
// has received datagrams that aren't QUIC.
func TestServerSurvivesMalformedDatagrams(t *testing.T) {
	authority := newTestAuthority(t)
	address := startServer(t, issueKeys(t, authority, "d1"), handlerFunc(func(context.Context, Request) Answer { return Answer{Burn: []byte{1}} }))
	conn, err := net.Dial("udp", address)
	assert.NilError(t, err)
	for i := range 50 {
		_, _ = conn.Write(make([]byte, i*20+1))
	}
	assert.NilError(t, conn.Close())
	answer, err := newTestClient(t, issueKeys(t, authority, "d0"), address).Ask(t.Context(), "d1", Request{Burn: &BurnRequest{}})
	assert.NilError(t, err)
	assert.Equal(t, len(answer.Burn), 1)
}

// TestOneWayCutEndsRequestInFlight checks that a request fails soon if its packets do not reach
// the other daemon, although the connection is open, and that a request that merely takes long
// is not cut.
func TestOneWayCutEndsRequestInFlight(t *testing.T) {
	authority := newTestAuthority(t)
	const runTime = 2500 * time.Millisecond
	arrived := make(chan struct{}, 1)
	address := startServer(t, issueKeys(t, authority, "d1"), handlerFunc(func(ctx context.Context, q Request) Answer {
		if q.Burn == nil {
			return Answer{}
		}
		arrived <- struct{}{}
		select {
		case <-ctx.Done():
		case <-time.After(runTime):
		}
		return Answer{Burn: []byte{1}}
	}))
	proxy := startUDPProxy(t, address)
	client := newTestClient(t, issueKeys(t, authority, "d0"), proxy.address())
	answer, err := client.Ask(t.Context(), "d1", Request{Burn: &BurnRequest{}})
	assert.NilError(t, err)
	assert.Equal(t, len(answer.Burn), 1)
	<-arrived

	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	proxy.cut.Store(true)
	began := time.Now()
	_, err = client.Ask(ctx, "d1", Request{Burn: &BurnRequest{}})
	assert.Equal(t, verdt.AsError(err, verdt.Ran).Verdict, verdt.MayHaveRun)
	assert.Assert(t, time.Since(began) < 2*(probeInterval+probeTimeout), "%s", time.Since(began))
}

// udpProxy forwards datagrams between one client and a server. While cut is set it drops those
// to the server.
type udpProxy struct {
	cut      atomic.Bool
	listener net.PacketConn
}

func startUDPProxy(t *testing.T, target string) *udpProxy {
	t.Helper()
	listener, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	upstream, err := net.Dial("udp", target)
	assert.NilError(t, err)
	t.Cleanup(func() { _, _ = listener.Close(), upstream.Close() })
	p := &udpProxy{listener: listener}
	var client atomic.Value
	go func() {
		buf := make([]byte, 1<<16)
		for {
			n, sender, err := listener.ReadFrom(buf)
			if err != nil {
				return
			}
			client.Store(sender)
			if !p.cut.Load() {
				_, _ = upstream.Write(buf[:n])
			}
		}
	}()
	go func() {
		buf := make([]byte, 1<<16)
		for {
			n, err := upstream.Read(buf)
			if err != nil {
				return
			}
			_, _ = listener.WriteTo(buf[:n], client.Load().(net.Addr))
		}
	}()
	return p
}

func (p *udpProxy) address() string { return p.listener.LocalAddr().String() }

func FuzzDecodeRequest(f *testing.F) {
	codec, err := sharedCodec()
	assert.NilError(f, err)
	raw, err := codec.enc.Marshal(Request{Gossip: &fleet.Gossip{From: "d", Heartbeats: []fleet.Heartbeat{{Daemon: "d", Count: 1}}}})
	assert.NilError(f, err)
	f.Add(raw)
	f.Add([]byte{0xa1, 0x01, 0xf6})
	f.Fuzz(func(t *testing.T, raw []byte) {
		q, err := DecodeRequest(raw)
		if err != nil || q.Gossip == nil {
			return
		}
		state := fleet.New("me")
		state.Merge(time.Now(), *q.Gossip)
		state.Merge(time.Now(), state.Gossip(1))
		state.Live(time.Now())
	})
}

// TestPromptPartsInHubMessages checks that what daemons tell the hub about prompt parts arrives, and
// that a daemon of an earlier version, which knows nothing of it, reads the rest.
func TestPromptPartsInHubMessages(t *testing.T) {
	codec, err := sharedCodec()
	assert.NilError(t, err)
	until := time.Unix(1_000_000, 5).UTC()
	status := board.DaemonStatus{Address: "10.0.0.1:1", Leaving: []model.ServerID{"s"}, PromptParts: board.PromptParts{
		CrashEvidence: []crash.Evidence{{Server: "e", Part: 1 << 63}}, SoundParts: []uint64{3}, BlockedParts: []crash.Block{{Part: 4, Until: until}},
	}}
	raw, err := codec.enc.Marshal(Request{Hub: &HubRequest{From: "a", Status: status}})
	assert.NilError(t, err)
	got, err := DecodeRequest(raw)
	assert.NilError(t, err)
	assert.DeepEqual(t, got.Hub.Status, status)

	type earlierStatus struct {
		Address string           `cbor:"1,keyasint"`
		Leaving []model.ServerID `cbor:"6,keyasint,omitempty"`
	}
	raw, err = codec.enc.Marshal(status)
	assert.NilError(t, err)
	var earlier earlierStatus
	assert.NilError(t, codec.dec.Unmarshal(raw, &earlier))
	assert.DeepEqual(t, earlier, earlierStatus{Address: status.Address, Leaving: status.Leaving})
	raw, err = codec.enc.Marshal(earlier)
	assert.NilError(t, err)
	var fromEarlier board.DaemonStatus
	assert.NilError(t, codec.dec.Unmarshal(raw, &fromEarlier))
	assert.DeepEqual(t, fromEarlier, board.DaemonStatus{Address: status.Address, Leaving: status.Leaving})
}
