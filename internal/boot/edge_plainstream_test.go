package boot

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/platform/fakes"
)

// startPlainServer starts a server of the plain service that answers each request by serve.
func startPlainServer(t *testing.T, p *fakes.Platform, serve http.HandlerFunc) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: serve, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	entry, err := json.Marshal(map[string]any{
		"service": fakes.PlainService, "address": l.Addr().String(), "zone": "a", "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
	})
	assert.NilError(t, err)
	p.Store.Put("servers/b1", entry)
}

// TestPlainServiceStreams guards against streams of a plain service that reach their callers only once they have ended,
// or that look complete although the server broke off.
func TestPlainServiceStreams(t *testing.T) {
	t.Parallel()
	p, err := fakes.New()
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	env := &testEnvironment{t: t, platform: p}
	goOn := make(chan struct{})
	startPlainServer(t, p, func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Request-Id")
		w.Header().Set("Request-Id", id)
		w.Header().Set("Response-Signature", "b1."+id)
		if strings.HasSuffix(r.URL.Path, "/error") {
			w.WriteHeader(http.StatusTeapot)
			_, _ = io.WriteString(w, "no tea")
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; i <= 3; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
			select {
			case <-goOn:
			case <-r.Context().Done():
				return
			}
			if i == 2 && strings.HasSuffix(r.URL.Path, "/broken") {
				panic(http.ErrAbortHandler)
			}
		}
	})
	env.configure(fakes.Config{Keys: map[string][]string{"north": {"key-n"}}, PlainStream: true})
	env.start(nil)
	env.waitUntil("the route is in force", func() bool { return env.call(0, http.MethodPost, "/note/error", "key-n", "").code == http.StatusTeapot })
	for path, events := range map[string]int{"/note/whole": 3, "/note/broken": 2} {
		t.Run(path, func(t *testing.T) {
			call := fakes.Call{ID: "s" + path, Method: http.MethodPost, Path: path, Body: "x", Key: "key-n", Timeout: 5 * time.Second}
			req, err := call.Request(t.Context(), env.daemons[0].CallersAddress())
			assert.NilError(t, err)
			resp, err := http.DefaultTransport.RoundTrip(req)
			assert.NilError(t, err)
			defer func() { _ = resp.Body.Close() }()
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			assert.Assert(t, resp.Header.Get("Response-Signature") != "")
			r := bufio.NewReader(resp.Body)
			for i := 1; i <= events; i++ {
				for _, want := range []string{fmt.Sprintf("id: %d\n", i), fmt.Sprintf("data: %d\n", i), "\n"} {
					line, err := r.ReadString('\n')
					assert.NilError(t, err)
					assert.Equal(t, line, want)
				}
				goOn <- struct{}{}
			}
			rest, err := io.ReadAll(r)
			assert.Equal(t, len(rest), 0)
			assert.Equal(t, err == nil, path == "/note/whole", "%v", err)
		})
	}
}
