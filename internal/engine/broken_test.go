package engine

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/answer"
	"bulrushpond.example/bulrushpond/internal/answer/stubs"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// longCall returns a call with a body that takes long to send.
func longCall(method, address string) Call {
	return Call{Address: address, Method: method, Path: "/", Body: bytes.Repeat([]byte("b"), stubs.LongUploadBytes)}
}

// longStream returns a stream whose request takes long to send.
func longStream(address string) Stream {
	return Stream{Route: model.Route{Hops: []model.Hop{{Server: "e0", Address: address}}}, Prompt: string(bytes.Repeat([]byte("b"), stubs.LongUploadBytes))}
}

// TestResetDuringUploadIsNoEnd guards against answers without a length that pass for complete though the connection was reset
// while the request was still being sent.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	for _, answer := range []string{"HTTP/1.1 200 OK\r\n\r\npart", "HTTP/1.0 200 OK\r\n\r\npart", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\npart", "HTTP/1.1 500 Oops\r\n\r\npart"} {
		for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut} {
			t.Run(method, func(t *testing.T) {
				t.Parallel()
				address := stubs.ServeEarly(t, answer, stubs.Reset)
				client := NewHTTPClient()
				for range stubs.Tries {
					got, err := client.Do(t.Context(), longCall(method, address))
					assert.Assert(t, err != nil, "%q passes for an answer", got.Body)
					assert.Assert(t, verdt.AsError(err, verdt.NotRun).Verdict != verdt.NotRun)
				}
			})
		}
	}
	t.Run("stream", func(t *testing.T) {
		t.Parallel()
		// The end token is missing, whichever way the connection ends.
		address := stubs.ServeEarly(t, "HTTP/1.1 200 OK\r\n\r\n{\"position\":0,\"text\":\"a\"}\n", stubs.Reset)
		for range stubs.Tries {
			err := NewHTTPClient().Open(t.Context(), longStream(address), func(model.Token) {})
			assert.Equal(t, verdt.AsError(err, verdt.NotRun).Verdict, verdt.MayHaveRun)
		}
	})
}

// TestEndDuringUploadIsAnEnd guards against a check for resets that refuses answers that end with their connection.
func TestEndDuringUploadIsAnEnd(t *testing.T) {
	// More than a client's kernel keeps would be discarded by the reset if the client reads late.
	body := string(bytes.Repeat([]byte("whole"), 4<<10))
	for name, end := range map[string]stubs.EndFunc{"read on": stubs.EndAndRead, "reset after the end": stubs.EndAndReset} {
		for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut} {
			t.Run(name+"/"+method, func(t *testing.T) {
				t.Parallel()
				address := stubs.ServeEarly(t, "HTTP/1.1 200 OK\r\n\r\n"+body, end)
				for range stubs.Tries {
					got, err := NewHTTPClient().Do(t.Context(), longCall(method, address))
					assert.NilError(t, err)
					assert.Assert(t, string(got.Body) == body, "%d bytes", len(got.Body))
				}
			})
		}
		t.Run(name+"/stream", func(t *testing.T) {
			t.Parallel()
			address := stubs.ServeEarly(t, "HTTP/1.1 200 OK\r\n\r\n{\"position\":0,\"end\":true}\n", end)
			for range stubs.Tries {
				assert.NilError(t, NewHTTPClient().Open(t.Context(), longStream(address), func(model.Token) {}))
			}
		})
	}
}

