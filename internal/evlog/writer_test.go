package evlog

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"syscall"
	"testing"

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
