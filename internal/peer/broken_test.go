package peer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/answer/stubs"
	"bulrushpond.example/bulrushpond/internal/drive"
	"bulrushpond.example/bulrushpond/internal/engine"
	"bulrushpond.example/bulrushpond/internal/rings"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// startRawDaemon starts a daemon that answers each request by serve, once the request has ended, and returns its address.
func startRawDaemon(t *testing.T, keys Keys, serve func(stream *quic.Stream)) string {
	t.Helper()
	tlsConfig, err := keys.TLS()
	assert.NilError(t, err)
	tlsConfig.NextProtos = []string{alpnProtocol}
	listener, err := quic.ListenAddr("127.0.0.1:0", tlsConfig, quicConfig())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept(context.Background())
			if err != nil {
				return
			}
			go func() {
				for {
					stream, err := conn.AcceptStream(context.Background())
					if err != nil {
						return
					}
					go func() {
						_, _ = io.Copy(io.Discard, stream)
						serve(stream)
					}()
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// encoded returns messages as a daemon sends them.
func encoded(t *testing.T, messages ...any) []byte {
	t.Helper()
	var raw bytes.Buffer
	for _, m := range messages {
		assert.NilError(t, writeMessage(&raw, m))
	}
	return raw.Bytes()
}

// readFrames returns the frames of a proxied request up to the first error.
func readFrames(ctx context.Context, client *Client, address string) (frames []drive.ProxyFrame, err error) {
	stream, err := client.OpenProxy(ctx, address, drive.ProxyRequest{ID: "1"})
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	for {
		frame, err := stream.Next(time.Now().Add(5 * time.Second))
		if err != nil {
			return frames, err
		}
		frames = append(frames, frame)
	}
}

// TestCutMessagesAreNoAnswer guards against answers of other daemons that break off anywhere and pass for whole, whichever way the stream ends.
func TestCutMessagesAreNoAnswer(t *testing.T) {
	authority := newTestAuthority(t)
	frames := encoded(t, drive.ProxyFrame{Head: &drive.ProxyHead{Status: 200}, Events: []string{"id: 1\n\n"}}, drive.ProxyFrame{Complete: true})
	stored := encoded(t, Answer{Stored: &rings.StoredAnswer{Status: 200, Body: []byte("done")}})
	for name, end := range map[string]func(*quic.Stream){
		"ended": func(s *quic.Stream) { _ = s.Close() },
		"reset": func(s *quic.Stream) { s.CancelWrite(1) },
	} {
		t.Run(name, func(t *testing.T) {
			parts := make(chan []byte, 1)
			address := startRawDaemon(t, issueKeys(t, authority, "d1"), func(stream *quic.Stream) {
				_, _ = stream.Write(<-parts)
				end(stream)
			})
			client := newTestClient(t, issueKeys(t, authority, "d0"), address)
			for cut := range frames {
				parts <- frames[:cut]
				got, err := readFrames(t.Context(), client, address)
				assert.Assert(t, err != nil)
				for _, f := range got {
					assert.Assert(t, !f.Complete, "after %d bytes", cut)
				}
			}
			for cut := range stored {
				parts <- stored[:cut]
				_, err := client.Forward(t.Context(), "d1", drive.CallRequest{Deadline: time.Now().Add(5 * time.Second)})
				assert.Equal(t, verdt.AsError(err, verdt.NotRun).Verdict, verdt.MayHaveRun, "after %d bytes", cut)
			}
		})
	}
}

// TestBrokenAnswersOfDaemons guards against broken answers of servers that come through another daemon, which may be of an earlier version, and
// against a check for that which refuses whole ones.
func TestBrokenAnswersOfDaemons(t *testing.T) {
	authority := newTestAuthority(t)
	next := make(chan []byte, 1)
	address := startRawDaemon(t, issueKeys(t, authority, "d1"), func(stream *quic.Stream) {
		_, _ = stream.Write(<-next)
		_ = stream.Close()
	})
	client := newTestClient(t, issueKeys(t, authority, "d0"), address)
	for _, s := range []struct {
		status int
		header http.Header
		whole  bool
	}{
		{200, http.Header{"X-Y": {"z"}}, true},
		{500, nil, true},
		{599, nil, true},
		{0, nil, false},
		{99, nil, false},
		{101, nil, false},
		{600, nil, false},
		{200, http.Header{"X Y": {"z"}}, false},
		{200, http.Header{"X ": {"z"}}, false},
		{200, http.Header{"X\x01": {"z"}}, false},
		{200, http.Header{"": {"z"}}, false},
	} {
		name := fmt.Sprintf("%d %q", s.status, s.header)
		next <- encoded(t, drive.ProxyFrame{Answer: &engine.Answer{Status: s.status, Header: s.header, Body: []byte("x")}})
		frames, _ := readFrames(t.Context(), client, address)
		assert.Equal(t, len(frames) == 1, s.whole, "answer %s", name)
		next <- encoded(t, drive.ProxyFrame{Head: &drive.ProxyHead{Status: s.status, Header: s.header}})
		frames, _ = readFrames(t.Context(), client, address)
		assert.Equal(t, len(frames) == 1, s.whole, "head %s", name)
		if s.header == nil {
			next <- encoded(t, Answer{Stored: &rings.StoredAnswer{Status: s.status, Body: []byte("x")}})
			_, err := client.Forward(t.Context(), "d1", drive.CallRequest{Deadline: time.Now().Add(5 * time.Second)})
			assert.Equal(t, err == nil, s.whole, "stored answer %s", name)
		}
	}
}

// TestManyEndlessMessages guards against a memory use that grows with the number of answers of other daemons that come at once and do not end.
func TestManyEndlessMessages(t *testing.T) {
	const (
		calls      = 100
		maxHeapUse = 200 << 20
	)
	// The beginning of a text, and of a byte string, of 1 TB.
	message := append([]byte{0xa1, 0x05, 0x5b, 0, 0, 1, 0, 0, 0, 0, 0}, bytes.Repeat([]byte("x"), 64<<10)...)
	frame := append([]byte{0xa1, 0x02, 0x81, 0x7b, 0, 0, 1, 0, 0, 0, 0, 0}, bytes.Repeat([]byte("x"), 64<<10)...)
	for name, raw := range map[string][]byte{"message": message, "frame": frame} {
		t.Run(name, func(t *testing.T) {
			authority := newTestAuthority(t)
			address := startRawDaemon(t, issueKeys(t, authority, "d1"), func(stream *quic.Stream) {
				_, err := stream.Write(raw)
				for err == nil {
					_, err = stream.Write(raw[len(raw)-64<<10:])
				}
			})
			client := newTestClient(t, issueKeys(t, authority, "d0"), address)
			grown := stubs.HeapGrowth(t.Context(), calls, func(ctx context.Context, _ int) {
				if name == "frame" {
					frames, err := readFrames(ctx, client, address)
					assert.Check(t, err != nil && len(frames) == 0)
					return
				}
				_, err := client.AskAddress(ctx, address, Request{})
				assert.Check(t, err != nil)
			})
			assert.Assert(t, grown < maxHeapUse, "the heap grew by %d MB", grown>>20)
		})
	}
}

// TestLongMessagesAtTheLimitAreServed guards against bounds that refuse whole answers of other daemons: the longest ones, some at a time, and answers
// of servers that were proxied.
func TestLongMessagesAtTheLimitAreServed(t *testing.T) {
	const (
		calls       = 3
		answerBytes = 4 << 20
	)
	authority := newTestAuthority(t)
	body := bytes.Repeat([]byte("x"), maxMessageBytes-1<<10)
	address := startServer(t, issueKeys(t, authority, "d1"), handlerFunc(func(_ context.Context, q Request) Answer {
		if q.Burn == nil {
			// A probe of the connection, while a message takes long.
			return Answer{}
		}
		return Answer{Burn: body}
	}))
	client := newTestClient(t, issueKeys(t, authority, "d0"), address)
	results := make(chan error, 2*calls)
	for range calls {
		go func() {
			answer, err := client.AskAddress(t.Context(), address, Request{Burn: &BurnRequest{}})
			if err == nil && len(answer.Burn) != len(body) {
				err = fmt.Errorf("%d bytes", len(answer.Burn))
			}
			results <- err
		}()
	}
	for range calls {
		assert.NilError(t, <-results)
	}
	proxying := startServer(t, issueKeys(t, authority, "d2"), proxyHandler{func(_ context.Context, _ *drive.ProxyRequest, write func(drive.ProxyFrame) error) {
		for range 20 {
			_ = write(drive.ProxyFrame{Events: []string{string(body[:1<<20])}})
		}
		_ = write(drive.ProxyFrame{Answer: &engine.Answer{Status: 200, Body: body[:answerBytes]}})
	}})
	for range calls {
		go func() {
			frames, err := readFrames(t.Context(), client, proxying)
			if len(frames) == 21 && len(frames[20].Answer.Body) == answerBytes {
				err = nil
			}
			results <- err
		}()
	}
	for range calls {
		assert.NilError(t, <-results)
	}
}
