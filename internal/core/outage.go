package core

import (
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/table"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

const (
	// outagePatience is how long a new request waits at most for an outage whose end is known. Callers of streams
	// leave after about two seconds without an event.
	outagePatience = 1500 * time.Millisecond
	// outageReturnDelay is the time from the expected end of an outage until callers that were refused return. It
	// covers the news that the layers are loaded.
	outageReturnDelay = 500 * time.Millisecond
	// outageReturnStep spreads the return of these callers, and outageReturnSteps is after how many of them the spread
	// begins anew.
	outageReturnStep  = 20 * time.Millisecond
	outageReturnSteps = 100
)

// refuseBeyondOutage refuses the waiting requests to a model that no chain covers if its layers are expected to be
// loaded too late for them. Their callers are told when, one after the other.
func (c *Core) refuseBeyondOutage(now time.Time, name string, out *msgs.Outbox) {
	end, known := c.outageEnds[name]
	if !known || end.Sub(now) <= outagePatience {
		return
	}
	var ids []model.RequestID
	for r := range c.requests.All() {
		if r.Phase == table.Queued && r.Model == name {
			ids = append(ids, r.ID)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		r := c.requests.Get(id)
		c.admit.Withdraw(r)
		c.outageRefusals++
		returnAt := end.Add(outageReturnDelay + time.Duration(c.outageRefusals%outageReturnSteps)*outageReturnStep)
		if c.admit.Ranks.On(r.Model) {
			returnAt = c.admit.Ranks.ReturnAt(end.Add(outageReturnDelay), r.Model, r.Rank)
		}
		c.recov.FailRequestUntil(r, verdt.NoRoute, "the model's layers are being loaded", returnAt, c.tables, out)
	}
}
