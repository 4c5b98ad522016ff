package crash

import (
	"maps"
	"slices"
	"time"
)

// storedSlack is how much earlier than in force a stored block may end. It bounds how often a block
// is stored again while engines crash.
const storedSlack = time.Minute

// ApplyStored adopts blocks that were stored by a daemon, maybe one that has ended.
func (st *State) ApplyStored(now time.Time, blocks []Block) { st.adopt(now, blocks) }

// Stored returns the blocks to store, sorted by part, given those that are stored now; false if
// these need no change. Stored blocks stay until they end, or their parts are known as sound or explained by another, so
// that a daemon that has not read them yet does not remove them.
func (st *State) Stored(now time.Time, stored []Block) ([]Block, bool) {
	wanted := map[uint64]time.Time{}
	changed := false
	for _, b := range stored {
		switch {
		case !b.Until.After(now):
		case st.knownSound(now, b.Part), st.explainedByOther(b.Part):
			changed = true
		default:
			wanted[b.Part] = b.Until
		}
	}
	for part, until := range st.blocks {
		if st.knownSound(now, part) || !until.After(now) {
			continue
		}
		if end, found := wanted[part]; !found || until.Sub(end) > storedSlack {
			wanted[part], changed = until, true
		}
	}
	if !changed {
		return nil, false
	}
	var blocks []Block
	for _, part := range slices.Sorted(maps.Keys(wanted)) {
		if len(blocks) < maxBlocks {
			blocks = append(blocks, Block{Part: part, Until: wanted[part]})
		}
	}
	return blocks, true
}
