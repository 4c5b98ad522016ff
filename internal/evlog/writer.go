package evlog

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// maxPending is how many lines wait for a slow reader before further ones are dropped.
const maxPending = 4096

// maxBatch bounds the lines that are written in one piece: a pipe takes no more than that
// without the lines of several writers getting mixed (PIPE_BUF).
const maxBatch = 4096

// Writer hands log lines to another writer and never blocks its callers. Lines that it
// has no room for are dropped and counted; the count is logged.
type Writer struct {
	lines   chan []byte
	dropped atomic.Uint64
	out     io.Writer
	ended   chan struct{}
}

// NewWriter returns a writer in front of another one.
func NewWriter(out io.Writer) *Writer {
	return &Writer{lines: make(chan []byte, maxPending), out: out, ended: make(chan struct{})}
}

// Write implements io.Writer.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is how many lines were dropped so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Run writes lines until the context ends, and then those that still wait. Its end shows
// on Ended.
func (w *Writer) Run(ctx context.Context) {
	defer close(w.ended)
	told := uint64(0)
	for {
		select {
		case line := <-w.lines:
			w.drain(line)
		case <-ctx.Done():
			w.drain(nil)
			return
		}
		if dropped := w.dropped.Load(); dropped > told {
			_, _ = fmt.Fprintf(w.out, `{"time":%q,"level":"WARN","msg":%q,"event":%d,"lines":%d}`+"\n",
				time.Now().Format(time.RFC3339Nano), LinesDropped.String(), int(LinesDropped), dropped-told)
			told = dropped
		}
	}
}

// drain writes a line and all that wait behind it, in pieces of several lines.
func (w *Writer) drain(batch []byte) {
	for {
		select {
		case line := <-w.lines:
			if len(batch)+len(line) > maxBatch {
				w.flush(batch)
				batch = batch[:0]
			}
			batch = append(batch, line...)
		default:
			w.flush(batch)
			return
		}
	}
}

func (w *Writer) flush(batch []byte) {
	if len(batch) > 0 {
		// A log that cannot be written cannot be reported either.
		_, _ = w.out.Write(batch)
	}
}

// Ended is closed when Run has written the last line.
func (w *Writer) Ended() <-chan struct{} { return w.ended }
