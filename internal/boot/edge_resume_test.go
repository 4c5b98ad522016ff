package boot

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/platform/fakes"
)

// rawEngine is a model engine that holds all layers. Its new streams have the given body, or break off within the event
// after brokenAfter if that is empty. It writes its answer to a resumed one as it is.
type rawEngine struct {
	address, body string
	// resumed counts the resumed streams.
	resumed atomic.Int64
}

// brokenAfter is the number of events of a new stream.
const brokenAfter = 7

// startRawEngine starts an engine and publishes its entry. ID stands for the request's in the answer to a resumed stream.
func startRawEngine(t *testing.T, p *fakes.Platform, id, body, answer string) *rawEngine {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	e := &rawEngine{address: l.Addr().String(), body: body}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(conn, answer)
		}
	}()
	entry, err := json.Marshal(map[string]any{
		"service": fakes.EngineService, "address": e.address, "zone": "a", "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
		"routeType": "card", "layers": map[string]int{"source": 0, "target": fakes.Layers, "version": 1},
	})
	assert.NilError(t, err)
	p.Store.Put("servers/"+id, entry)
	return e
}

func (e *rawEngine) serve(conn net.Conn, answer string) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if strings.HasPrefix(req.URL.Path, "/-/") {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"sequence\":0}")
			continue
		}
		id := req.Header.Get("Request-Id")
		if last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id")); last > 0 {
			e.resumed.Add(1)
			_, _ = io.WriteString(conn, strings.ReplaceAll(answer, "ID", id))
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: %s\r\nResponse-Signature: s.%s\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
		if e.body != "" {
			_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n0\r\n\r\n", len(e.body), e.body)
			continue
		}
		for i := 1; i <= brokenAfter; i++ {
			event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
			_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
			time.Sleep(2 * time.Millisecond)
		}
		_, _ = io.WriteString(conn, "40\r\nid: 8\ndata: pie")
		return
	}
}

// TestErrorOfNextEngineIsNotInStream guards against the answer of the engine at which a stream is resumed that is no rest
// of the stream: callers found an error's text or head in the middle of their stream, or a stream that ended as complete.
func TestErrorOfNextEngineIsNotInStream(t *testing.T) {
	const signed = "Request-Id: ID\r\nResponse-Signature: s.ID\r\n"
	chunked := func(head, body string) string {
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
	}
	withLength := func(head, body string) string {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	const stream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + signed
	const text = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + signed
	const event8 = "id: 8\ndata: piece 8\n\n"
	for name, answer := range map[string]string{
		"error, signed":                    withLength("HTTP/1.1 500 Internal Server Error\r\n"+signed, "out of memory"),
		"error, in chunks":                 chunked("HTTP/1.1 500 Internal Server Error\r\n"+signed, "out of memory\n\n"),
		"error, not signed":                withLength("HTTP/1.1 502 Bad Gateway\r\n", "out of memory"),
		"error with events":                chunked("HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/event-stream\r\n"+signed, event8),
		"error without a length":           "HTTP/1.1 500 Internal Server Error\r\n" + signed + "\r\nout of memory",
		"error at the deadline":            withLength("HTTP/1.1 504 Gateway Timeout\r\n"+signed, "too late"),
		"bad request":                      withLength("HTTP/1.1 400 Bad Request\r\n"+signed, "no such event"),
		"no content":                       "HTTP/1.1 204 No Content\r\n" + signed + "\r\n",
		"redirect":                         withLength("HTTP/1.1 302 Found\r\nLocation: /x\r\n"+signed, ""),
		"part of another answer":           withLength("HTTP/1.1 206 Partial Content\r\n"+signed, event8),
		"refusal":                          withLength("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n", "full"),
		"text with status 200":             withLength(text, "out of memory"),
		"lines of text with status 200":    chunked(text, "out of memory\n\n"),
		"no text with status 200":          withLength(text, ""),
		"JSON with status 200":             withLength("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"+signed, "{}"),
		"event without a number":           chunked(stream, "event: error\ndata: out of memory\n\n"),
		"event of an earlier part":         chunked(stream, "id: 1\ndata: piece 1\n\n"),
		"event with an error's number":     chunked(stream, "id: 500\ndata: out of memory\n\n"),
		"stream that was not begun":        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + signed + "Transfer-Encoding: chunked\r\n\r\n",
		"head in the stream":               "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + signed + "\r\n" + "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 3\r\n\r\noom",
		"head in the stream, in chunks":    chunked(stream, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 3\r\n\r\noom"),
		"head that breaks off":             "HTTP/1.1 500 Internal Serv",
		"answer to another request":        chunked("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: other\r\nResponse-Signature: s.other\r\n", event8),
		"stream that is encoded":           chunked(stream+"Content-Encoding: gzip\r\n", event8),
		"interim answers and then silence": strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 3),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, err := fakes.New()
			assert.NilError(t, err)
			t.Cleanup(p.Close)
			env := &testEnvironment{t: t, platform: p}
			engines := []*rawEngine{startRawEngine(t, p, "e1", "", answer), startRawEngine(t, p, "e2", "", answer)}
			env.configure(fakes.Config{Keys: map[string][]string{"north": {"key-n"}}})
			env.start(nil)
			var raw string
			env.waitUntil("a stream is resumed", func() bool {
				raw = env.rawStream(0)
				return engines[0].resumed.Load()+engines[1].resumed.Load() > 0
			})
			_, body, found := strings.Cut(raw, "\r\n\r\n")
			assert.Assert(t, found && strings.HasPrefix(raw, "HTTP/1.1 200 "), "%q", raw)
			decoded, complete := decodeChunks(body)
			assert.Assert(t, !complete, "the answer looks complete: %q", raw)
			var want strings.Builder
			for i := 1; i <= brokenAfter; i++ {
				fmt.Fprintf(&want, "id: %d\ndata: piece %d\n\n", i, i)
			}
			assert.Equal(t, decoded, want.String())
		})
	}
}

