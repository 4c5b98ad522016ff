package drive

import (
	"errors"
	"sync"
)

// defaultMaxUnreadBytes bounds the events that callers have not taken yet, of all requests together.
const defaultMaxUnreadBytes = 32 << 20

// errUnread is returned by Reply.Next if the caller takes its events too slowly for them to be kept.
var errUnread = errors.New("the caller did not read its answer")

// unreadEvents bounds the bytes of the events that callers have not taken yet.
type unreadEvents struct {
	mu sync.Mutex
	// max bounds total, the sum of bytes, which holds the bytes of each reply that has any; all guarded by mu.
	max, total int64
	bytes      map[*Reply]int64
	// cutCount is the number of replies that were cut off.
	cutCount uint64
}

func newUnreadEvents() *unreadEvents {
	return &unreadEvents{max: defaultMaxUnreadBytes, bytes: map[*Reply]int64{}}
}

// add counts bytes of a reply. It returns the replies that have to be cut off to keep the bound, those with most bytes, which
// count no longer.
func (u *unreadEvents) add(r *Reply, bytes int) []*Reply {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.bytes[r] += int64(bytes)
	u.total += int64(bytes)
	var largest []*Reply
	for u.total > u.max {
		var most *Reply
		for other, n := range u.bytes {
			if most == nil || n > u.bytes[most] {
				most = other
			}
		}
		u.forget(most)
		u.cutCount++
		largest = append(largest, most)
	}
	return largest
}

// remove counts bytes of a reply no longer.
func (u *unreadEvents) remove(r *Reply, bytes int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if n, ok := u.bytes[r]; !ok || n <= int64(bytes) {
		u.forget(r)
		return
	}
	u.bytes[r] -= int64(bytes)
	u.total -= int64(bytes)
}

// removeAll counts a reply no longer.
func (u *unreadEvents) removeAll(r *Reply) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.forget(r)
}

// forget is removeAll for a caller that holds mu.
func (u *unreadEvents) forget(r *Reply) {
	u.total -= u.bytes[r]
	delete(u.bytes, r)
}

// LimitUnread bounds the events that callers have not taken yet, of all requests together, in bytes.
func (s *StreamExecutor) LimitUnread(maxBytes int64) {
	s.unread.mu.Lock()
	defer s.unread.mu.Unlock()
	s.unread.max = maxBytes
}

// Unread returns the bytes of the events that callers have not taken yet, and the number of callers that were cut off since
// these were too many.
func (s *StreamExecutor) Unread() (bytes int64, cutOff uint64) {
	s.unread.mu.Lock()
	defer s.unread.mu.Unlock()
	return s.unread.total, s.unread.cutCount
}
