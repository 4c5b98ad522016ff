package ranks

import "time"

const (
	// windowSize is the time over which events are counted. With the age that reports may have, it bounds
	// how long a shortage that has ended keeps less important requests back.
	windowSize = 500 * time.Millisecond
	// windowSlots is the number of parts in which a window moves on.
	windowSlots = 4
	slotSize    = windowSize / windowSlots
)

// window counts the events within about the last windowSize.
type window struct {
	slots [windowSlots]int
	// newest is the number of the newest slot since the epoch.
	newest int64
}

// advance empties the slots that have expired.
func (w *window) advance(now time.Time) {
	slot := now.UnixNano() / int64(slotSize)
	for i := max(w.newest+1, slot-windowSlots+1); i <= slot; i++ {
		w.slots[i%windowSlots] = 0
	}
	w.newest = max(w.newest, slot)
}

func (w *window) add(now time.Time) {
	w.advance(now)
	w.slots[w.newest%windowSlots]++
}

func (w *window) sum(now time.Time) int {
	w.advance(now)
	total := 0
	for _, n := range w.slots {
		total += n
	}
	return total
}
