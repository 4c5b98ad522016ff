package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/answer/stubs"
	"bulrushpond.example/bulrushpond/internal/quota"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// TestResetOfLongWrite guards against writes that pass for done, or for refused, though the connection was reset within the answer.
func TestResetOfLongWrite(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\n\r\n{\"revision\":7}"
	op := model.CAS{Key: "k", Value: bytes.Repeat([]byte("v"), stubs.LongUploadBytes)}
	address := stubs.ServeEarly(t, answer, stubs.Reset)
	for range stubs.Tries {
		_, outcome := NewHTTPClient(address).CAS(t.Context(), op)
		assert.Equal(t, outcome, model.Unknown)
	}
	for _, end := range []stubs.EndFunc{stubs.EndAndRead, stubs.EndAndReset} {
		whole := stubs.ServeEarly(t, answer, end)
		for range stubs.Tries {
			revision, outcome := NewHTTPClient(whole).CAS(t.Context(), op)
			assert.Equal(t, outcome, model.Done)
			assert.Equal(t, revision, uint64(7))
		}
	}
}

// TestBrokenAnswerIsUnknown guards against answers of the key-value service that count though they are not whole, and against a check for that
// which refuses whole ones.
func TestBrokenAnswerIsUnknown(t *testing.T) {
	for _, s := range []struct {
		name, answer string
		want         model.Outcome
	}{
		{"done", "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"revision\":7}", model.Done},
		{"done, in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\ne\r\n{\"revision\":7}\r\n0\r\n\r\n", model.Done},
		{"done, with blanks", "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n{\"revision\":7} \n", model.Done},
		{"done, ends with its connection", "HTTP/1.1 200 OK\r\n\r\n{\"revision\":7}", model.Done},
		{"done, cut behind its value", "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{\"revision\":7}", model.Unknown},
		{"done, cut before its last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\ne\r\n{\"revision\":7}\r\n", model.Unknown},
		{"done, cut in its last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\ne\r\n{\"revision\":7}\r\n0\r\n", model.Unknown},
		{"done, with other bytes", "HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n{\"revision\":7}...", model.Unknown},
		{"conflict", "HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}", model.Conflict},
		{"conflict, cut", "HTTP/1.1 409 Conflict\r\nContent-Length: 9\r\n\r\n{}", model.Unknown},
		{"refused", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", model.Refused},
		{"refused, cut", "HTTP/1.1 503 Busy\r\nContent-Length: 9\r\n\r\nbusy", model.Unknown},
	} {
		t.Run(s.name, func(t *testing.T) {
			_, outcome := NewHTTPClient(stubs.ServeEarly(t, s.answer, stubs.EndAndRead)).CAS(t.Context(), model.CAS{Key: "k"})
			assert.Equal(t, outcome, s.want)
		})
	}
}

// TestBrokenListIsNoList guards against membership lists that are not whole.
func TestBrokenListIsNoList(t *testing.T) {
	for answer, whole := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n[{\"ID\":\"a\"":   false,
		"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n[{\"id\":\"a\"}]": false,
		"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n[{\"id\":\"a\"}]": true,
		"HTTP/1.1 200 OK\r\n\r\n[{\"id\":\"a\"}]":                       true,
	} {
		members, err := NewHTTPClient(stubs.ServeEarly(t, answer, stubs.EndAndRead)).List(t.Context())
		assert.Equal(t, err == nil, whole, "%q: %v", answer, err)
		assert.Equal(t, len(members) == 1, whole)
	}
}

// TestStatusOutOfRangeIsUnknown guards against answers whose status is none and which pass for a list or for what was done.
func TestStatusOutOfRangeIsUnknown(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600"} {
		client := NewHTTPClient(stubs.ServeBytes(t, "HTTP/1.1 "+status+" Text\r\nContent-Length: 2\r\n\r\n[]"))
		_, outcome := client.CAS(t.Context(), model.CAS{Key: "k"})
		assert.Equal(t, outcome, model.Unknown)
		_, err := client.List(t.Context())
		assert.Assert(t, err != nil)
	}
}

// TestBrokenFieldNameIsUnknown guards against answers with a head in which the name of a field is none.
func TestBrokenFieldNameIsUnknown(t *testing.T) {
	for _, line := range []string{"X Y: z", "X : z", "X: y\r\n Z: z", " X: z", "X\x00Y: z", "Content-Length : 14"} {
		for _, status := range []string{"200 OK", "409 Conflict", "503 Busy"} {
			client := NewHTTPClient(stubs.ServeBytes(t, "HTTP/1.1 "+status+"\r\n"+line+"\r\nContent-Length: 14\r\n\r\n{\"revision\":7}"))
			_, outcome := client.CAS(t.Context(), model.CAS{Key: "k"})
			assert.Equal(t, outcome, model.Unknown, "%s, %q", status, line)
		}
		_, err := NewHTTPClient(stubs.ServeBytes(t, "HTTP/1.1 200 OK\r\n"+line+"\r\nContent-Length: 2\r\n\r\n[]")).List(t.Context())
		assert.Assert(t, err != nil, "%q", line)
	}
}

// TestManyEndlessAnswers guards against a memory use that grows with the number of answers that come at once and do not end.
func TestManyEndlessAnswers(t *testing.T) {
	const (
		calls      = 300
		block      = 64 << 10
		maxHeapUse = maxLongResponsesBytes + calls*quota.ShortBodyBytes + 64<<20
	)
	text := strings.Repeat("x", block)
	for _, s := range []struct {
		name, head, repeated string
		times                int
		list                 bool
	}{
		{"value", "HTTP/1.1 200 OK\r\n\r\n{\"value\":\"", text, maxResponseBytes/block - 1, false},
		{"refusal", "HTTP/1.1 503 Busy\r\n\r\n", text, maxResponseBytes/block - 1, false},
		{"list", "HTTP/1.1 200 OK\r\n\r\n[{\"ID\":\"", text, maxMemberListBytes/block - 1, true},
		{"header line", "HTTP/1.1 200 OK\r\nX: ", text, maxMemberListBytes / block, false},
		{"small fields", "HTTP/1.1 200 OK\r\n", stubs.Fields(block - 1<<10), 1, false},
	} {
		t.Run(s.name, func(t *testing.T) {
			endless := NewHTTPClient(stubs.ServePausing(t, s.head, s.repeated, s.times))
			grown := stubs.HeapGrowth(t.Context(), calls, func(ctx context.Context, _ int) {
				if s.list {
					_, err := endless.List(ctx)
					assert.Check(t, err != nil)
					return
				}
				_, outcome := endless.Get(ctx, "k")
				assert.Check(t, outcome == model.Unknown)
			})
			assert.Assert(t, grown < maxHeapUse, "the heap grew by %d MB", grown>>20)
		})
	}
}

// TestLongAnswersAtTheLimitAreServed guards against bounds that refuse what a takeover of several rings reads at once.
func TestLongAnswersAtTheLimitAreServed(t *testing.T) {
	const calls = maxLongResponsesBytes/maxResponseBytes - 1
	value := bytes.Repeat([]byte("v"), maxResponseBytes/4*3-1<<10)
	raw, err := json.Marshal(model.Entry{Key: "k", Value: value, Revision: 7})
	assert.NilError(t, err)
	client := NewHTTPClient(stubs.ServeBytes(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(raw), raw)))
	var ended sync.WaitGroup
	for range calls {
		ended.Go(func() {
			entry, outcome := client.Get(t.Context(), "k")
			assert.Check(t, outcome == model.Done)
			assert.Check(t, len(entry.Value) == len(value))
		})
	}
	ended.Wait()
}

// TestForeignTextIsNotQuoted guards against errors, which are logged, that hold whatever the platform sent.
func TestForeignTextIsNotQuoted(t *testing.T) {
	const maxErrorBytes = 1 << 10
	long := strings.Repeat("secret ", 4<<10)
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nX: \x01" + long + "\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + long + "\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\n[{\"" + long + "}]",
		"HTTP/1.1 500 " + long + "\r\n\r\n",
		long + "\r\n\r\n",
	} {
		_, err := NewHTTPClient(stubs.ServeEarly(t, response, stubs.EndAndRead)).List(t.Context())
		assert.Assert(t, err != nil && len(err.Error()) < maxErrorBytes, "an error of %d bytes for %.60q", len(err.Error()), response)
	}
}
