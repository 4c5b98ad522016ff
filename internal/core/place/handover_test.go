package place

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/pkg/model"
)

// TestOwnersAgreeOnPlacement passes the placement between daemons of two builds while VMs are replaced.
// The owner keeps no plan in the key-value service, so that each starts from what the engines hold: after
// the first has placed the layers, none may give an order.
func TestOwnersAgreeOnPlacement(t *testing.T) {
	type scenario struct {
		name  string
		fleet func() *fakeFleet
	}
	for _, s := range []scenario{{"engines of all kinds", mixedZone}, {"a large zone", largeZone}} {
		t.Run(s.name, func(t *testing.T) {
			f := s.fleet()
			const settleTime = time.Minute
			f.run(t, settleTime, noneLost)
			assert.Equal(t, f.missingLayers(), 0)
			placed := f.orderCount
			assert.Assert(t, placed > 0)
			const handovers, ownedFor = 20, 2 * time.Second
			for range handovers {
				f.planner = New()
				f.run(t, ownedFor, noneLost)
			}
			assert.Equal(t, f.orderCount, placed)
		})
	}
}

// TestOwnersAgreeWhileEnginesLoad passes the placement on while the engines load, which the next owner
// does not see: it may not order an engine back to layers that another owner had taken it from.
func TestOwnersAgreeWhileEnginesLoad(t *testing.T) {
	for _, f := range []*fakeFleet{mixedZone(), largeZone()} {
		const ownedFor, duration = 2 * time.Second, time.Minute
		spans, loadedAt := map[model.ServerID][]model.Span{}, map[model.ServerID]time.Time{}
		for start := f.now; f.now.Before(start.Add(duration)); f.now = f.now.Add(100 * time.Millisecond) {
			if f.now.Sub(start)%ownedFor == 0 {
				f.planner = New()
			}
			for id, at := range loadedAt {
				if ordered := spans[id]; !f.now.Before(at) {
					f.member(id).Span = ordered[len(ordered)-1]
				}
			}
			for _, o := range f.planner.Tick(f.now, f.profile, f.members) {
				ordered := spans[o.Server]
				if n := len(ordered); n > 0 && ordered[n-1] == o.Span {
					continue
				}
				for _, earlier := range ordered {
					assert.Assert(t, earlier != o.Span, "%s is ordered back to %v", o.Server, o.Span)
				}
				spans[o.Server] = append(ordered, o.Span)
				loadedAt[o.Server] = f.now.Add(f.profile.LoadTime * time.Duration(o.Span.To-o.Span.From) / time.Duration(f.profile.Layers))
			}
		}
		assert.Equal(t, f.missingLayers(), 0)
	}
}
