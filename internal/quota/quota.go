// Package quota bounds the memory that concurrent readers hold together.
package quota

import (
	"errors"
	"io"
	"slices"
	"sync/atomic"
)

const (
	// ShortBodyBytes are read of each body, whatever others hold.
	ShortBodyBytes = 64 << 10
	// A body is read into buffers of firstBufferBytes to maxBufferBytes.
	firstBufferBytes = 2 << 10
	maxBufferBytes   = 64 << 10
)

// ErrUsedUp is returned if readers would hold more than they may together.
var ErrUsedUp = errors.New("too many long bodies at once")

// ErrTooLong is returned for a body that is longer than it may be.
var ErrTooLong = errors.New("the body is too long")

// Bytes bounds the bytes that concurrent readers hold together.
type Bytes struct {
	max int64
	// held is at most max, but for readers that are about to give up.
	held atomic.Int64
}

// New returns a bound, in bytes.
func New(maxBytes int64) *Bytes { return &Bytes{max: maxBytes} }

// Held returns how many bytes readers hold.
func (b *Bytes) Held() int64 { return b.held.Load() }

// Holder is what one reader holds. It must not be used concurrently.
type Holder struct {
	bytes *Bytes
	// free is how much the reader may hold whatever others hold, size how much it holds, and counted how much of that counts.
	free, size, counted int64
}

// Holder returns a reader that holds nothing. The first free bytes that it holds do not count.
func (b *Bytes) Holder(free int64) *Holder { return &Holder{bytes: b, free: free} }

// Take takes n bytes more. It fails with ErrUsedUp if the readers hold too much together; the reader then holds what it held before.
func (h *Holder) Take(n int64) error {
	size := h.size + n
	if more := size - h.free - h.counted; more > 0 {
		if h.bytes.held.Add(more) > h.bytes.max {
			h.bytes.held.Add(-more)
			return ErrUsedUp
		}
		h.counted += more
	}
	h.size = size
	return nil
}

// Release gives back all that the reader holds.
func (h *Holder) Release() {
	h.bytes.held.Add(-h.counted)
	h.size, h.counted = 0, 0
}

// Read reads r to its end. It fails with ErrTooLong if r has more than maxBytes, with ErrUsedUp if a buffer beyond the first ShortBodyBytes
// exceeds the bound, or with the errors of take, which is called with the size of each buffer before it is made
// and may be nil. The body counts until release is called, which is never nil.
func (b *Bytes) Read(r io.Reader, maxBytes int, take func(bytes int) error) (body []byte, release func(), err error) {
	holder := b.Holder(ShortBodyBytes)
	body, err = readTaking(r, maxBytes, func(bytes int) error {
		if take != nil {
			if err := take(bytes); err != nil {
				return err
			}
		}
		return holder.Take(int64(bytes))
	})
	return body, holder.Release, err
}

// readTaking reads r to its end, and calls take with the size of each buffer before it is made. It fails if r has more than
// maxBytes, and with the errors of take.
func readTaking(r io.Reader, maxBytes int, take func(bytes int) error) ([]byte, error) {
	var filled [][]byte
	var buf []byte
	size, next := 0, firstBufferBytes
	for {
		if len(buf) == cap(buf) {
			if len(buf) > 0 {
				filled, size = append(filled, buf), size+len(buf)
			}
			if err := take(next); err != nil {
				return nil, err
			}
			buf, next = make([]byte, 0, next), min(2*next, maxBufferBytes)
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case size+len(buf) > maxBytes:
			return nil, ErrTooLong
		case errors.Is(err, io.EOF):
			return slices.Concat(append(filled, buf)...), nil
		case err != nil:
			return nil, err
		}
	}
}
