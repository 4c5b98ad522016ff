package boot

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/drive"
	"bulrushpond.example/bulrushpond/platform/fakes"
)

// stopGrace is how long the daemons of these tests have for a planned stop.
const stopGrace = 2 * time.Second

// requestText returns a request with a body as it is sent.
func requestText(path, id string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer key-n\r\nRequest-Id: %s\r\nDeadline-Ms: 20000\r\nContent-Length: 4\r\n\r\nbody", path, fakes.Host, id)
}

// finishCall sends the rest of a request and returns the answer. An error means that the connection ended without a whole
// answer.
func finishCall(conn net.Conn, rest string) (*http.Response, error) {
	if _, err := io.WriteString(conn, rest); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadAll(resp.Body)
	return resp, err
}

// newStoppingEnvironment starts a daemon with a short grace period, whose servers answer no request before its end.
func newStoppingEnvironment(t *testing.T) *testEnvironment {
	t.Helper()
	env := newTestEnvironment(t, 0)
	env.configure(fakes.Config{Keys: map[string][]string{"north": {"key-n"}}, Timeout: time.Minute})
	env.startWithGrace(stopGrace, nil)
	env.waitUntil("the first stream completes", func() bool { return env.stream(0, "/draft/x").complete })
	return env
}

// TestLateRequestsOfPlannedStopAreRefused guards against requests that come late in the grace period of a planned stop, on
// connections opened before: their callers got no answer, so that requests that must not be repeated were lost.
func TestLateRequestsOfPlannedStopAreRefused(t *testing.T) {
	for _, s := range []struct {
		path string
		// early is how many bytes of the request come before the stop.
		early int
	}{{"/book/x", 0}, {"/read/x", 0}, {"/draft/x", 0}, {"/book/x", 20}, {"/book/x", len(requestText("/book/x", "late")) - 1}} {
		t.Run(fmt.Sprintf("%s after %d bytes", s.path, s.early), func(t *testing.T) {
			env := newStoppingEnvironment(t)
			for _, server := range env.platform.Servers() {
				server.ServiceTime, server.Events, server.EventInterval = 2*stopGrace, 1000, 10*time.Millisecond
			}
			conn, err := net.Dial("tcp", env.daemons[0].CallersAddress())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			request := requestText(s.path, "late")
			_, err = io.WriteString(conn, request[:s.early])
			assert.NilError(t, err)
			// A stream in progress keeps the daemon from ending.
			go env.stream(0, "/draft/x")
			env.waitUntil("the stream is in progress", func() bool { return env.daemons[0].edge.InProgress() == 1 })
			stopped := make(chan error, 1)
			go func() { stopped <- env.stops[0]() }()
			time.Sleep(stopGrace / 2)
			sentAt := time.Now()
			resp, err := finishCall(conn, request[s.early:])
			took := time.Since(sentAt)
			assert.NilError(t, err, "the connection ended without an answer after %s", took)
			assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
			assert.Equal(t, resp.Header.Get("Retry-After"), "0.000")
			assert.Assert(t, resp.Close)
			assert.Assert(t, took < stopGrace/4, "refused after %s", took)
			runs, _ := env.platform.Runs("late")
			assert.Equal(t, runs, 0)
			assert.NilError(t, <-stopped)
		})
	}
}

// TestRequestsAtEndOfPlannedStopAreAnswered guards against requests that are in progress when the grace period of a planned
// stop ends: their connections ended without an answer, or what their callers got left open whether they had run.
func TestRequestsAtEndOfPlannedStopAreAnswered(t *testing.T) {
	for _, s := range []struct {
		name, path string
		// silent makes the engines silent, and gone stops them all before the request.
		silent, gone bool
		code         int
	}{
		{"at a plain server", "/book/x", false, false, http.StatusBadGateway},
		{"at a plain server, repeatable", "/read/x", false, false, http.StatusBadGateway},
		{"at an engine that is silent", "/draft/x", true, false, http.StatusBadGateway},
		{"waits for an engine", "/draft/x", false, true, http.StatusServiceUnavailable},
	} {
		t.Run(s.name, func(t *testing.T) {
			env := newStoppingEnvironment(t)
			for _, server := range env.platform.Servers() {
				server.ServiceTime = 2 * stopGrace
				if s.silent && server.Kind != "" {
					server.Silence(2 * stopGrace)
				}
				if s.gone && server.Kind != "" {
					server.Crash()
					server.RemoveEntry()
				}
			}
			if s.gone {
				// Until the daemon knows, it sends requests to engines that have crashed.
				env.waitUntil("the daemon knows no engine", func() bool {
					return !slices.ContainsFunc(env.daemons[0].Pools(), func(p drive.Pool) bool { return len(p.Members) > 0 })
				})
			}
			type answer struct {
				*http.Response
				err error
			}
			answers := make(chan answer, 1)
			conn, err := net.Dial("tcp", env.daemons[0].CallersAddress())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			stopped := make(chan error, 1)
			go func() {
				resp, err := finishCall(conn, requestText(s.path, "early"))
				answers <- answer{resp, err}
			}()
			env.waitUntil("the request is in progress", func() bool { return env.daemons[0].edge.InProgress() == 1 || len(answers) == 1 })
			go func() { stopped <- env.stops[0]() }()
			got := <-answers
			assert.NilError(t, got.err, "the connection ended without an answer")
			assert.Equal(t, got.StatusCode, s.code)
			assert.NilError(t, <-stopped)
		})
	}
}
