package route

import (
	"time"

	"bulrushpond.example/bulrushpond/pkg/model"
)

// link is the connection between two successive servers of a route.
type link struct{ from, to model.ServerID }

// linkStats holds the measurements of a link and the price derived from them.
type linkStats struct {
	// gap is the smoothed time between tokens on routes over the link, in seconds.
	gap          float64
	price        float64
	observations int
}

// Links derives a price for each link between two stages from the time between tokens
// that routes over it showed. The link from a daemon to the first stage has no price.
type Links struct {
	stats map[link]*linkStats
	// typicalGap is the smoothed gap over all links into a server, in seconds. A link
	// is compared only with other links into the same server, so that a slow server is
	// not taken for a slow link.
	typicalGap map[model.ServerID]float64
}

const (
	// gapSmoothing and typicalGapSmoothing are the smoothing factors of the exponential
	// moving averages: a new observation has a weight of 1/factor.
	gapSmoothing        = 8
	typicalGapSmoothing = 64
	// maxPrice bounds a link's price, which lies between 1/maxPrice and maxPrice.
	maxPrice = 8.0
	// minPriceChange is the factor by which the computed price must differ before the
	// price changes. This hysteresis keeps routes from alternating between links that
	// differ little.
	minPriceChange = 1.15
	// minObservations is how many observations a link needs before its price may change
	// from 1.
	minObservations = 3
	// maxLinks bounds the number of links kept; at this number all are dropped.
	maxLinks = 1 << 16
)

// NewLinks returns a table without links.
func NewLinks() *Links {
	return &Links{stats: map[link]*linkStats{}, typicalGap: map[model.ServerID]float64{}}
}

// Price returns the factor by which the cost of a stage is multiplied for the link to it;
// 1 for a link without observations.
func (l *Links) Price(from, to model.ServerID) float64 {
	if len(l.stats) == 0 {
		return 1
	}
	if s := l.stats[link{from, to}]; s != nil {
		return s.price
	}
	return 1
}

// Observe updates the prices of a route's links with the route's mean time between tokens.
func (l *Links) Observe(r model.Route, gap time.Duration) {
	for i := 1; i < len(r.Hops); i++ {
		l.update(link{r.Hops[i-1].Server, r.Hops[i].Server}, gap.Seconds())
	}
}

// update adds one observation of a link. The price is the square of the ratio between the
// link's gap and the typical gap over all links into the same server.
func (l *Links) update(key link, seconds float64) {
	typical, ok := l.typicalGap[key.to]
	if !ok {
		typical = seconds
	}
	typical += (seconds - typical) / typicalGapSmoothing
	l.typicalGap[key.to] = typical
	s := l.stats[key]
	if s == nil {
		if len(l.stats) >= maxLinks {
			clear(l.stats)
		}
		s = &linkStats{gap: seconds, price: 1}
		l.stats[key] = s
	}
	s.gap += (seconds - s.gap) / gapSmoothing
	s.observations++
	if s.observations < minObservations || typical <= 0 {
		return
	}
	ratio := s.gap / typical
	target := min(maxPrice, max(1/maxPrice, ratio*ratio))
	if target > s.price*minPriceChange || target < s.price/minPriceChange {
		s.price = target
	}
}
