package evlog

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// stuck is a reader of the log that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	got     bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return s.got.Write(p)
}

// TestWriterNeverBlocks: with a reader that stands still, writing goes on, and the lines
// that were dropped are counted in the log.
func TestWriterNeverBlocks(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	w := NewWriter(out)
	ctx, cancel := context.WithCancel(t.Context())
	go w.Run(ctx)
	const lines = 3 * maxPending
	for i := range lines {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		assert.NilError(t, err)
	}
	dropped := w.Dropped()
	assert.Assert(t, dropped > 0)
	close(out.release)
	cancel()
	<-w.Ended()
	text := out.got.String()
	assert.Equal(t, uint64(strings.Count(text, "line ")), lines-dropped)
	assert.Assert(t, strings.HasPrefix(text, "line 0\n"))
}

// TestWriterOrder: without a stop, all lines come out in order.
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
