package quota

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// TestHoldersShareBytes checks that readers hold at most what they may together, that what one gives back is there for others, and that none is
// refused what is free.
func TestHoldersShareBytes(t *testing.T) {
	const maxBytes, free, step = 100, 10, 30
	b := New(maxBytes)
	var holders []*Holder
	for range 3 {
		h := b.Holder(free)
		assert.NilError(t, h.Take(free))
		assert.NilError(t, h.Take(step))
		holders = append(holders, h)
	}
	late := b.Holder(free)
	assert.NilError(t, late.Take(free))
	assert.ErrorIs(t, late.Take(step), ErrUsedUp)
	assert.Equal(t, b.Held(), int64(3*step))
	assert.NilError(t, late.Take(maxBytes-3*step))
	holders[0].Release()
	assert.NilError(t, late.Take(step))
	late.Release()
	assert.NilError(t, late.Take(free), "what is free is so again")
	for _, h := range append(holders, late, late) {
		h.Release()
	}
	assert.Equal(t, b.Held(), int64(0))
}

// TestReadersOfLongBodies checks that short bodies are read whatever long ones hold, and that each reader gives back what it took.
func TestReadersOfLongBodies(t *testing.T) {
	const maxBytes = 1 << 20
	b := New(maxBytes)
	long := bytes.Repeat([]byte("x"), maxBytes)
	body, release, err := b.Read(bytes.NewReader(long), maxBytes, nil)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(body, long))
	_, releaseOther, err := b.Read(bytes.NewReader(long), maxBytes, nil)
	assert.ErrorIs(t, err, ErrUsedUp)
	releaseOther()
	short, releaseShort, err := b.Read(strings.NewReader("short"), maxBytes, nil)
	assert.NilError(t, err)
	assert.Equal(t, string(short), "short")
	releaseShort()
	release()
	_, release, err = b.Read(bytes.NewReader(append(long, 'x')), maxBytes, nil)
	assert.ErrorIs(t, err, ErrTooLong)
	release()
	errTake := errors.New("no")
	_, release, err = b.Read(bytes.NewReader(long), maxBytes, func(int) error { return errTake })
	assert.ErrorIs(t, err, errTake)
	release()
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			_, release, _ := b.Read(io.LimitReader(bytes.NewReader(long), maxBytes/2), maxBytes, nil)
			release()
		})
	}
	wg.Wait()
	assert.Equal(t, b.Held(), int64(0))
}
