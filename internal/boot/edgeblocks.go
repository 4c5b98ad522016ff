package boot

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"bulrushpond.example/bulrushpond/internal/core"
	"bulrushpond.example/bulrushpond/internal/core/crash"
	"bulrushpond.example/bulrushpond/internal/evlog"
	"bulrushpond.example/bulrushpond/internal/mirror"
	"bulrushpond.example/bulrushpond/pkg/model"
)

const (
	// blocksKey is the key in the platform's key-value service that holds the blocked prompt parts,
	// for daemons that start while no other one runs.
	blocksKey = "bulrushpond/blocked_parts"
	// blocksInterval is how often the owner of the placement compares the stored blocks with its own.
	blocksInterval = time.Second
)

// storedBlock is a blocked prompt part in the value of blocksKey.
type storedBlock struct {
	// Part is hexadecimal.
	Part  string    `json:"part"`
	Until time.Time `json:"until"`
}

// encodeBlocks returns the value of blocksKey.
func encodeBlocks(blocks []crash.Block) ([]byte, error) {
	stored := make([]storedBlock, 0, len(blocks))
	for _, b := range blocks {
		stored = append(stored, storedBlock{Part: crash.FormatPart(b.Part), Until: b.Until.UTC()})
	}
	raw, err := json.Marshal(stored)
	return raw, trace.Wrap(err)
}

// decodeBlocks decodes the value of blocksKey.
func decodeBlocks(raw []byte) ([]crash.Block, error) {
	var stored []storedBlock
	if err := json.Unmarshal(raw, &stored); err != nil {
		return nil, trace.Wrap(err)
	}
	var blocks []crash.Block
	for _, b := range stored {
		part, err := strconv.ParseUint(b.Part, 16, 64)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		blocks = append(blocks, crash.Block{Part: part, Until: b.Until})
	}
	return blocks, nil
}

// applyStoredBlocks adopts the stored blocks.
func (d *EdgeDaemon) applyStoredBlocks(item mirror.Item) {
	if item.Removed {
		return
	}
	blocks, err := decodeBlocks(item.Value)
	if err != nil {
		d.deps.Log.Error(err, evlog.BlocksUnreadable, "revision", item.Revision)
		return
	}
	d.streams.SetStoredBlocks(blocks)
}

// storeBlocks writes the blocked prompt parts if this daemon owns the placement and they differ from
// the stored ones.
func (d *EdgeDaemon) storeBlocks(ctx context.Context) {
	if d.duty.FencingToken() == 0 {
		return
	}
	// A value that cannot be decoded is replaced.
	item, _, _ := d.feed.Get(blocksKey)
	stored, _ := decodeBlocks(item.Value)
	var blocks []crash.Block
	changed := false
	d.streams.View(func(c *core.Core) { blocks, changed = c.StoredBlocks(time.Now(), stored) })
	if !changed {
		return
	}
	value, err := encodeBlocks(blocks)
	if err != nil {
		d.deps.Log.Error(err, evlog.BlocksUnreadable, "revision", item.Revision)
		return
	}
	d.storeValue(ctx, model.CAS{Key: blocksKey, Value: value, Expect: item.Revision})
}
