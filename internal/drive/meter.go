package drive

import (
	"maps"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bulrushpond.example/bulrushpond/pkg/verdt"
)

const (
	// histogramMost is the longest time that is told apart, in milliseconds.
	histogramMost = 120_000
	// histogramDigits is the precision of the histograms.
	histogramDigits = 2
)

// Meter counts the requests of an Edge.
type Meter struct {
	mu       sync.Mutex
	outcomes map[string]uint64
	reasons  map[string]uint64
	first    *hdrhistogram.Histogram
	pause    *hdrhistogram.Histogram
	took     *hdrhistogram.Histogram
}

// NewMeter returns a meter at zero.
func NewMeter() *Meter {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, histogramMost, histogramDigits) }
	return &Meter{outcomes: map[string]uint64{}, reasons: map[string]uint64{}, first: histogram(), pause: histogram(), took: histogram()}
}

// ended counts one request.
func (m *Meter) ended(t *trip, how string, f *verdt.Error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outcomes[how]++
	if f != nil {
		m.reasons[f.Reason.String()]++
	}
	if t.events > 0 {
		record(m.first, t.first.Milliseconds())
		record(m.pause, t.pause.Milliseconds())
	}
	record(m.took, t.took().Milliseconds())
}

func record(h *hdrhistogram.Histogram, ms int64) {
	// A value outside the range is counted at its edge.
	_ = h.RecordValue(min(histogramMost, max(1, ms)))
}

// Times are the quantiles of a latency, in milliseconds.
type Times struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_ms"`
	P95   int64 `json:"p95_ms"`
	P99   int64 `json:"p99_ms"`
	Most  int64 `json:"max_ms"`
}

// Meters are the counts since the start of the process.
type Meters struct {
	// Outcomes count requests by how they ended, Reasons failures by their cause.
	Outcomes map[string]uint64 `json:"requests"`
	Reasons  map[string]uint64 `json:"failures"`
	// First is the time to the first event, Pause the longest pause within each
	// stream, Took the time to the end.
	First Times `json:"first_event"`
	Pause Times `json:"longest_pause"`
	Took  Times `json:"whole_request"`
}

// Read returns the counts.
func (m *Meter) Read() Meters {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Meters{
		Outcomes: maps.Clone(m.outcomes), Reasons: maps.Clone(m.reasons), First: timesOf(m.first), Pause: timesOf(m.pause), Took: timesOf(m.took),
	}
}

func timesOf(h *hdrhistogram.Histogram) Times {
	return Times{Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95), P99: h.ValueAtQuantile(99), Most: h.Max()}
}
