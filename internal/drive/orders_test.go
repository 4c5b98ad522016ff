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

// TestPlacementIsReached: an engine that the settings place elsewhere is emptied,
// loaded at the weight store's rate, and serves again, and an order with an old
// fencing number is refused.
func TestPlacementIsReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := fakes.NewLocal()
		for _, id := range []model.ServerID{"e0", "e1"} {
			site.Add(model.Report{Server: id, Model: "a", Span: model.Span{To: 4}, Slots: 1}).ChecksFence = true
		}
		var epoch atomic.Uint64
		epoch.Store(5)
		owned := func() (shards int, epochs map[int]uint64, leaseUntil time.Time) {
			return 1, map[int]uint64{0: epoch.Load()}, time.Now().Add(time.Minute)
		}
		o := NewOrders(evlog.New(logr.Discard()), site, fakes.NewPlatform(), owned)
		o.SetPlacement(setts.Policy{Placement: map[string]string{"e0": "b 0-4", "e1": "b 4-8"}, DrainGrace: time.Second})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- o.Serve(ctx) }()
		reports := func() (done int) {
			for _, id := range []string{"e0", "e1"} {
				r, err := site.Report(t.Context(), id)
				assert.NilError(t, err)
				o.AddReport(r, id)
				if r.Model == "b" && !r.Emptying && r.Fence == epoch.Load() {
					done++
				}
			}
			return done
		}
		start := time.Now()
		for reports() < 2 {
			time.Sleep(time.Second)
			assert.Assert(t, time.Since(start) < time.Minute)
		}
		epoch.Store(4)
		o.SetPlacement(setts.Policy{Placement: map[string]string{"e0": "a 0-4"}, DrainGrace: time.Second})
		for range 20 {
			reports()
			time.Sleep(time.Second)
		}
		r, err := site.Report(t.Context(), "e0")
		assert.NilError(t, err)
		assert.Equal(t, r.Model, "b")
		cancel()
		<-ended
	})
}