// TestBrokenAnswerIsNoPromise guards against answers that are not whole and pass for a report, for an order that was accepted, or for the promise
// that a request has not run; and against a check that refuses whole ones.
func TestBrokenAnswerIsNoPromise(t *testing.T) {
	report := func(h *HTTPClient, address string) error {
		_, err := h.Report(t.Context(), address)
		return err
	}
	order := func(h *HTTPClient, address string) error { return h.Order(t.Context(), address, Order{}) }
	cancel := func(h *HTTPClient, address string) error { return h.Cancel(t.Context(), address, 1, 1) }
	open := func(h *HTTPClient, address string) error {
		return h.Open(t.Context(), Stream{Route: model.Route{Hops: []model.Hop{{Server: "e0", Address: address}}}}, func(model.Token) {})
	}
	mayHaveRun, ran, notRun := verdt.MayHaveRun, verdt.Ran, verdt.NotRun
	for _, s := range []struct {
		name, answer string
		call         func(h *HTTPClient, address string) error
		// want is nil if the call succeeds.
		want *verdt.Verdict
	}{
		{"report", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", report, nil},
		{"report that ends with its connection", "HTTP/1.1 200 OK\r\n\r\n{}", report, nil},
		{"report, cut behind its value", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}", report, &mayHaveRun},
		{"report, cut before its last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n", report, &mayHaveRun},
		{"report with other bytes", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}...    ", report, &ran},
		{"failure instead of a report", "HTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\n{}", report, &mayHaveRun},
		{"order", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", order, nil},
		{"order, cut", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", order, &mayHaveRun},
		{"refused order", "HTTP/1.1 409 No\r\nContent-Length: 2\r\n\r\nno", order, &notRun},
		{"refused order, cut", "HTTP/1.1 409 No\r\nContent-Length: 9\r\n\r\nno", order, &mayHaveRun},
		{"cancelled", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", cancel, nil},
		{"cancelled, cut", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", cancel, &mayHaveRun},
		{"refused stream", "HTTP/1.1 409 No\r\nContent-Length: 2\r\n\r\nno", open, &notRun},
		{"refused stream, ends with its connection", "HTTP/1.1 409 No\r\n\r\nno", open, &notRun},
		{"refused stream, cut", "HTTP/1.1 409 No\r\nContent-Length: 9\r\n\r\nno", open, &mayHaveRun},
		{"refused stream, cut in its last chunk", "HTTP/1.1 409 No\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n", open, &mayHaveRun},
	} {
		t.Run(s.name, func(t *testing.T) {
			err := s.call(NewHTTPClient(), stubs.ServeEarly(t, s.answer, stubs.EndAndRead))
			if s.want == nil {
				assert.NilError(t, err)
				return
			}
			assert.Assert(t, err != nil)
			assert.Equal(t, verdt.AsError(err, verdt.Ran).Verdict, *s.want, "%v", err)
		})
	}
}

// TestStatusOutOfRangeIsNoAnswer guards against answers whose status is none, such as 000, that are passed on.
func TestStatusOutOfRangeIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+99", "101", "600", "999"} {
		for _, interim := range []string{"", "HTTP/1.1 103 Early Hints\r\n\r\n"} {
			address := stubs.ServeBytes(t, interim+"HTTP/1.1 "+status+" Text\r\nContent-Length: 0\r\n\r\n")
			client := NewHTTPClient()
			for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodGet} {
				got, err := client.Do(t.Context(), Call{Address: address, Method: method, Path: "/", Body: []byte("b")})
				assert.Assert(t, err != nil, "status %s passes as %d", status, got.Status)
				assert.Equal(t, verdt.AsError(err, verdt.NotRun).Verdict, verdt.MayHaveRun)
			}
			err := client.Order(t.Context(), address, Order{})
			assert.Equal(t, verdt.AsError(err, verdt.NotRun).Verdict, verdt.MayHaveRun)
		}
	}
}

// TestStatusInRangeIsAnAnswer guards against a check of the status that refuses answers of servers.
func TestStatusInRangeIsAnAnswer(t *testing.T) {
	for status, want := range map[string]int{"200 OK": 200, "204 No Content": 204, "299": 299, "404 Not Found": 404, "500 Oops": 500, "599 Else": 599} {
		for _, interim := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 199 Else\r\nLink: </x>\r\n\r\n"} {
			address := stubs.ServeBytes(t, interim+"HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n")
			got, err := NewHTTPClient().Do(t.Context(), Call{Address: address, Method: http.MethodPost, Path: "/", Body: []byte("b")})
			assert.NilError(t, err)
			assert.Equal(t, got.Status, want)
		}
	}
}

// brokenLines are lines of a head in which the name of a field is none.
var brokenLines = []string{"X Y: z", "X : z", "X: y\r\n Z: z", "X: y\r\n\tZ: z", " X: z", "X\x00Y: z", "X\rY: z", ": z", "Content-Length : 4", "Transfer-Encoding : chunked"}

// TestBrokenFieldNameIsNoAnswer guards against answers with a head in which the name of a field is none.
func TestBrokenFieldNameIsNoAnswer(t *testing.T) {
	for _, line := range brokenLines {
		for _, answer := range []string{
			"HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 2\r\n\r\n{}",
			"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + line + "\r\n\r\n{}",
			"HTTP/1.1 409 No\r\nContent-Length: 2\r\n" + line + "\r\n\r\n{}",
			"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
			"HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 13\r\n\r\n{\"end\":true}\n",
		} {
			address := stubs.ServeBytes(t, answer)
			client := NewHTTPClient()
			got, err := client.Do(t.Context(), Call{Address: address, Method: http.MethodPost, Path: "/", Body: []byte("b")})
			assert.Assert(t, err != nil, "%q passes as %v", answer, got.Header)
			assert.Equal(t, verdt.AsError(err, verdt.NotRun).Verdict, verdt.MayHaveRun)
			err = client.Order(t.Context(), address, Order{})
			assert.Equal(t, verdt.AsError(err, verdt.NotRun).Verdict, verdt.MayHaveRun, "%q", answer)
			err = client.Open(t.Context(), Stream{Route: model.Route{Hops: []model.Hop{{Server: "e0", Address: address}}}}, func(model.Token) {})
			assert.Assert(t, err != nil, "%q", answer)
			assert.Equal(t, verdt.AsError(err, verdt.NotRun).Verdict, verdt.MayHaveRun)
			_, err = client.Report(t.Context(), address)
			assert.Assert(t, err != nil, "%q", answer)
		}
	}
	address := stubs.ServeBytes(t, "HTTP/1.1 200 OK\r\nX!#$%&'*+-.^_`|~09:z\r\nX: a b:c\r\nX:\r\nContent-Length: 2\r\n\r\n{}")
	got, err := NewHTTPClient().Do(t.Context(), Call{Address: address, Method: http.MethodPost, Path: "/"})
	assert.NilError(t, err)
	assert.Equal(t, string(got.Body), "{}")
}

// TestForeignTextIsNotQuoted guards against errors, which reach callers and the log, that hold whatever a server sent.
func TestForeignTextIsNotQuoted(t *testing.T) {
	const maxErrorBytes = 1 << 10
	long := strings.Repeat("secret ", 4<<10)
	for _, response := range []string{
		long + "\r\n\r\n",
		"HTTP/1.1 " + long + "\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: " + long + "\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + long + "\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: \x01" + long + "\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: " + long + "\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\n{\"error\":\"" + long + "\"}\n",
		"HTTP/1.1 200 OK\r\n\r\n{\"error\":\"lost\",\"server\":\"" + long + "\"}\n",
		"HTTP/1.1 200 OK\r\n\r\n{" + long + "}\n",
		"HTTP/1.1 200 OK\r\n\r\n{\"Server\":" + long + "}\n",
		"HTTP/1.1 500 " + long + "\r\nContent-Length: 0\r\n\r\n",
	} {
		address := stubs.ServeEarly(t, response, stubs.EndAndRead)
		h := NewHTTPClient()
		_, doErr := h.Do(t.Context(), Call{Address: address, Method: http.MethodPost, Path: "/"})
		_, _, openErr := openLines(t.Context(), h, address)
		_, reportErr := h.Report(t.Context(), address)
		for _, err := range []error{doErr, openErr, reportErr, h.Order(t.Context(), address, Order{})} {
			if err != nil {
				failure := verdt.AsError(err, verdt.Ran)
				assert.Assert(t, len(err.Error()) < maxErrorBytes, "an error of %d bytes for %.60q", len(err.Error()), response)
				assert.Assert(t, len(failure.Server) < maxErrorBytes, "a server of %d bytes", len(failure.Server))
			}
		}
	}
}

// TestMalformedAnswerEndsConnection guards against a connection that is used again though the answer on it, whole by its length, was malformed.
func TestMalformedAnswerEndsConnection(t *testing.T) {
	for body, conns := range map[string]int64{"{\n": 3, "{\"end\":true}\n": 1} {
		var opened atomic.Int64
		h := NewHTTPClient()
		base := h.client.Transport.(*answer.Transport).Base
		dial := base.DialContext
		base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			opened.Add(1)
			return dial(ctx, network, address)
		}
		address := stubs.ServeBytes(t, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
		for range 3 {
			_, err := h.Report(t.Context(), address)
			assert.Equal(t, err == nil, conns == 1, "%v", err)
		}
		assert.Equal(t, opened.Load(), conns, "reports")
		for range 3 {
			_, _, err := openLines(t.Context(), h, address)
			assert.Equal(t, err == nil, conns == 1, "%v", err)
		}
		assert.Assert(t, conns == 1 || opened.Load() == 2*conns, "streams: %d connections", opened.Load())
	}
}
