package front

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/core"
	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/owner"
	"bulrushpond.example/bulrushpond/internal/drive"
	"bulrushpond.example/bulrushpond/internal/engine"
	"bulrushpond.example/bulrushpond/internal/evlog"
	"bulrushpond.example/bulrushpond/internal/fakes"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

const testKey = "key"

// newFront serves callers over engines and a service in memory.
func newFront(t *testing.T) (*httptest.Server, *fakes.Local) {
	t.Helper()
	sum := sha256.Sum256([]byte(testKey))
	text := fmt.Sprintf(`settings: {models: {m: 4, other: 4}, max_body_bytes: 2048, max_tokens: 500}
nodes: {t: {kind: team, settings: {api_key_sha256: [%q], allowed_models: [m], allowed_services: [bookings]}}}`, hex.EncodeToString(sum[:]))
	tree, err := setts.Parse("test", []byte(text))
	assert.NilError(t, err)
	force := setts.NewForce(tree)
	log := evlog.New(logr.Discard())
	site := fakes.NewLocal()
	report := model.Report{Server: "e0", Model: "m", Span: model.Span{From: 0, To: 4}, Slots: 8, TokensPerSecond: 100}
	site.Add(report).StepTime = 5 * time.Millisecond
	streams := drive.NewStreams(log, site, 1)
	service := httptest.NewServer(fakes.NewService())
	calls := drive.NewCalls(log, owner.DefaultConfig("d0", "p"), fakes.NewKV(), engine.NewHTTP())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	go func() { ended <- streams.Serve(ctx) }()
	go func() { ended <- calls.Serve(ctx) }()
	streams.SetForce(force)
	streams.SetList(site.Members(), 1)
	streams.AddReport(report)
	calls.SetList([]model.Member{{ID: "s0", Address: service.Listener.Addr().String(), Role: model.Service, Service: "bookings"}})
	calls.SetShards(1, nil)
	calls.SetFleet(msgs.Fleet{Live: []model.DaemonID{"d0"}})
	for len(calls.Owned()) == 0 || !hasServer(streams) {
		time.Sleep(time.Millisecond)
	}
	server := httptest.NewServer(New(log, streams, calls, func() *setts.Force { return force }, WithBodyTimeout(200*time.Millisecond)).Handler())
	t.Cleanup(func() { server.Close(); service.Close(); cancel(); <-ended; <-ended })
	return server, site
}

func hasServer(s *drive.Streams) bool {
	ok := false
	s.View(func(c *core.Core) {
		row, found := c.Server("e0")
		ok = found && row.Usable(time.Now())
	})
	return ok
}

func TestBadInput(t *testing.T) {
	server, _ := newFront(t)
	const good = `{"model":"m","messages":[{"role":"user","content":"hi"}]}`
	type scenario struct {
		name, path, key, body string
		header                map[string]string
		status                int
		reason                string
	}
	chat, booking := "/v1/chat/completions", "/v1/services/bookings/x"
	scenarios := []scenario{
		{name: "no key", path: chat, body: good, status: 401, reason: "unauthorized"},
		{name: "wrong key", path: chat, key: "wrong", body: good, status: 401, reason: "unauthorized"},
		{name: "malformed", path: chat, key: testKey, body: `{"model":`, status: 400, reason: "bad_request"},
		{name: "wrong type", path: chat, key: testKey, body: `{"model":7}`, status: 400, reason: "bad_request"},
		{name: "no messages", path: chat, key: testKey, body: `{"model":"m"}`, status: 400, reason: "bad_request"},
		{name: "no prompt", path: "/v1/completions", key: testKey, body: `{"model":"m"}`, status: 400, reason: "bad_request"},
		{name: "negative tokens", path: chat, key: testKey, body: `{"model":"m","max_tokens":-1,"messages":[{}]}`, status: 400, reason: "bad_request"},
		{name: "too many tokens", path: chat, key: testKey, body: `{"model":"m","max_tokens":501,"messages":[{}]}`, status: 400, reason: "bad_request"},
		{name: "unknown model", path: chat, key: testKey, body: `{"model":"x","messages":[{}]}`, status: 404, reason: "unknown_model"},
		{name: "forbidden model", path: chat, key: testKey, body: `{"model":"other","messages":[{}]}`, status: 403, reason: "forbidden"},
		{name: "oversized", path: chat, key: testKey, body: strings.Repeat("x", 4096), status: 413, reason: "too_large"},
		{name: "absurd deadline", path: chat, key: testKey, body: good, header: map[string]string{"Request-Timeout": "1e99"}, status: 400, reason: "bad_request"},
		{name: "no number", path: chat, key: testKey, body: good, header: map[string]string{"Request-Timeout": "NaN"}, status: 400, reason: "bad_request"},
		{name: "past deadline", path: chat, key: testKey, body: good, header: map[string]string{"Request-Timeout": "-1"}, status: 400, reason: "bad_request"},
		{name: "unknown service", path: "/v1/services/none/x", key: testKey, body: "b", status: 403, reason: "forbidden"},
		{name: "booking without key", path: booking, key: testKey, body: "b", status: 400, reason: "key_required"},
		{name: "long key", path: booking, key: testKey, body: "b", header: map[string]string{"Idempotency-Key": strings.Repeat("k", 300)}, status: 400, reason: "bad_request"},
		{name: "open quote", path: booking, key: testKey, body: "b", header: map[string]string{"Idempotency-Key": `"k`}, status: 400, reason: "bad_request"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			status, body, header := post(t, server, s.path, s.key, s.body, s.header)
			assert.Equal(t, status, s.status, body)
			var e ErrorBody
			assert.NilError(t, json.Unmarshal([]byte(body), &e))
			assert.Equal(t, e.Error.Reason.String(), s.reason)
			assert.Equal(t, header.Get("Bulrushpond-Verdict"), "not_run")
		})
	}
}

