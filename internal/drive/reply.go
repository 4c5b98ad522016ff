package drive

import (
	"context"
	"sync"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/engine"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// Reply is the queue through which the answer to one request reaches its caller.
type Reply struct {
	mu sync.Mutex
	// tokens, finish and answer are guarded by mu.
	tokens []model.Token
	finish *msgs.Finish
	// answer is what an engine answered instead of a stream, or nil.
	answer *engine.Answer
	// signal wakes Next after a change.
	signal chan struct{}
}

func newReply() *Reply { return &Reply{signal: make(chan struct{}, 1)} }

// push adds a token to the queue.
func (r *Reply) push(tok model.Token) {
	r.mu.Lock()
	r.tokens = append(r.tokens, tok)
	r.mu.Unlock()
	r.notify()
}

// end sets the end of the answer. No token may follow.
func (r *Reply) end(f msgs.Finish, a *engine.Answer) {
	r.mu.Lock()
	r.finish, r.answer = &f, a
	r.mu.Unlock()
	r.notify()
}

// notify wakes a waiting Next.
func (r *Reply) notify() {
	select {
	case r.signal <- struct{}{}:
	default:
	}
}

// Answer returns what an engine answered instead of the last stream of a failed
// request, or nil.
func (r *Reply) Answer() *engine.Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answer
}

// Next waits until more of the answer has arrived. It appends the new tokens to buf
// and returns the finish, if the answer has ended, together with the last tokens. buf
// should be empty: otherwise Next returns without waiting.
func (r *Reply) Next(ctx context.Context, buf []model.Token) ([]model.Token, *msgs.Finish, error) {
	for {
		r.mu.Lock()
		buf = append(buf, r.tokens...)
		r.tokens = r.tokens[:0]
		finish := r.finish
		r.mu.Unlock()
		if len(buf) > 0 || finish != nil {
			return buf, finish, nil
		}
		select {
		case <-r.signal:
		case <-ctx.Done():
			return buf, nil, ctx.Err()
		}
	}
}
