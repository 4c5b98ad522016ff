package engine

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	jsonv2 "github.com/go-json-experiment/json"
	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// TestServiceCallIsNotRetriedByTransport guards against hidden retries: when a server
// closes a kept-alive connection without a response, net/http retries a POST that has
// an idempotency key.
func TestServiceCallIsNotRetriedByTransport(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	var posts atomic.Int32
	go serveGetsAndClosePosts(listener, &posts)
	client := NewHTTPClient()
	post := Call{Address: listener.Addr().String(), Method: http.MethodPost, Path: "/", Key: "k"}
	_, err = client.Do(t.Context(), Call{Address: post.Address, Method: http.MethodGet, Path: "/"})
	assert.NilError(t, err)
	for _, body := range []string{"", "a booking"} {
		postsBefore := posts.Load()
		post.Body = []byte(body)
		_, err = client.Do(t.Context(), post)
		assert.Assert(t, err != nil)
		assert.Equal(t, posts.Load()-postsBefore, int32(1))
		assert.Equal(t, verdt.AsError(err, verdt.NotRun).Verdict, verdt.MayHaveRun)
		_, err = client.Do(t.Context(), Call{Address: post.Address, Method: http.MethodGet, Path: "/"})
		assert.NilError(t, err)
	}
}

// serveGetsAndClosePosts responds to GET requests, and counts POST requests and closes
// their connection without a response.
func serveGetsAndClosePosts(listener net.Listener, posts *atomic.Int32) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			for {
				req, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				if req.Method == http.MethodPost {
					posts.Add(1)
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		}()
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, err = NewHTTPClient().Do(t.Context(), Call{Address: address, Method: http.MethodPost, Path: "/"})
	assert.Equal(t, verdt.AsError(err, verdt.Ran).Verdict, verdt.NotRun)
}

func TestOpenStreamOutcomes(t *testing.T) {
	type scenario struct {
		name        string
		status      int
		body        string
		wantTokens  int
		wantErr     bool
		wantServer  string
		wantVerdict verdt.Verdict
	}
	scenarios := []scenario{
		{name: "complete stream", status: 200, body: `{"position":0,"text":"a"}` + "\n" + `{"position":1,"end":true}` + "\n", wantTokens: 2},
		{name: "stream without end token", status: 200, body: `{"position":0,"text":"a"}` + "\n", wantTokens: 1, wantErr: true, wantServer: "e0", wantVerdict: verdt.MayHaveRun},
		{name: "error line of a failed stage", status: 200, body: `{"error":"lost","server":"e1"}` + "\n", wantErr: true, wantServer: "e1", wantVerdict: verdt.MayHaveRun},
		{name: "malformed line", status: 200, body: "{{{\n", wantErr: true, wantServer: "e0", wantVerdict: verdt.MayHaveRun},
		{name: "status 409", status: 409, wantErr: true, wantServer: "e0", wantVerdict: verdt.NotRun},
		{name: "status 500", status: 500, wantErr: true, wantServer: "e0", wantVerdict: verdt.MayHaveRun},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(s.status)
				_, _ = io.WriteString(w, s.body)
			}))
			defer server.Close()
			route := model.Route{Hops: []model.Hop{{Server: "e0", Address: server.Listener.Addr().String()}}}
			tokens := 0
			err := NewHTTPClient().Open(context.Background(), Stream{Route: route}, func(model.Token) { tokens++ })
			assert.Equal(t, err != nil, s.wantErr)
			assert.Equal(t, tokens, s.wantTokens)
			if err != nil {
				failure := verdt.AsError(err, verdt.Ran)
				assert.Equal(t, failure.Verdict, s.wantVerdict)
				assert.Equal(t, failure.Server, s.wantServer)
			}
		})
	}
}

// BenchmarkDecodeLine measures decoding one token line of a stream.
func BenchmarkDecodeLine(b *testing.B) {
	raw := []byte(`{"request":123456789012,"epoch":1,"position":17,"text":"word ","trail":12345678901234567890}`)
	var line Line
	b.ReportAllocs()
	for b.Loop() {
		line = Line{}
		if err := jsonv2.Unmarshal(raw, &line); err != nil {
			b.Fatal(err)
		}
	}
}