func post(t *testing.T, server *httptest.Server, path, key, body string, header map[string]string) (status int, answer string, h http.Header) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, server.URL+path, bytes.NewBufferString(body))
	assert.NilError(t, err)
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := server.Client().Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(raw), resp.Header
}

// TestSlowSender: a body that does not arrive in time is refused, and nothing ran.
func TestSlowSender(t *testing.T) {
	server, _ := newFront(t)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{\"model\"", testKey)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
	assert.Equal(t, resp.Header.Get("Bulrushpond-Verdict"), "not_run")
}

// TestStreamShape: each event carries its token's index, then come the count and
// the end mark.
func TestStreamShape(t *testing.T) {
	server, _ := newFront(t)
	want := fakes.Answer("user: hi\n", 4, 500)
	status, body, _ := post(t, server, "/v1/chat/completions", testKey, `{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}`, nil)
	assert.Equal(t, status, http.StatusOK)
	events := strings.Split(strings.TrimSuffix(body, "\n\n"), "\n\n")
	assert.Equal(t, len(events), len(want)+2)
	for i, text := range want {
		id, data, ok := strings.Cut(events[i], "\ndata: ")
		assert.Assert(t, ok)
		assert.Equal(t, id, "id: "+strconv.Itoa(i))
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		assert.NilError(t, json.Unmarshal([]byte(data), &chunk))
		assert.Equal(t, chunk.Choices[0].Delta.Content, text)
	}
	assert.Assert(t, strings.Contains(events[len(want)], fmt.Sprintf(`"completion_tokens":%d`, len(want))))
	assert.Equal(t, events[len(want)+1], "data: [DONE]")
}

// TestCutStream: an answer that is cut says so, with the verdict, and has no end
// mark.
func TestCutStream(t *testing.T) {
	server, site := newFront(t)
	req, err := http.NewRequest(http.MethodPost, server.URL+"/v1/completions", strings.NewReader(`{"model":"m","stream":true,"prompt":"hi"}`))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set("Request-Timeout", "0.5")
	resp, err := server.Client().Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	in := bufio.NewReader(resp.Body)
	first, err := in.ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, first, "id: 0\n")
	site.Kill("e0")
	rest, err := io.ReadAll(in)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(rest), "event: error"))
	assert.Assert(t, strings.Contains(string(rest), `"verdict":"ran"`))
	assert.Assert(t, !strings.Contains(string(rest), "[DONE]"))
}

// TestBooking: a repeated key gets the first answer, another body is refused, and
// the path is handed on as the caller wrote it.
func TestBooking(t *testing.T) {
	server, _ := newFront(t)
	key := map[string]string{"Idempotency-Key": `"k1"`}
	status, first, _ := post(t, server, "/v1/services/bookings/a%2Fb?c=d", testKey, "household", key)
	assert.Equal(t, status, http.StatusOK, first)
	_, again, _ := post(t, server, "/v1/services/bookings/a%2Fb?c=d", testKey, "household", key)
	assert.Equal(t, again, first)
	status, body, _ := post(t, server, "/v1/services/bookings/other", testKey, "household", key)
	assert.Equal(t, status, http.StatusUnprocessableEntity, body)
}

func FuzzParseQuestion(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hi"}],"stream":true}`), true)
	f.Add([]byte(`{"model":"m","prompt":"p"}`), false)
	f.Fuzz(func(t *testing.T, raw []byte, chat bool) {
		q, err := ParseQuestion(raw, chat)
		if err != nil {
			return
		}
		assert.Assert(t, q.Model != "" && q.MaxTokens >= 0)
		_ = prefixOf(q.text())
	})
}

func FuzzParseKey(f *testing.F) {
	f.Add(`"a-key"`)
	f.Add(`"`)
	f.Add("bare")
	f.Fuzz(func(t *testing.T, header string) {
		key, err := ParseKey(header)
		if err == nil {
			assert.Assert(t, key != "" && len(key) <= maxKeyBytes)
		}
	})
}

func FuzzAppendQuoted(f *testing.F) {
	f.Add("plain")
	f.Add("quote\" back\\ new\nline \x00 é \xff")
	f.Fuzz(func(t *testing.T, text string) {
		var back string
		assert.NilError(t, json.Unmarshal(appendQuoted(nil, text), &back))
		// A conversion to runes replaces each invalid byte, as JSON does.
		assert.Equal(t, back, string([]rune(text)))
	})
}

// BenchmarkTokenFrame is the text of one streamed token.
func BenchmarkTokenFrame(b *testing.B) {
	a := &answer{id: "req-1", chat: true}
	line := make([]byte, 0, 4096)
	b.ReportAllocs()
	for b.Loop() {
		line = a.appendToken(line[:0], 7, "word ")
	}
}
