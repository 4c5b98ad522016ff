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

const testAPIKey = "key"

// newTestFront starts the API over one in-memory engine, "e0", and one fake service,
// "bookings". It waits until both can be used.
func newTestFront(t *testing.T) (*httptest.Server, *fakes.Local) {
	t.Helper()
	sum := sha256.Sum256([]byte(testAPIKey))
	settingsYAML := fmt.Sprintf(`settings: {models: {m: 4, other: 4}, max_body_bytes: 2048, max_tokens: 500}
nodes: {t: {kind: team, settings: {api_key_sha256: [%q], allowed_models: [m], allowed_services: [bookings]}}}`, hex.EncodeToString(sum[:]))
	tree, err := setts.Parse("test", []byte(settingsYAML))
	assert.NilError(t, err)
	settings := setts.NewEffectiveSettings(tree)
	log := evlog.New(logr.Discard())
	engines := fakes.NewLocal()
	report := model.Report{Server: "e0", Model: "m", Span: model.Span{From: 0, To: 4}, Slots: 8, TokensPerSecond: 100}
	engines.Add(report).StepTime = 5 * time.Millisecond
	streams := drive.NewStreamExecutor(log, engines, 1)
	service := httptest.NewServer(fakes.NewService())
	calls := drive.NewCallExecutor(log, owner.DefaultConfig("d0", "p"), fakes.NewKV(), engine.NewHTTPClient())
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 2)
	go func() { served <- streams.Serve(ctx) }()
	go func() { served <- calls.Serve(ctx) }()
	streams.SetSettings(settings)
	streams.SetList(engines.Members(), 1)
	streams.AddReport(report)
	calls.SetList([]model.Member{{ID: "s0", Address: service.Listener.Addr().String(), Role: model.Service, Service: "bookings"}})
	calls.SetShards(1, nil)
	calls.SetFleet(msgs.Fleet{Live: []model.DaemonID{"d0"}})
	for len(calls.OwnedShards()) == 0 || !hasUsableEngine(streams) {
		time.Sleep(time.Millisecond)
	}
	server := httptest.NewServer(New(log, streams, calls, func() *setts.EffectiveSettings { return settings }, WithBodyTimeout(200*time.Millisecond)).Handler())
	t.Cleanup(func() { server.Close(); service.Close(); cancel(); <-served; <-served })
	return server, engines
}

func hasUsableEngine(streams *drive.StreamExecutor) bool {
	usable := false
	streams.View(func(c *core.Core) {
		row, found := c.Server("e0")
		usable = found && row.Usable(time.Now())
	})
	return usable
}

func TestInvalidRequests(t *testing.T) {
	server, _ := newTestFront(t)
	const validBody = `{"model":"m","messages":[{"role":"user","content":"hi"}]}`
	type scenario struct {
		name, path, apiKey, body string
		header                   map[string]string
		wantStatus               int
		wantReason               string
	}
	chatPath, bookingPath := "/v1/chat/completions", "/v1/services/bookings/x"
	scenarios := []scenario{
		{name: "missing API key", path: chatPath, body: validBody, wantStatus: 401, wantReason: "unauthorized"},
		{name: "unknown API key", path: chatPath, apiKey: "wrong", body: validBody, wantStatus: 401, wantReason: "unauthorized"},
		{name: "malformed JSON", path: chatPath, apiKey: testAPIKey, body: `{"model":`, wantStatus: 400, wantReason: "bad_request"},
		{name: "wrong JSON type of model", path: chatPath, apiKey: testAPIKey, body: `{"model":7}`, wantStatus: 400, wantReason: "bad_request"},
		{name: "no messages", path: chatPath, apiKey: testAPIKey, body: `{"model":"m"}`, wantStatus: 400, wantReason: "bad_request"},
		{name: "no prompt", path: "/v1/completions", apiKey: testAPIKey, body: `{"model":"m"}`, wantStatus: 400, wantReason: "bad_request"},
		{name: "negative max_tokens", path: chatPath, apiKey: testAPIKey, body: `{"model":"m","max_tokens":-1,"messages":[{}]}`, wantStatus: 400, wantReason: "bad_request"},
		{name: "max_tokens above the limit", path: chatPath, apiKey: testAPIKey, body: `{"model":"m","max_tokens":501,"messages":[{}]}`, wantStatus: 400, wantReason: "bad_request"},
		{name: "unknown model", path: chatPath, apiKey: testAPIKey, body: `{"model":"x","messages":[{}]}`, wantStatus: 404, wantReason: "unknown_model"},
		{name: "model not in allowed_models", path: chatPath, apiKey: testAPIKey, body: `{"model":"other","messages":[{}]}`, wantStatus: 403, wantReason: "forbidden"},
		{name: "body above the size limit", path: chatPath, apiKey: testAPIKey, body: strings.Repeat("x", 4096), wantStatus: 413, wantReason: "too_large"},
		{name: "timeout above the limit", path: chatPath, apiKey: testAPIKey, body: validBody, header: map[string]string{"Request-Timeout": "1e99"}, wantStatus: 400, wantReason: "bad_request"},
		{name: "timeout is not a number", path: chatPath, apiKey: testAPIKey, body: validBody, header: map[string]string{"Request-Timeout": "NaN"}, wantStatus: 400, wantReason: "bad_request"},
		{name: "negative timeout", path: chatPath, apiKey: testAPIKey, body: validBody, header: map[string]string{"Request-Timeout": "-1"}, wantStatus: 400, wantReason: "bad_request"},
		{name: "service not in allowed_services", path: "/v1/services/none/x", apiKey: testAPIKey, body: "b", wantStatus: 403, wantReason: "forbidden"},
		{name: "missing idempotency key", path: bookingPath, apiKey: testAPIKey, body: "b", wantStatus: 400, wantReason: "key_required"},
		{name: "idempotency key too long", path: bookingPath, apiKey: testAPIKey, body: "b", header: map[string]string{"Idempotency-Key": strings.Repeat("k", 300)}, wantStatus: 400, wantReason: "bad_request"},
		{name: "unterminated quote in idempotency key", path: bookingPath, apiKey: testAPIKey, body: "b", header: map[string]string{"Idempotency-Key": `"k`}, wantStatus: 400, wantReason: "bad_request"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			status, body, header := post(t, server, s.path, s.apiKey, s.body, s.header)
			assert.Equal(t, status, s.wantStatus, body)
			var failure ErrorBody
			assert.NilError(t, json.Unmarshal([]byte(body), &failure))
			assert.Equal(t, failure.Error.Reason.String(), s.wantReason)
			assert.Equal(t, header.Get("Bulrushpond-Verdict"), "not_run")
		})
	}
}

