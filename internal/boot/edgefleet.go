package boot

import (
	"context"
	"strconv"
	"time"

	"bulrushpond.example/bulrushpond/internal/evlog"
	"bulrushpond.example/bulrushpond/internal/mirror"
	"bulrushpond.example/bulrushpond/pkg/model"
)

const (
	// fleetKey is the key in the platform's key-value service that holds the number of daemons, for
	// those that start: until their first exchanges, they do not know how many share the retry budget.
	fleetKey = "bulrushpond/daemons"
	// fleetInterval is how often the owner of the placement compares the stored number with its own.
	fleetInterval = 2 * time.Second
	// valueStoreTimeout bounds one write of a value for daemons that start.
	valueStoreTimeout = time.Second
	// maxStoredDaemons bounds a stored number.
	maxStoredDaemons = 100_000
)

// applyStoredFleet adopts the stored number of daemons for the retry budgets.
func (d *EdgeDaemon) applyStoredFleet(item mirror.Item) {
	if item.Removed {
		return
	}
	daemons, err := strconv.Atoi(string(item.Value))
	if err != nil || daemons < 1 || daemons > maxStoredDaemons {
		d.deps.Log.Error(err, evlog.FleetUnreadable, "value", string(item.Value), "revision", item.Revision)
		return
	}
	d.streams.SetBudgetDaemons(daemons)
	d.edge.SetDaemons(daemons)
}

// storeFleet writes the number of daemons if this daemon owns the placement and the number differs from
// the stored one.
func (d *EdgeDaemon) storeFleet(ctx context.Context) {
	if d.duty.FencingToken() == 0 {
		return
	}
	d.mu.Lock()
	daemons := d.daemonCount
	d.mu.Unlock()
	item, stored := d.storedFleet()
	if !d.fleetSize.NeedsUpdate(time.Now(), daemons, stored) {
		return
	}
	d.storeValue(ctx, model.CAS{Key: fleetKey, Value: []byte(strconv.Itoa(daemons)), Expect: item.Revision})
}

// storedFleet returns the stored number of daemons and the item that holds it. A value that cannot be decoded counts
// as 0.
func (d *EdgeDaemon) storedFleet() (mirror.Item, int) {
	item, _, _ := d.feed.Get(fleetKey)
	stored, err := strconv.Atoi(string(item.Value))
	if err != nil || stored < 0 || stored > maxStoredDaemons {
		return item, 0
	}
	return item, stored
}

// storeValue writes a value that daemons which start read from the key-value service. A write that fails is
// logged; the caller tries it again at its next interval.
func (d *EdgeDaemon) storeValue(ctx context.Context, write model.CAS) {
	ctx, cancel := context.WithTimeout(ctx, valueStoreTimeout)
	defer cancel()
	if result := d.store.CAS(ctx, write); result.Outcome != model.Done {
		d.deps.Log.Info(evlog.ValueNotStored, "key", write.Key, "outcome", result.Outcome.String(), "expected_revision", write.Expect)
	}
}
