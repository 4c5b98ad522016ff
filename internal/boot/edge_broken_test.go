package boot

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/answer/stubs"
	"bulrushpond.example/bulrushpond/platform/fakes"
)

// brokenServers are servers that break the first answer to each request.
type brokenServers struct {
	// answer is the broken answer. ID stands for that of its request.
	answer string
	end    stubs.EndFunc

	mu sync.Mutex
	// arrivals counts the arrivals of each request by its ID; guarded by mu.
	arrivals map[string]int
}

// brokenServersBody is the body of a whole answer; also a stream of one event.
const brokenServersBody = "id: 1\ndata: x\n\n"

func (b *brokenServers) serve(r *bufio.Reader, conn *net.TCPConn) {
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if strings.HasPrefix(req.URL.Path, "/-/") {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"sequence\":0}")
			continue
		}
		id := req.Header.Get("Request-Id")
		b.mu.Lock()
		b.arrivals[id]++
		first := b.arrivals[id] == 1 && !strings.HasSuffix(req.URL.Path, "/warm")
		b.mu.Unlock()
		if first {
			_, _ = io.WriteString(conn, strings.ReplaceAll(b.answer, "ID", id))
			time.Sleep(5 * time.Millisecond)
			b.end(r, conn)
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		body := brokenServersBody
		if req.Header.Get("Last-Event-Id") == "1" {
			body = ""
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: %s\r\nResponse-Signature: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	}
}

func (b *brokenServers) arrivalsOf(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.arrivals[id]
}

// syncBuffer is a buffer for concurrent use.
type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.String()
}

// TestEdgeBrokenAnswers guards against broken answers that reach callers: a request that may be repeated is, one that may not fails and runs once, and
// the log and the metrics say why.
func TestEdgeBrokenAnswers(t *testing.T) {
	const signed = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: s\r\n"
	const uploadBytes = 3 << 20
	upload := strings.Repeat("b", uploadBytes)
	for _, s := range []struct {
		name, answer, reason string
		end                  stubs.EndFunc
	}{
		{"reset during the upload", signed + "\r\n" + brokenServersBody, "reset", stubs.Reset},
		{"status", "HTTP/1.1 000 No\r\nRequest-Id: ID\r\nResponse-Signature: s\r\nContent-Length: 0\r\n\r\n", "status", stubs.EndAndRead},
		{"status of a refusal", "HTTP/1.1 000 No\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", "status", stubs.EndAndRead},
		{"name with a blank", signed + "X Y: z\r\nContent-Length: 0\r\n\r\n", "field_name", stubs.EndAndRead},
		{"length that is none", signed + "Content-Length : 5\r\n\r\n" + brokenServersBody, "field_name", stubs.EndAndRead},
		{"name with a control byte", signed + "X\x01Y: z\r\nContent-Length: 0\r\n\r\n", "field_name", stubs.EndAndRead},
		{"trailer", signed + "Transfer-Encoding: chunked\r\n\r\n0\r\nX Y: z\r\n\r\n", "field_name", stubs.EndAndRead},
	} {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			p, err := fakes.New()
			assert.NilError(t, err)
			t.Cleanup(p.Close)
			servers := &brokenServers{answer: s.answer, end: s.end, arrivals: map[string]int{}}
			for i := range 3 {
				for prefix, service := range map[string]string{"b": fakes.PlainService, "e": fakes.EngineService} {
					entry, err := json.Marshal(map[string]any{
						"service": service, "address": stubs.Serve(t, servers.serve), "zone": "a", "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
						"routeType": "card", "layers": map[string]int{"source": 0, "target": fakes.Layers, "version": 1},
					})
					assert.NilError(t, err)
					p.Store.Put(fmt.Sprintf("servers/%s%d", prefix, i), entry)
				}
			}
			env := &testEnvironment{t: t, platform: p}
			env.configure(fakes.Config{Keys: map[string][]string{"north": {"key-n"}}})
			var log syncBuffer
			daemon := env.start(nil, func(d *EdgeDaemon) { d.broken.log = NewLog(&log, false) })
			for _, path := range []string{"/read/warm", "/book/warm", "/draft/warm"} {
				env.waitUntil("the route is in force", func() bool { return env.call(0, http.MethodPost, path, "key-n", "").complete })
			}
			for _, request := range []struct {
				method, path, body string
				repeated           bool
			}{
				{http.MethodGet, "/read/x", "", true},
				{http.MethodPost, "/read/x", upload, true},
				{http.MethodPost, "/book/x", upload, false},
				{http.MethodPost, "/draft/x", upload, true},
			} {
				if s.reason == "reset" && request.body == "" {
					continue
				}
				got := env.call(0, request.method, request.path, "key-n", request.body)
				if request.repeated {
					assert.Assert(t, got.complete, "%s: %+v", request.path, got)
					assert.Equal(t, got.body, brokenServersBody)
					assert.Equal(t, servers.arrivalsOf(got.requestID), 2)
				} else {
					assert.Equal(t, got.code, http.StatusBadGateway, "%s: %+v", request.path, got)
					assert.Equal(t, servers.arrivalsOf(got.requestID), 1)
				}
			}
			assert.Assert(t, daemon.broken.Read()[s.reason] >= 3, "%v", daemon.broken.Read())
			assert.Assert(t, strings.Contains(log.String(), `"msg":"answer_broken"`) && strings.Contains(log.String(), `"reason":"`+s.reason+`"`), "%s", log.String())
		})
	}
}
