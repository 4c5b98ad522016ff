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

// TestServiceCallIsNeverRepeated: a server that keeps a connection and then
// closes it without an answer makes net/http repeat a POST by itself when it
// finds an idempotency key. The adapter must not let it.
func TestServiceCallIsNeverRepeated(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	var posts atomic.Int32
	go serveThenCut(l, &posts)
	h := NewHTTP()
	call := Call{Address: l.Addr().String(), Method: http.MethodPost, Path: "/", Key: "k"}
	_, err = h.Do(t.Context(), Call{Address: call.Address, Method: http.MethodGet, Path: "/"})
	assert.NilError(t, err)
	for _, body := range []string{"", "a booking"} {
		before := posts.Load()
		call.Body = []byte(body)
		_, err = h.Do(t.Context(), call)
		assert.Assert(t, err != nil)
		assert.Equal(t, posts.Load()-before, int32(1))
		assert.Equal(t, verdt.Of(err, verdt.NotRun).Verdict, verdt.MayHaveRun)
		_, err = h.Do(t.Context(), Call{Address: call.Address, Method: http.MethodGet, Path: "/"})
		assert.NilError(t, err)
	}
}

// serveThenCut answers GET and cuts the connection at a POST.
func serveThenCut(l net.Listener, posts *atomic.Int32) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			in := bufio.NewReader(conn)
			for {
				req, err := http.ReadRequest(in)
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

func TestUnreachableServerIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	_, err = NewHTTP().Do(t.Context(), Call{Address: address, Method: http.MethodPost, Path: "/"})
	assert.Equal(t, verdt.Of(err, verdt.Ran).Verdict, verdt.NotRun)
}

func TestOpenEnds(t *testing.T) {
	type scenario struct {
		name   string
		status int
		body   string
		tokens int
		fails  bool
		server string
		want   verdt.Verdict
	}
	scenarios := []scenario{
		{name: "whole", status: 200, body: `{"position":0,"text":"a"}` + "\n" + `{"position":1,"end":true}` + "\n", tokens: 2},
		{name: "cut", status: 200, body: `{"position":0,"text":"a"}` + "\n", tokens: 1, fails: true, server: "e0", want: verdt.MayHaveRun},
		{name: "stage failed", status: 200, body: `{"error":"lost","server":"e1"}` + "\n", fails: true, server: "e1", want: verdt.MayHaveRun},
		{name: "malformed", status: 200, body: "{{{\n", fails: true, server: "e0", want: verdt.MayHaveRun},
		{name: "refused", status: 409, fails: true, server: "e0", want: verdt.NotRun},
		{name: "failed", status: 500, fails: true, server: "e0", want: verdt.MayHaveRun},
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
			err := NewHTTP().Open(context.Background(), Stream{Route: route}, func(model.Token) { tokens++ })
			assert.Equal(t, err != nil, s.fails)
			assert.Equal(t, tokens, s.tokens)
			if err != nil {
				f := verdt.Of(err, verdt.Ran)
				assert.Equal(t, f.Verdict, s.want)
				assert.Equal(t, f.Server, s.server)
			}
		})
	}
}

// BenchmarkLine reads one token's line.
func BenchmarkLine(b *testing.B) {
	raw := []byte(`{"request":123456789012,"epoch":1,"position":17,"text":"word ","trail":12345678901234567890}`)
	var l Line
	b.ReportAllocs()
	for b.Loop() {
		l = Line{}
		if err := jsonv2.Unmarshal(raw, &l); err != nil {
			b.Fatal(err)
		}
	}
}
