package evlog

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"syscall"
	"testing"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
)

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct {
	release chan struct{}
	written bytes.Buffer
}

func (o *blockedOutput) Write(p []byte) (int, error) {
	<-o.release
	return o.written.Write(p)
}

// TestWriterNeverBlocks checks that writes return while the output is blocked, that lines
// beyond the queue are dropped and counted, and that all others are written later.
func TestWriterNeverBlocks(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := NewWriter(out)
	ctx, cancel := context.WithCancel(t.Context())
	go w.Run(ctx)
	const lines = 3 * maxQueuedLines
	for i := range lines {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		assert.NilError(t, err)
	}
	dropped := w.DroppedLines()
	assert.Assert(t, dropped > 0)
	close(out.release)
	cancel()
	<-w.Ended()
	text := out.written.String()
	assert.Equal(t, uint64(strings.Count(text, "line ")), lines-dropped)
	assert.Assert(t, strings.HasPrefix(text, "line 0\n"))
}

// TestWriterBoundsLongLines checks that long lines do not take more memory than the queue may, and that there is room again
// once they were written.
func TestWriterBoundsLongLines(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := NewWriter(out)
	line := strings.Repeat("x", 100_000) + "\n"
	for range 100 {
		_, err := w.Write([]byte(line))
		assert.NilError(t, err)
	}
	assert.Equal(t, w.DroppedLines(), uint64(100-maxQueuedBytes/len(line)))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	close(out.release)
	go w.Run(ctx)
	<-w.Ended()
	assert.Equal(t, w.queued.Load(), int64(0))
	assert.Equal(t, strings.Count(out.written.String(), line), maxQueuedBytes/len(line))
}

// TestLongValuesAreCut checks that a text which a caller chose does not make a line of any length.
func TestLongValuesAreCut(t *testing.T) {
	var out bytes.Buffer
	log := New(logr.FromSlogHandler(slog.NewJSONHandler(&out, nil)))
	log.Info(RequestServed, "request", strings.Repeat("i", 100_000), "server", "s1")
	assert.Assert(t, out.Len() < 2*maxValueBytes)
	assert.Assert(t, strings.Contains(out.String(), `"server":"s1"`))
}

// brokenOutput is an output whose reader has gone.
type brokenOutput struct{}

func (brokenOutput) Write([]byte) (int, error) { return 0, syscall.EPIPE }

// TestWriterCountsLostLines checks that lines which cannot be written are counted.
func TestWriterCountsLostLines(t *testing.T) {
	w := NewWriter(brokenOutput{})
	ctx, cancel := context.WithCancel(t.Context())
	go w.Run(ctx)
	for range 10 {
		_, err := w.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	cancel()
	<-w.Ended()
	assert.Equal(t, w.DroppedLines(), uint64(10))
}

// TestWriterOrder checks that all lines are written in order if the output does not block.
func TestWriterOrder(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	ctx, cancel := context.WithCancel(t.Context())
	go w.Run(ctx)
	var want strings.Builder
	for i := range 100 {
		line := fmt.Sprintf("line %d\n", i)
		want.WriteString(line)
		_, err := w.Write([]byte(line))
		assert.NilError(t, err)
	}
	cancel()
	<-w.Ended()
	assert.Equal(t, out.String(), want.String())
}
