package retry

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpond.example/bulrushpond/internal/proof"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// anyNumber draws numbers as a faulty daemon may send them.
func anyNumber(t *rapid.T, label string) float64 {
	return rapid.SampledFrom([]float64{0, 1, fleetBurst, -1, -fleetBurst, 1e9, math.MaxFloat64, -math.MaxFloat64, math.Inf(1), math.Inf(-1), math.NaN()}).Draw(t, label)
}

// TestFaultyReportsGiveNobodyMore: one daemon reports numbers that are none or out of bounds. The others are granted no
// more than the burst together, and each of their grants is a number.
func TestFaultyReportsGiveNobodyMore(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		al, now := NewAllocator(1, fleetBurst, testWindow), time.Unix(1_000_000, 0)
		sound := []model.DaemonID{"a", "b", "c"}
		held := map[model.DaemonID]float64{}
		for seq := uint64(1); seq <= 200; seq++ {
			if seq > 100 {
				faulty := Demand{Wanted: anyNumber(t, "wanted"), InUse: anyNumber(t, "in use"), Held: anyNumber(t, "held")}
				al.Exchange(now, "faulty", sharesReport(seq, faulty), 4)
			} else {
				al.Exchange(now, "faulty", sharesReport(seq, Demand{}), 4)
			}
			sum := 0.0
			for _, id := range sound {
				g := al.Exchange(now, id, sharesReport(seq, Demand{Wanted: fleetBurst, Held: held[id]}), 4)
				for _, grant := range g.Grants {
					held[id] = grant.Burst
				}
				assert.Assert(t, held[id] >= 0, "%v granted", held[id])
				sum += held[id]
			}
			assert.Assert(t, sum <= grantedShare*fleetBurst+1e-6, "%v granted", sum)
			now = now.Add(fleetExchange)
		}
	})
}

// TestFaultyGrantsStayWithinTheBurst: a hub grants what is no number or more than there is.
func TestFaultyGrantsStayWithinTheBurst(t *testing.T) {
	for _, burst := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), 1e9, -1} {
		now := time.Unix(1_000_000, 0)
		b := New(testRatio, fleetBurst, testWindow, WithShares())
		b.SetDaemons(now, 72)
		b.CountRequest(now, fleetService)
		b.ApplyGrants(now, Grants{Shared: true, Renewed: true, Hub: 1, Grants: []Grant{{Service: fleetService, Burst: burst}}, Unnamed: burst})
		for _, service := range []string{fleetService, "other"} {
			sent := 0
			for sent <= 2*fleetBurst && b.TryTake(now, service, 1) {
				sent++
			}
			assert.Assert(t, sent <= fleetBurst, "%d retries sent after a grant of %v", sent, burst)
		}
	}
}
