package drive

import (
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/pkg/model"
)

// TestUnreadEventsCutLargestReply checks that events which callers do not take stay within their bound: the caller that has
// taken least is cut off, and the others lose nothing.
func TestUnreadEventsCutLargestReply(t *testing.T) {
	unread := newUnreadEvents()
	unread.max = 1000
	slow, other := newReply(unread), newReply(unread)
	cut := 0
	slow.OnCut(func() { cut++ })
	text := strings.Repeat("x", 100)
	ctx := context.Background()
	for i := range 9 {
		slow.push(model.Token{Text: text, Position: i})
	}
	other.push(model.Token{Text: text})
	assert.Assert(t, !slow.IsCut())
	other.push(model.Token{Text: text})
	assert.Assert(t, slow.IsCut() && cut == 1)
	slow.push(model.Token{Text: text})
	_, _, err := slow.Next(ctx, nil)
	assert.ErrorIs(t, err, errUnread)
	tokens, _, err := other.Next(ctx, nil)
	assert.NilError(t, err)
	assert.Equal(t, len(tokens), 2)
	// What was taken counts until the caller comes for more.
	assert.Equal(t, unread.total, int64(200))
	other.push(model.Token{Text: text})
	_, _, err = other.Next(ctx, nil)
	assert.NilError(t, err)
	assert.Equal(t, unread.total, int64(100))
	other.Close()
	slow.Close()
	assert.Equal(t, unread.total, int64(0))
	assert.Equal(t, len(unread.bytes), 0)
}
