package core

import (
	"cmp"
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/table"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// endAll ends all requests if the daemon is about to end. The failure of each says whether it may have run.
func (c *Core) endAll(now time.Time, in *msgs.Inbox, out *msgs.Outbox) {
	if !in.End {
		return
	}
	byID := func(a, b *table.Request) int { return cmp.Compare(a.ID, b.ID) }
	for _, r := range slices.SortedFunc(c.requests.All(), byID) {
		c.giveUp(now, r, verdt.Stopping, "this daemon is stopping", out)
	}
}
