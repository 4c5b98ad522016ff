package fleet

import (
	"github.com/cespare/xxhash/v2"

	"bulrushpond.example/bulrushpond/pkg/model"
)

// Preferred returns the daemon that should look after a thing, by rendezvous
// hashing: a daemon that joins or leaves moves only the things of its own. Without
// daemons it returns nothing.
func Preferred(thing string, daemons []model.DaemonID) model.DaemonID {
	var best model.DaemonID
	highest := uint64(0)
	for _, d := range daemons {
		h := xxhash.New()
		_, _ = h.WriteString(thing)
		_, _ = h.WriteString("\x00")
		_, _ = h.WriteString(string(d))
		if sum := h.Sum64(); best == "" || sum > highest {
			best, highest = d, sum
		}
	}
	return best
}
