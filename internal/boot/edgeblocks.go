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
	// partBlocksKey is the key in the platform's key-value service that holds the blocked prompt parts,
	// for daemons that start while no other one runs. modelBlocksKey and plainBlocksKey hold the
	// blocked requests to model engines and to plain services.
	partBlocksKey  = "bulrushpond/blocked_parts"
	modelBlocksKey = "bulrushpond/blocked_model_requests"
	plainBlocksKey = "bulrushpond/blocked_plain_requests"
	// blocksInterval is how often the owner of the placement compares the stored blocks with its own.
	blocksInterval = time.Second
)

// storedBlock is a blocked prompt part or request in the value of a key.
type storedBlock struct {
	// Part is hexadecimal.
	Part  string    `json:"part"`
	Until time.Time `json:"until"`
}

// encodeBlocks returns the value of a key.
func encodeBlocks(blocks []crash.Block) ([]byte, error) {
	stored := make([]storedBlock, 0, len(blocks))
	for _, b := range blocks {
		stored = append(stored, storedBlock{Part: crash.FormatPart(b.Part), Until: b.Until.UTC()})
	}
	raw, err := json.Marshal(stored)
	return raw, trace.Wrap(err)
}

// decodeBlocks decodes the value of a key.
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

// blockList is one list of blocks in the key-value service.
type blockList struct {
	key string
	// apply adopts stored blocks.
	apply func([]crash.Block)
	// wanted returns the blocks to store, given those that are stored now; false if these need no change.
	wanted func(now time.Time, stored []crash.Block) ([]crash.Block, bool)
}

// blockLists returns the lists of blocks.
func (d *EdgeDaemon) blockLists() []blockList {
	// ofCore calls a method of the core between two ticks.
	ofCore := func(method func(*core.Core, time.Time, []crash.Block) ([]crash.Block, bool)) func(time.Time, []crash.Block) ([]crash.Block, bool) {
		return func(now time.Time, stored []crash.Block) (blocks []crash.Block, changed bool) {
			d.streams.View(func(c *core.Core) { blocks, changed = method(c, now, stored) })
			return blocks, changed
		}
	}
	return []blockList{
		{partBlocksKey, d.streams.SetStoredBlocks, ofCore((*core.Core).StoredBlocks)},
		{modelBlocksKey, d.streams.SetStoredRequestBlocks, ofCore((*core.Core).StoredRequestBlocks)},
		{plainBlocksKey, d.edge.SetStoredBlocks, d.edge.StoredBlocks},
	}
}

// applyStoredBlocks adopts stored blocks if the item holds some, and reports whether it does.
func (d *EdgeDaemon) applyStoredBlocks(item mirror.Item) bool {
	for _, list := range d.blockLists() {
		if item.Key != list.key {
			continue
		}
		if item.Removed {
			return true
		}
		blocks, err := decodeBlocks(item.Value)
		if err != nil {
			d.deps.Log.Error(err, evlog.BlocksUnreadable, "key", item.Key, "revision", item.Revision)
			return true
		}
		list.apply(blocks)
		return true
	}
	return false
}

// storeBlocks writes the blocks if this daemon owns the placement and they differ from the stored ones.
func (d *EdgeDaemon) storeBlocks(ctx context.Context) {
	if d.duty.FencingToken() == 0 {
		return
	}
	for _, list := range d.blockLists() {
		// A value that cannot be decoded is replaced.
		item, _, _ := d.feed.Get(list.key)
		stored, _ := decodeBlocks(item.Value)
		blocks, changed := list.wanted(time.Now(), stored)
		if !changed {
			continue
		}
		value, err := encodeBlocks(blocks)
		if err != nil {
			d.deps.Log.Error(err, evlog.BlocksUnreadable, "key", list.key, "revision", item.Revision)
			continue
		}
		d.storeValue(ctx, model.CAS{Key: list.key, Value: value, Expect: item.Revision})
	}
}
