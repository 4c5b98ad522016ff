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
	// taken is the number of bytes of the tokens that Next returned last. They count until the next call, since the caller
	// may still be writing them; guarded by mu.
	taken int
	// cutOff is set if the caller did not take its tokens in time, and onCut is called then; guarded by mu.
	cutOff bool
	onCut  func()
	// unread counts the tokens of all replies.
	unread *unreadEvents
	// signal wakes Next after a change.
	signal chan struct{}
}

func newReply(unread *unreadEvents) *Reply {
	return &Reply{unread: unread, signal: make(chan struct{}, 1)}
}

// push adds a token to the queue, and cuts off replies if the tokens of all are too many.
func (r *Reply) push(tok model.Token) {
	for _, largest := range r.enqueue(tok) {
		largest.cut()
	}
	r.notify()
}

// enqueue adds a token to the queue unless the reply is cut off, and returns the replies that are to be cut off.
func (r *Reply) enqueue(tok model.Token) []*Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cutOff {
		return nil
	}
	r.tokens = append(r.tokens, tok)
	return r.unread.add(r, len(tok.Text))
}

// cut drops the queue, and makes Next fail.
func (r *Reply) cut() {
	r.mu.Lock()
	r.cutOff, r.tokens = true, nil
	onCut := r.onCut
	r.mu.Unlock()
	if onCut != nil {
		onCut()
	}
	r.notify()
}

// OnCut sets what is called, from another goroutine, if the caller does not take its tokens in time. It should end a write
// to the caller.
func (r *Reply) OnCut(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onCut = f
}

// IsCut reports whether the caller did not take its tokens in time.
func (r *Reply) IsCut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cutOff
}

// Close ends the use of the reply. Next must not be called again.
func (r *Reply) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutOff, r.tokens, r.onCut = true, nil, nil
	r.unread.removeAll(r)
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
// should be empty: otherwise Next returns without waiting. The tokens that it returned before count as taken.
func (r *Reply) Next(ctx context.Context, buf []model.Token) ([]model.Token, *msgs.Finish, error) {
	for {
		r.mu.Lock()
		before := r.taken
		buf, r.taken = append(buf, r.tokens...), textBytes(r.tokens)
		// Tokens that were taken must not be kept by the queue's array.
		clear(r.tokens)
		r.tokens = r.tokens[:0]
		finish, cutOff := r.finish, r.cutOff
		r.mu.Unlock()
		if before > 0 {
			r.unread.remove(r, before)
		}
		if cutOff {
			return buf, nil, errUnread
		}
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

// textBytes returns the bytes of the texts of tokens.
func textBytes(tokens []model.Token) int {
	n := 0
	for _, tok := range tokens {
		n += len(tok.Text)
	}
	return n
}
