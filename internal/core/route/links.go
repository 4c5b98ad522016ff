package route

import (
	"time"

	"bulrushpond.example/bulrushpond/pkg/model"
)

type link struct{ from, to model.ServerID }

type linkRow struct {
	// gap is the smoothed time between tokens of routes over the link.
	gap float64
	// price is at least 1.
	price float64
	seen  int
}

// Links prices the links between stages by what they were seen to carry. The
// first stage's link comes from the empty name, so that slow servers are priced
// the same way.
type Links struct {
	rows map[link]*linkRow
	// usual is the smoothed gap over all routes, in seconds.
	usual float64
}

const (
	linkSmoothing = 8
	maxPrice      = 8
	// A price changes only when it is off by this factor. Hysteresis keeps
	// routes from swinging between links that differ little.
	priceStep = 1.5
	// minSeen is how many observations a price needs.
	minSeen = 3
	// maxLinks bounds the table; at this many rows it is emptied.
	maxLinks = 1 << 16
)

// NewLinks returns an empty table.
func NewLinks() *Links { return &Links{rows: map[link]*linkRow{}} }

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
	seconds := gap.Seconds()
	if l.usual == 0 {
		l.usual = seconds
	}
	l.usual += (seconds - l.usual) / (linkSmoothing * linkSmoothing)
	prev := model.ServerID("")
	for _, h := range r.Hops {
		l.update(link{prev, h.Server}, seconds)
		prev = h.Server
	}
}

func (l *Links) update(key link, seconds float64) {
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
	if r.seen < minSeen || l.usual <= 0 {
		return
	}
	fair := min(maxPrice, max(1, r.gap/l.usual))
	if fair > r.price*priceStep || fair < r.price/priceStep {
		r.price = fair
	}
}
