package fleet

import (
	"github.com/cespare/xxhash/v2"

	"bulrushpond.example/bulrushpond/pkg/model"
)

// Preferred returns the daemon responsible for a key, by rendezvous hashing: a daemon
// that joins or leaves changes only the assignment of its own keys. Without daemons it
// returns "".
func Preferred(key string, daemons []model.DaemonID) model.DaemonID {
	var best model.DaemonID
	highestSum := uint64(0)
	for _, d := range daemons {
		h := xxhash.New()
		_, _ = h.WriteString(key)
		_, _ = h.WriteString("\x00")
		_, _ = h.WriteString(string(d))
		if sum := h.Sum64(); best == "" || sum > highestSum {
			best, highestSum = d, sum
		}
	}
	return best
}
