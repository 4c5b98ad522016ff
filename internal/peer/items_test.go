package peer

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// itemsOf counts the data items of a value whose maps, slices and texts are encoded as they are.
func itemsOf(value any) int {
	n := 1
	switch v := value.(type) {
	case []any:
		for _, element := range v {
			n += itemsOf(element)
		}
	case map[string]any:
		for _, element := range v {
			n += 1 + itemsOf(element)
		}
	}
	return n
}

// drawValue draws a value of some depth.
func drawValue(t *rapid.T, depth int) any {
	kind := rapid.IntRange(0, 6).Draw(t, "kind")
	if depth == 0 {
		kind %= 4
	}
	switch kind {
	case 0:
		return rapid.Int64().Draw(t, "number")
	case 1:
		return rapid.StringN(0, 400, -1).Draw(t, "text")
	case 2:
		return rapid.SliceOfN(rapid.Byte(), 0, 400).Draw(t, "bytes")
	case 3:
		return rapid.Float64().Draw(t, "float")
	case 4, 5:
		list := []any{}
		for range rapid.IntRange(0, 40).Draw(t, "length") {
			list = append(list, drawValue(t, depth-1))
		}
		return list
	default:
		table := map[string]any{}
		for range rapid.IntRange(0, 20).Draw(t, "pairs") {
			table[rapid.String().Draw(t, "key")] = drawValue(t, depth-1)
		}
		return table
	}
}

// TestCountItems compares the count of a message's items with that of the value it encodes.
func TestCountItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value := drawValue(t, 2)
		raw, err := cbor.Marshal(value)
		assert.NilError(t, err)
		assert.Equal(t, countItems(raw), itemsOf(value))
	})
}

// TestCountItemsOfAnyBytes checks that malformed messages are counted, too, and not beyond their length.
func TestCountItemsOfAnyBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		raw := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "raw")
		assert.Assert(t, countItems(raw) <= len(raw))
	})
	assert.Equal(t, countItems([]byte{0x5b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0}), 1)
}
