package even

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpond.example/bulrushpond/internal/proof"
)

// TestWeightsOfAnyNews checks that every weight is in its bounds, whatever the news say.
func TestWeightsOfAnyNews(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		b, now := NewBalance(), time.Unix(1_000_000, 0)
		layers := rapid.IntRange(1, 8).Draw(t, "layers")
		for range rapid.IntRange(1, 20).Draw(t, "rounds") {
			var rows []Row
			for range rapid.IntRange(0, 8).Draw(t, "rows") {
				rows = append(rows, Row{
					From: rapid.IntRange(0, 8).Draw(t, "from"), To: rapid.IntRange(0, 9).Draw(t, "to"),
					Room: rapid.Float64Range(0.01, 1e6).Draw(t, "room"), Others: rapid.Float64Range(0, 3).Draw(t, "others"),
					Own: rapid.Float64Range(0, 3).Draw(t, "own"), Cost: time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "cost")),
					Streams: rapid.IntRange(0, 50).Draw(t, "streams"), Zone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"),
				})
			}
			newsAt := time.Time{}
			if rapid.Bool().Draw(t, "known") {
				newsAt = now
			}
			b.SetNews(newsAt, layers, rows)
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			for i, r := range rows {
				b.CountStart()
				w := b.Weight(now, i, r.Own, r.Streams)
				assert.Assert(t, w >= minWeight && w <= maxWeight, "weight %f", w)
				assert.Assert(t, b.Evenness(i) >= 0 && b.Evenness(i) <= 1)
				assert.Assert(t, b.ByRoom(i) > 0 && !math.IsInf(b.ByRoom(i), 0), "by room %f", b.ByRoom(i))
				assert.Assert(t, !math.IsNaN(b.Correction(now, i)))
			}
		}
	})
}

// TestNewsLoseTheirWorth checks that the older the news, the less a difference in use counts.
func TestNewsLoseTheirWorth(t *testing.T) {
	b, now := NewBalance(), time.Unix(1_000_000, 0)
	b.SetNews(now, 1, []Row{{To: 1, Room: 100, Others: 0.9, Cost: 1}, {To: 1, Room: 100, Others: 0.6, Cost: 1}})
	previous := b.Weight(now, 0, 0, 0)
	assert.Assert(t, previous < 1)
	for _, age := range []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, 1500 * time.Millisecond} {
		weight := b.Weight(now.Add(age), 0, 0, 0)
		assert.Assert(t, weight >= previous, "after %s", age)
		previous = weight
	}
	assert.Assert(t, math.Abs(b.Weight(now.Add(10*time.Second), 0, 0, 0)-b.Weight(now.Add(10*time.Second), 1, 0, 0)) < 0.01)
}
