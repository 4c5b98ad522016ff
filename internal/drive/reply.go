package drive

import (
	"context"
	"sync"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/engine"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// Reply is the way of one answer to its caller.
type Reply struct {
	mu     sync.Mutex
	tokens []model.Token
	finish *msgs.Finish
	// answer is what an engine answered in place of a stream; guarded by mu.
	answer *engine.Answer
	signal chan struct{}
}

func newReply() *Reply { return &Reply{signal: make(chan struct{}, 1)} }

func (r *Reply) send(tok model.Token) {
	r.mu.Lock()
	r.tokens = append(r.tokens, tok)
	r.mu.Unlock()
	r.wake()
}

func (r *Reply) end(f msgs.Finish, a *engine.Answer) {
	r.mu.Lock()
	r.finish, r.answer = &f, a
	r.mu.Unlock()
	r.wake()
}

func (r *Reply) wake() {
	select {
	case r.signal <- struct{}{}:
	default:
	}
}

// Answer is what an engine answered in place of the last stream of a failed request,
// or nil.
func (r *Reply) Answer() *engine.Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answer
}

// Next waits for more of the answer. It appends the new tokens to buf, and
// returns the end once all tokens were returned.
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
