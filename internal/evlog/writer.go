package evlog

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// maxQueuedLines is how many lines are queued for a slow reader before further lines are
// dropped.
const maxQueuedLines = 4096

// maxQueuedBytes bounds the bytes of the queued lines.
const maxQueuedBytes = 4 << 20

// maxBatchBytes is the maximum size in bytes of a batch of lines written in one call: larger
// writes to a pipe are not atomic (PIPE_BUF), so lines of several writers could mix.
const maxBatchBytes = 4096

// Writer is a non-blocking buffer in front of another writer. Lines that do not fit in its
// queue or that cannot be written are dropped; their number is logged as LinesDropped.
type Writer struct {
	lines chan []byte
	// queued is the number of bytes of the lines in the queue, which is at most maxQueuedBytes.
	queued  atomic.Int64
	dropped atomic.Uint64
	out     io.Writer
	ended   chan struct{}
}

// NewWriter returns a Writer that writes to out once Run is called.
func NewWriter(out io.Writer) *Writer {
	return &Writer{lines: make(chan []byte, maxQueuedLines), out: out, ended: make(chan struct{})}
}

// Write queues one line. It implements io.Writer and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	size := int64(len(line))
	if w.queued.Add(size) > maxQueuedBytes {
		w.queued.Add(-size)
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.queued.Add(-size)
		w.dropped.Add(1)
	}
	return len(line), nil
}

// DroppedLines returns how many lines have been dropped so far.
func (w *Writer) DroppedLines() uint64 { return w.dropped.Load() }

// Run writes queued lines until the context is cancelled, then writes the lines still
// queued and closes the channel of Ended.
func (w *Writer) Run(ctx context.Context) {
	defer close(w.ended)
	reportedDrops := uint64(0)
	for {
		select {
		case line := <-w.lines:
			w.queued.Add(-int64(len(line)))
			w.drainQueue(line)
		case <-ctx.Done():
			w.drainQueue(nil)
			return
		}
		if dropped := w.dropped.Load(); dropped > reportedDrops {
			_, _ = fmt.Fprintf(w.out, `{"time":%q,"level":"WARN","msg":%q,"event":%d,"lines":%d}`+"\n",
				time.Now().Format(time.RFC3339Nano), LinesDropped.String(), int(LinesDropped), dropped-reportedDrops)
			reportedDrops = dropped
		}
	}
}

// drainQueue writes batch, which may be nil, and all queued lines, in batches of at most
// maxBatchBytes. A longer line is written on its own.
func (w *Writer) drainQueue(batch []byte) {
	for {
		select {
		case line := <-w.lines:
			w.queued.Add(-int64(len(line)))
			if len(batch)+len(line) > maxBatchBytes {
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

// flush writes a batch unless it is empty.
func (w *Writer) flush(batch []byte) {
	if len(batch) > 0 {
		// There is no other place to report an error of the log itself than the count of lost lines.
		if _, err := w.out.Write(batch); err != nil {
			w.dropped.Add(uint64(bytes.Count(batch, []byte{'\n'})))
		}
	}
}

// Ended returns a channel that is closed when Run has written the last line.
func (w *Writer) Ended() <-chan struct{} { return w.ended }
