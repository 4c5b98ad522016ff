package drive

import (
	"context"
	"sync"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// Reply is the way of one answer to its caller.
type Reply struct {
	mu     sync.Mutex
	tokens []model.Token
	finish *msgs.Finish
	signal chan struct{}
}

func newReply() *Reply { return &Reply{signal: make(chan struct{}, 1)} }

func (r *Reply) send(tok model.Token) {
	r.mu.Lock()
	r.tokens = append(r.tokens, tok)
	r.mu.Unlock()
	r.wake()
}

func (r *Reply) end(f msgs.Finish) {
	r.mu.Lock()
	r.finish = &f
	r.mu.Unlock()
	r.wake()
}

func (r *Reply) wake() {
	select {
	case r.signal <- struct{}{}:
	default:
	}
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
