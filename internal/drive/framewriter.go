package drive

import (
	"context"
	"sync"
	"time"

	"bulrushpond.example/bulrushpond/internal/engine"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// frameWriter writes an answer as frames to another daemon. It implements AnswerWriter. Frames that cannot be
// written are dropped: the context of the request ends then.
type frameWriter struct {
	write func(ProxyFrame) error
	// frame collects what Flush sends.
	frame ProxyFrame
	// cancel ends the heartbeats, and ended is closed once they have ended.
	cancel context.CancelFunc
	ended  chan struct{}

	// mu serializes the writes.
	mu sync.Mutex
}

// newFrameWriter returns a frameWriter that sends heartbeats, the first one at once, until stop is called or ctx ends.
func newFrameWriter(ctx context.Context, write func(ProxyFrame) error) *frameWriter {
	ctx, cancel := context.WithCancel(ctx)
	w := &frameWriter{write: write, cancel: cancel, ended: make(chan struct{})}
	go w.sendHeartbeats(ctx)
	return w
}

// stop ends the heartbeats.
func (w *frameWriter) stop() {
	w.cancel()
	<-w.ended
}

// sendHeartbeats sends empty frames until ctx ends.
func (w *frameWriter) sendHeartbeats(ctx context.Context) {
	defer close(w.ended)
	ticker := time.NewTicker(proxyHeartbeatInterval)
	defer ticker.Stop()
	for {
		if err := w.send(ProxyFrame{}); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (w *frameWriter) send(f ProxyFrame) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.write(f)
}

// sendLast sends the frame that ends the answer, after the heartbeats have ended.
func (w *frameWriter) sendLast(f ProxyFrame) {
	w.stop()
	// If it is lost, so is the other daemon, or it notices by itself.
	_ = w.send(f)
}

// Begin implements AnswerWriter.
func (w *frameWriter) Begin(h model.AnswerHead) error {
	w.frame.Head = &ProxyHead{Status: h.Status, Header: h.Header}
	return nil
}

// Event implements AnswerWriter.
func (w *frameWriter) Event(text string) error {
	w.frame.Events = append(w.frame.Events, text)
	return nil
}

// Flush implements AnswerWriter.
func (w *frameWriter) Flush() error {
	frame := w.frame
	w.frame = ProxyFrame{}
	return w.send(frame)
}

// Complete implements AnswerWriter.
func (w *frameWriter) Complete() {
	w.frame.Complete = true
	w.sendLast(w.frame)
}

// Abort implements AnswerWriter.
func (w *frameWriter) Abort() {
	w.Fail(verdt.New(verdt.Ran, verdt.StageFailed, "the answer broke off"))
}

// Answer implements AnswerWriter.
func (w *frameWriter) Answer(a engine.Answer) { w.sendLast(ProxyFrame{Answer: &a}) }

// Fail implements AnswerWriter.
func (w *frameWriter) Fail(f *verdt.Error) {
	w.sendLast(ProxyFrame{Failure: newProxyFailure(time.Now(), f)})
}
