package engine

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/answer/stubs"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// linesMaxTokens is how many tokens the streams of openLines may have.
const linesMaxTokens = 100

// maxHeapUse bounds what the answers of many servers that do not stop sending may take together.
const maxHeapUse = 120 << 20

// openLines opens a stream and returns how many bytes of text it passed on, and whether an end was.
func openLines(ctx context.Context, h *HTTPClient, address string) (relayed int, ended bool, err error) {
	err = h.Open(ctx, Stream{MaxTokens: linesMaxTokens, Route: model.Route{Hops: []model.Hop{{Server: "e0", Address: address}}}}, func(tok model.Token) {
		relayed += len(tok.Text)
		ended = ended || tok.End
	})
	return relayed, ended, err
}

// TestManyEndlessAnswers guards against a memory use that grows with the number of answers that come at once and do not end. Ordinary answers pass
// meanwhile.
func TestManyEndlessAnswers(t *testing.T) {
	const (
		calls = 300
		block = 64 << 10
		ok    = "HTTP/1.1 200 OK\r\n"
	)
	do := func(ctx context.Context, h *HTTPClient, address string) error {
		_, err := h.Do(ctx, Call{Address: address, Method: http.MethodPost, Path: "/", Body: []byte("b")})
		return err
	}
	open := func(ctx context.Context, h *HTTPClient, address string) error {
		_, _, err := openLines(ctx, h, address)
		return err
	}
	report := func(ctx context.Context, h *HTTPClient, address string) error {
		_, err := h.Report(ctx, address)
		return err
	}
	order := func(ctx context.Context, h *HTTPClient, address string) error { return h.Order(ctx, address, Order{}) }
	text := strings.Repeat("x", block)
	for _, s := range []struct {
		name, head, repeated string
		times                int
		call                 func(ctx context.Context, h *HTTPClient, address string) error
	}{
		{"body", ok + "\r\n", text, maxResponseBytes / block, do},
		{"failure", "HTTP/1.1 500 Oops\r\n\r\n", text, maxResponseBytes / block, do},
		{"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + text + "\r\n", maxResponseBytes/block - 1, do},
		{"header line", ok + "X: ", text, maxResponseBytes / block, do},
		{"small fields", ok, stubs.Fields(block - 1<<10), 1, do},
		{"interim heads", "", "HTTP/1.1 103 Early Hints\r\n" + stubs.Fields(1<<10) + "\r\n", 60, do},
		{"bytes of no protocol", "", text, maxResponseBytes / block, do},
		{"line of a stream", ok + "\r\n{\"text\":\"", text, maxLineBytes/block - 1, open},
		{"head of a stream", ok, stubs.Fields(block - 1<<10), 1, open},
		{"refused stream", "HTTP/1.1 409 No\r\n\r\n", text, maxResponseBytes / block, open},
		{"report", ok + "\r\n{\"x\":\"", text, maxReportBytes/block - 1, report},
		{"order", ok + "\r\n", text, maxResponseBytes / block, order},
	} {
		t.Run(s.name, func(t *testing.T) {
			h := NewHTTPClient()
			address := stubs.ServePausing(t, s.head, s.repeated, s.times)
			sound := stubs.ServeBytes(t, ok+"Content-Length: 19\r\n\r\n{\"end\":true}       ")
			grown := stubs.HeapGrowth(t.Context(), calls, func(ctx context.Context, n int) {
				if n > 0 {
					err := s.call(ctx, h, address)
					assert.Check(t, err != nil)
					assert.Check(t, verdt.AsError(err, verdt.NotRun).Verdict != verdt.NotRun)
					return
				}
				time.Sleep(500 * time.Millisecond)
				assert.Check(t, do(ctx, h, sound))
				_, ended, err := openLines(ctx, h, sound)
				assert.Check(t, err)
				assert.Check(t, ended)
			})
			assert.Assert(t, grown < maxHeapUse, "the heap grew by %d MB", grown>>20)
			h.client.CloseIdleConnections()
			assert.Equal(t, h.room.Held(), int64(0))
		})
	}
}

// TestLongAnswersAtTheLimitAreServed guards against bounds that refuse sound answers: the longest ones, as many at once as there is room for, and any
// number of short ones.
func TestLongAnswersAtTheLimitAreServed(t *testing.T) {
	h := NewHTTPClient()
	for _, s := range []struct {
		bytes, calls int
	}{
		{maxResponseBytes, maxLongAnswersBytes/maxResponseBytes - 1},
		{60 << 10, 300},
	} {
		body := strings.Repeat("x", s.bytes)
		address := stubs.ServeBytes(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk(body)+"0\r\n\r\n")
		var ended sync.WaitGroup
		for range s.calls {
			ended.Go(func() {
				got, err := h.Do(t.Context(), Call{Address: address, Method: http.MethodPost, Path: "/"})
				assert.Check(t, err)
				assert.Check(t, len(got.Body) == s.bytes)
			})
		}
		ended.Wait()
	}
	long := `{"text":"` + strings.Repeat("x", maxLineBytes-100) + `"}` + "\n" + `{"end":true}` + "\n"
	address := stubs.ServePausing(t, "HTTP/1.1 200 OK\r\n\r\n", long, 1)
	for range 3 {
		relayed, ended, err := openLines(t.Context(), h, address)
		assert.NilError(t, err)
		assert.Assert(t, ended && relayed == maxLineBytes-100)
	}
}

// TestEndlessTokens guards against streams of tokens without end: they are given up after some KB for each token that the request allows, and not
// passed on as complete.
func TestEndlessTokens(t *testing.T) {
	const (
		maxRelayed = maxLineBytes + linesMaxTokens*maxBytesPerToken
		lines      = 64 << 10
	)
	for _, line := range []string{`{"text":"` + strings.Repeat("x", 100) + `"}` + "\n", `{"text":"` + strings.Repeat("x", 64<<10) + `"}` + "\n"} {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		relayed, ended, err := openLines(ctx, NewHTTPClient(), stubs.ServePausing(t, "HTTP/1.1 200 OK\r\n\r\n", line, min(lines, 16<<20/len(line))))
		assert.NilError(t, ctx.Err(), "%d bytes were passed on", relayed)
		assert.Equal(t, verdt.AsError(err, verdt.NotRun).Verdict, verdt.MayHaveRun)
		assert.Assert(t, relayed <= maxRelayed && !ended, "%d bytes were passed on", relayed)
	}
}

// TestManyLongStreams guards against a memory use that grows with the number of streams whose tokens are long: their text is kept until they end, so
// that they can go on at another engine.
func TestManyLongStreams(t *testing.T) {
	const calls = 300
	h := NewHTTPClient()
	token := `{"text":"` + strings.Repeat("x", 32<<10) + `"}` + "\n"
	address := stubs.ServePausing(t, "HTTP/1.1 200 OK\r\n\r\n", token, 30)
	kept := make([][]string, calls)
	grown := stubs.HeapGrowth(t.Context(), calls, func(ctx context.Context, n int) {
		err := h.Open(ctx, Stream{MaxTokens: 1000, Route: model.Route{Hops: []model.Hop{{Server: "e0", Address: address}}}}, func(tok model.Token) {
			kept[n] = append(kept[n], tok.Text)
		})
		kept[n] = nil
		assert.Check(t, err != nil)
	})
	assert.Assert(t, grown < maxHeapUse, "the heap grew by %d MB", grown>>20)
	assert.Equal(t, h.room.Held(), int64(0))
}

// chunk returns text as one chunk of a chunked body.
func chunk(text string) string {
	return strconv.FormatInt(int64(len(text)), 16) + "\r\n" + text + "\r\n"
}
