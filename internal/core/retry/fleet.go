package retry

import "time"

const (
	// fleetSizeTolerance is the share by which the number of daemons must differ from the recorded one
	// to be recorded again.
	fleetSizeTolerance = 0.1
	// fleetShrinkDelay is how long a lower number of daemons must last before it is recorded. Daemons
	// that restart together are missing for a while.
	fleetShrinkDelay = time.Minute
)

// FleetSize decides when the number of daemons that share the budgets is recorded for daemons that start.
// The zero value is ready to use.
type FleetSize struct {
	// smallerSince is when the fleet was first seen smaller than recorded; zero if it is not.
	smallerSince time.Time
}

// NeedsUpdate reports whether the number of daemons is to be recorded, given the recorded one; 0 means that
// none is recorded.
func (f *FleetSize) NeedsUpdate(now time.Time, daemons, recorded int) bool {
	difference := float64(daemons-recorded) / float64(max(1, recorded))
	if difference >= -fleetSizeTolerance {
		f.smallerSince = time.Time{}
		return difference > fleetSizeTolerance
	}
	if f.smallerSince.IsZero() {
		f.smallerSince = now
	}
	return now.Sub(f.smallerSince) >= fleetShrinkDelay
}