// TestStreamArrivesUnchanged guards against streams that lose bytes between the engine and the caller: long lines, all ends
// of lines, comments, and what comes before the first event and after the last one.
func TestStreamArrivesUnchanged(t *testing.T) {
	var long strings.Builder
	for i := range 40 {
		fmt.Fprintf(&long, "id: %d\ndata: %s\n\n", i+1, strings.Repeat("x", 1000+i))
	}
	for name, body := range map[string]string{
		"lines of about a kilobyte": long.String(),
		"CR":                        "id: 1\rdata: x\r\rid: 2\rdata: y\r\r",
		"CRLF":                      "id: 1\r\ndata: x\r\n\r\nid: 2\r\ndata: y\r\n\r\n",
		"comments and blank lines":  "\n: hello\n\nid: 1\ndata: x\ndata: y\n\n: wait\n\n\nid: 2\ndata: y\n\n\n: end\n\n",
		"no UTF-8":                  "id: 1\ndata: \xff\xfe\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, err := fakes.New()
			assert.NilError(t, err)
			t.Cleanup(p.Close)
			env := &testEnvironment{t: t, platform: p}
			startRawEngine(t, p, "e1", body, "")
			env.configure(fakes.Config{Keys: map[string][]string{"north": {"key-n"}}})
			env.start(nil)
			var raw string
			env.waitUntil("a stream is answered", func() bool {
				raw = env.rawStream(0)
				return strings.HasPrefix(raw, "HTTP/1.1 200 ")
			})
			_, chunks, _ := strings.Cut(raw, "\r\n\r\n")
			decoded, complete := decodeChunks(chunks)
			assert.Assert(t, complete)
			assert.Equal(t, decoded, body)
		})
	}
}

// rawStream sends a stream request on a connection of its own and returns all bytes of the answer.
func (env *testEnvironment) rawStream(daemon int) string {
	conn, err := net.Dial("tcp", env.daemons[daemon].CallersAddress())
	assert.NilError(env.t, err)
	defer func() { _ = conn.Close() }()
	env.requests++
	_, err = fmt.Fprintf(conn, "POST /draft/x HTTP/1.1\r\nHost: site.example\r\nAuthorization: Bearer key-n\r\nRequest-Id: r%d\r\nDeadline-Ms: 3000\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx", env.requests)
	assert.NilError(env.t, err)
	assert.NilError(env.t, conn.SetReadDeadline(time.Now().Add(6*time.Second)))
	// An aborted answer ends with a reset.
	raw, _ := io.ReadAll(conn)
	return string(raw)
}

// decodeChunks decodes a chunked body as far as it goes, and reports whether it is complete.
func decodeChunks(body string) (text string, complete bool) {
	for {
		head, rest, found := strings.Cut(body, "\r\n")
		size, err := strconv.ParseInt(head, 16, 64)
		if !found || err != nil {
			return text, false
		}
		if size == 0 {
			return text, true
		}
		if int64(len(rest)) < size {
			return text + rest, false
		}
		text, body = text+rest[:size], strings.TrimPrefix(rest[size:], "\r\n")
	}
}
