package owner

import (
	"bulrushpond.example/bulrushpond/pkg/model"

	"github.com/cespare/xxhash/v2"
)

// Preferred returns the daemon that should own a shard: the highest digest of
// the pair wins, so a daemon that joins or leaves moves only its own shards.
func Preferred(shard int, live []model.DaemonID) model.DaemonID {
	var best model.DaemonID
	highest := uint64(0)
	for _, d := range live {
		h := xxhash.New()
		_, _ = h.Write([]byte{byte(shard >> 8), byte(shard)})
		_, _ = h.WriteString(string(d))
		if sum := h.Sum64(); best == "" || sum > highest {
			best, highest = d, sum
		}
	}
	return best
}
