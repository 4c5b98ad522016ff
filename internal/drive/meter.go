package drive

import (
	"maps"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bulrushpond.example/bulrushpond/pkg/verdt"
)

const (
	// histogramMaxMs is the longest time that the histograms can record; longer ones
	// are recorded as this one.
	histogramMaxMs = 120_000
	// histogramSignificantDigits is the precision of the histograms, in decimal digits.
	histogramSignificantDigits = 2
)

// Meter holds the counters and latency histograms of an Edge's requests.
type Meter struct {
	mu           sync.Mutex
	outcomes     map[string]uint64
	reasons      map[string]uint64
	cuts         map[string]uint64
	firstEvent   *hdrhistogram.Histogram
	longestPause *hdrhistogram.Histogram
	duration     *hdrhistogram.Histogram
}

// NewMeter returns a Meter with all counts at zero.
func NewMeter() *Meter {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, histogramMaxMs, histogramSignificantDigits) }
	return &Meter{outcomes: map[string]uint64{}, reasons: map[string]uint64{}, cuts: map[string]uint64{}, firstEvent: histogram(), longestPause: histogram(), duration: histogram()}
}

// count records one request that has ended.
func (m *Meter) count(req *requestState, outcome string, f *verdt.Error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outcomes[outcome]++
	if f != nil {
		m.reasons[f.Reason.String()]++
		if outcome == outcomeCut {
			m.cuts[f.Reason.String()]++
		}
	}
	if req.eventCount > 0 {
		recordMs(m.firstEvent, req.firstEvent.Milliseconds())
		recordMs(m.longestPause, req.longestPause.Milliseconds())
	}
	recordMs(m.duration, req.elapsed().Milliseconds())
}

// recordMs adds a time in milliseconds to a histogram.
func recordMs(h *hdrhistogram.Histogram, ms int64) {
	// A value outside the range is recorded as the nearest bound.
	_ = h.RecordValue(min(histogramMaxMs, max(1, ms)))
}

// LatencyQuantiles summarizes a latency histogram, in milliseconds.
type LatencyQuantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_ms"`
	P95   int64 `json:"p95_ms"`
	P99   int64 `json:"p99_ms"`
	Max   int64 `json:"max_ms"`
}

// Meters is a snapshot of a Meter: the counts since the start of the process.
type Meters struct {
	// Outcomes counts requests by outcome, Reasons counts failures by reason.
	Outcomes map[string]uint64 `json:"requests"`
	Reasons  map[string]uint64 `json:"failures"`
	// Cuts counts the streams that were cut after their caller got some of the answer, by
	// reason.
	Cuts map[string]uint64 `json:"cut_streams"`
	// FirstEvent is the time to the first event, LongestPause the longest pause between
	// two events of a stream, Duration the time to the end of the request.
	FirstEvent   LatencyQuantiles `json:"first_event"`
	LongestPause LatencyQuantiles `json:"longest_pause"`
	Duration     LatencyQuantiles `json:"whole_request"`
}

// Read returns a snapshot of the counts.
func (m *Meter) Read() Meters {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Meters{
		Outcomes: maps.Clone(m.outcomes), Reasons: maps.Clone(m.reasons), Cuts: maps.Clone(m.cuts), FirstEvent: quantilesOf(m.firstEvent), LongestPause: quantilesOf(m.longestPause), Duration: quantilesOf(m.duration),
	}
}

// quantilesOf returns the quantiles of a histogram of milliseconds.
func quantilesOf(h *hdrhistogram.Histogram) LatencyQuantiles {
	return LatencyQuantiles{Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95), P99: h.ValueAtQuantile(99), Max: h.Max()}
}
