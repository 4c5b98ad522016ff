package core

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/core/board"
	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// TestRequestsBeyondKnownOutageAreRefused guards against callers that wait for nothing after a request has ended the first
// engine of every chain: new requests waited until their callers left, though the end of the load was known. They are
// refused as not run with that time. Those that the load ends in time for wait, as do all while its end is not known.
func TestRequestsBeyondKnownOutageAreRefused(t *testing.T) {
	type scenario struct {
		name string
		left time.Duration
		want bool
	}
	for _, tc := range []scenario{
		{"the load takes longer than callers wait", 5 * time.Second, true},
		{"the load ends in time", time.Second, false},
		{"the end of the load is not known", 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newChainHarness(t, 1)
			w.unlist("e00")
			tell := func() {
				w.in.OthersUntil = w.now.Add(board.StatusTTL)
				if tc.left > 0 {
					w.in.Others.Outages = []board.Outage{{Service: "m", Left: tc.left}}
				}
			}
			tell()
			w.tick()
			for i := range 3 {
				w.in.Arrivals = append(w.in.Arrivals, msgs.Arrival{ID: model.RequestID(i + 1), Model: "m", Deadline: w.now.Add(20 * time.Second)})
			}
			w.tick()
			if !tc.want {
				assert.Equal(t, len(w.out.Finishes), 0)
				assert.Equal(t, w.core.InProgress(), 3)
				return
			}
			assert.Equal(t, len(w.out.Finishes), 3)
			for _, f := range w.out.Finishes {
				assert.Equal(t, f.Failure.Verdict, verdt.NotRun)
				assert.Equal(t, f.Failure.Reason, verdt.NoRoute)
				after := f.Failure.RetryAt.Sub(w.now)
				assert.Assert(t, after >= tc.left && after <= tc.left+time.Second, "may retry after %s", after)
			}
		})
	}
}
