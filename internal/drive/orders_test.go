package drive

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/evlog"
	"bulrushpond.example/bulrushpond/internal/fakes"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

// TestOrdersReachPlacement: engines whose placement changed are drained, loaded at the
// rate of the weight store and put back into service; an order with an old fencing
// token is refused.
func TestOrdersReachPlacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := fakes.NewLocal()
		for _, id := range []model.ServerID{"e0", "e1"} {
			engines.Add(model.Report{Server: id, Model: "a", Span: model.Span{To: 4}, Slots: 1}).ChecksFence = true
		}
		var epoch atomic.Uint64
		epoch.Store(5)
		ownership := func() (shards int, epochs map[int]uint64, leaseUntil time.Time) {
			return 1, map[int]uint64{0: epoch.Load()}, time.Now().Add(time.Minute)
		}
		o := NewOrderSender(evlog.New(logr.Discard()), engines, fakes.NewPlatform(), ownership)
		o.SetPlacement(setts.Policy{Placement: map[string]string{"e0": "b 0-4", "e1": "b 4-8"}, DrainGrace: time.Second})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- o.Serve(ctx) }()
		reportPlaced := func() (placed int) {
			for _, id := range []string{"e0", "e1"} {
				r, err := engines.Report(t.Context(), id)
				assert.NilError(t, err)
				o.AddReport(r, id)
				if r.Model == "b" && !r.Emptying && r.Fence == epoch.Load() {
					placed++
				}
			}
			return placed
		}
		start := time.Now()
		for reportPlaced() < 2 {
			time.Sleep(time.Second)
			assert.Assert(t, time.Since(start) < time.Minute)
		}
		epoch.Store(4)
		o.SetPlacement(setts.Policy{Placement: map[string]string{"e0": "a 0-4"}, DrainGrace: time.Second})
		for range 20 {
			reportPlaced()
			time.Sleep(time.Second)
		}
		r, err := engines.Report(t.Context(), "e0")
		assert.NilError(t, err)
		assert.Equal(t, r.Model, "b")
		cancel()
		<-ended
	})
}