func post(t *testing.T, server *httptest.Server, path, apiKey, body string, headers map[string]string) (status int, responseBody string, responseHeader http.Header) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, server.URL+path, bytes.NewBufferString(body))
	assert.NilError(t, err)
	if apiKey != "" {
		req.Header.Set("Authorization", "Bearer "+apiKey)
	}
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	resp, err := server.Client().Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(raw), resp.Header
}

// TestSlowBodyIsRejected checks that a request whose body doesn't arrive within the body
// timeout is rejected with verdict not_run.
func TestSlowBodyIsRejected(t *testing.T) {
	server, _ := newTestFront(t)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{\"model\"", testAPIKey)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
	assert.Equal(t, resp.Header.Get("Bulrushpond-Verdict"), "not_run")
}

// TestStreamEvents checks that a stream has one event per token with the token's index,
// then the token count, then "[DONE]".
func TestStreamEvents(t *testing.T) {
	server, _ := newTestFront(t)
	want := fakes.Answer("user: hi\n", 4, 500)
	status, body, _ := post(t, server, "/v1/chat/completions", testAPIKey, `{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}`, nil)
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

// TestFailedStreamEndsWithErrorEvent checks that a stream that fails after its first
// token ends with an error event with the verdict, and without "[DONE]".
func TestFailedStreamEndsWithErrorEvent(t *testing.T) {
	server, engines := newTestFront(t)
	req, err := http.NewRequest(http.MethodPost, server.URL+"/v1/completions", strings.NewReader(`{"model":"m","stream":true,"prompt":"hi"}`))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+testAPIKey)
	req.Header.Set("Request-Timeout", "0.5")
	resp, err := server.Client().Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	reader := bufio.NewReader(resp.Body)
	firstLine, err := reader.ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, firstLine, "id: 0\n")
	engines.Kill("e0")
	rest, err := io.ReadAll(reader)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(rest), "event: error"))
	assert.Assert(t, strings.Contains(string(rest), `"verdict":"ran"`))
	assert.Assert(t, !strings.Contains(string(rest), "[DONE]"))
}

// TestIdempotencyKey checks that a repeated key gets the stored response, that the key is
// rejected with a different request, and that the path is forwarded percent-encoded.
func TestIdempotencyKey(t *testing.T) {
	server, _ := newTestFront(t)
	keyHeader := map[string]string{"Idempotency-Key": `"k1"`}
	status, first, _ := post(t, server, "/v1/services/bookings/a%2Fb?c=d", testAPIKey, "household", keyHeader)
	assert.Equal(t, status, http.StatusOK, first)
	_, repeated, _ := post(t, server, "/v1/services/bookings/a%2Fb?c=d", testAPIKey, "household", keyHeader)
	assert.Equal(t, repeated, first)
	status, body, _ := post(t, server, "/v1/services/bookings/other", testAPIKey, "household", keyHeader)
	assert.Equal(t, status, http.StatusUnprocessableEntity, body)
}

func FuzzParseModelRequest(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hi"}],"stream":true}`), true)
	f.Add([]byte(`{"model":"m","prompt":"p"}`), false)
	f.Fuzz(func(t *testing.T, raw []byte, chat bool) {
		request, err := ParseModelRequest(raw, chat)
		if err != nil {
			return
		}
		assert.Assert(t, request.Model != "" && request.MaxTokens >= 0)
		_ = promptPrefixHash(request.promptText())
	})
}

func FuzzParseIdempotencyKey(f *testing.F) {
	f.Add(`"a-key"`)
	f.Add(`"`)
	f.Add("bare")
	f.Fuzz(func(t *testing.T, header string) {
		key, err := ParseIdempotencyKey(header)
		if err == nil {
			assert.Assert(t, key != "" && len(key) <= maxIdempotencyKeyBytes)
		}
	})
}

func FuzzAppendJSONString(f *testing.F) {
	f.Add("plain")
	f.Add("quote\" back\\ new\nline \x00 é \xff")
	f.Fuzz(func(t *testing.T, text string) {
		var decoded string
		assert.NilError(t, json.Unmarshal(appendJSONString(nil, text), &decoded))
		// Conversion to runes replaces invalid UTF-8 bytes by U+FFFD, as JSON does.
		assert.Equal(t, decoded, string([]rune(text)))
	})
}

// BenchmarkAppendTokenEvent measures encoding the event of one token.
func BenchmarkAppendTokenEvent(b *testing.B) {
	response := &modelResponse{id: "req-1", chat: true}
	events := make([]byte, 0, 4096)
	b.ReportAllocs()
	for b.Loop() {
		events = response.appendTokenEvent(events[:0], 7, "word ")
	}
}
