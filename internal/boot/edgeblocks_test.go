package boot

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/core/crash"
)

func TestStoredBlocksCodec(t *testing.T) {
	blocks := []crash.Block{{Part: 1 << 63, Until: time.Unix(1_000_000, 7).UTC()}, {Part: 0xbad, Until: time.Unix(2_000_000, 0).UTC()}}
	raw, err := encodeBlocks(blocks)
	assert.NilError(t, err)
	got, err := decodeBlocks(raw)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, blocks)
	for _, text := range []string{"", "{", `{"part":"1"}`, `[{"part":"x"}]`, `[{"part":7}]`, `[{"part":"1","until":"soon"}]`} {
		_, err := decodeBlocks([]byte(text))
		assert.Assert(t, err != nil, text)
	}
}
