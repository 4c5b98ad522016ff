package route

import (
	"time"

	"bulrushpond.example/bulrushpond/pkg/model"
)

type link struct{ from, to model.ServerID }

type linkRow struct {
	// gap is the smoothed time between tokens of routes over the link.
	gap   float64
	price float64
	seen  int
}

// Links prices the links between stages by what they were seen to carry. The
// way from a daemon to the first stage has no price.
type Links struct {
	rows map[link]*linkRow
	// usual is the smoothed gap over all links into a server, in seconds. A
	// link is compared with its equals, so a slow server does not look like a
	// slow link.
	usual map[model.ServerID]float64
}

const (
	linkSmoothing  = 8
	usualSmoothing = 64
	// A link's price lies between 1/maxPrice and maxPrice.
	maxPrice = 8.0
	// A price changes only when it is off by this factor. Hysteresis keeps
	// routes from swinging between links that differ little.
	priceStep = 1.15
	// minSeen is how many observations a price needs.
	minSeen = 3
	// maxLinks bounds the table; at this many rows it is emptied.
	maxLinks = 1 << 16
)

// NewLinks returns an empty table.
func NewLinks() *Links { return &Links{rows: map[link]*linkRow{}, usual: map[model.ServerID]float64{}} }

// Price returns the factor by which a link makes a route dearer.
func (l *Links) Price(from, to model.ServerID) float64 {
	if len(l.rows) == 0 {
		return 1
	}
	if r := l.rows[link{from, to}]; r != nil {
		return r.price
	}
	return 1
}

// Observe takes in the mean time between tokens of a route.
func (l *Links) Observe(r model.Route, gap time.Duration) {
	for i := 1; i < len(r.Hops); i++ {
		l.update(link{r.Hops[i-1].Server, r.Hops[i].Server}, gap.Seconds())
	}
}

func (l *Links) update(key link, seconds float64) {
	usual, ok := l.usual[key.to]
	if !ok {
		usual = seconds
	}
	usual += (seconds - usual) / usualSmoothing
	l.usual[key.to] = usual
	r := l.rows[key]
	if r == nil {
		if len(l.rows) >= maxLinks {
			clear(l.rows)
		}
		r = &linkRow{gap: seconds, price: 1}
		l.rows[key] = r
	}
	r.gap += (seconds - r.gap) / linkSmoothing
	r.seen++
	if r.seen < minSeen || usual <= 0 {
		return
	}
	ratio := r.gap / usual
	fair := min(maxPrice, max(1/maxPrice, ratio*ratio))
	if fair > r.price*priceStep || fair < r.price/priceStep {
		r.price = fair
	}
}
