package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bulrushpond.example/bulrushpond/pkg/setts"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// TeamResult counts one team's requests by outcome. Whole are complete answers, Refused
// requests that did not run, and Lost all other failures.
type TeamResult struct {
	Offered, Whole, Refused, Lost int
	// Late are complete answers whose first token came after the target latency.
	Late int
}

// Result holds the measurements of a run after its warm-up.
type Result struct {
	// Bound is the upper bound of the throughput, Tokens the throughput of all tokens sent,
	// and Good the goodput: only tokens of complete answers whose first token was in time.
	// All are in tokens per second.
	Bound, Tokens, Good float64
	// First is the time to the first token and Gap the time between tokens, in microseconds.
	First, Gap *hdrhistogram.Histogram
	// Recovery is the time from an engine failure to the stream's next token, in microseconds.
	Recovery *hdrhistogram.Histogram
	Teams    []TeamResult
	// CoreTime is the real time spent in the decision core per token.
	CoreTime time.Duration

	totalCoreTime   time.Duration
	measuredTokens  int
	allTokens       int
	goodTokens      int
	firstTokenLimit time.Duration
}

func newResult(p Plan, bound float64) Result {
	return Result{
		Bound: bound, First: histogram(), Gap: histogram(), Recovery: histogram(),
		Teams: make([]TeamResult, len(p.Workload.Teams)), firstTokenLimit: setts.Defaults().FirstToken,
	}
}

// recordOffered counts a request that arrived. Here and below, measured is set for requests
// that arrived after the warm-up, warmedUp for events that happen after it.
func (r *Result) recordOffered(req *request, measured bool) {
	if measured {
		r.Teams[req.team].Offered++
	}
}

func (r *Result) recordToken(req *request, now time.Time, measured, warmedUp bool) {
	r.allTokens++
	if warmedUp {
		r.measuredTokens++
	}
	if !req.stageDiedAt.IsZero() {
		_ = r.Recovery.RecordValue(now.Sub(req.stageDiedAt).Microseconds())
	}
	if !measured {
		return
	}
	if req.tokens == 0 {
		_ = r.First.RecordValue(req.firstTokenLatency.Microseconds())
	} else {
		_ = r.Gap.RecordValue(now.Sub(req.lastTokenAt).Microseconds())
	}
}

func (r *Result) recordEnd(req *request, failure *verdt.Error, measured, warmedUp bool) {
	if warmedUp && failure == nil && req.firstTokenLatency <= r.firstTokenLimit {
		r.goodTokens += req.tokens
	}
	if !measured {
		return
	}
	team := &r.Teams[req.team]
	switch {
	case failure == nil:
		team.Whole++
		if req.firstTokenLatency > r.firstTokenLimit {
			team.Late++
		}
	case failure.Verdict == verdt.NotRun:
		team.Refused++
	default:
		team.Lost++
	}
}

// finish computes the rates over the length of the run without its warm-up.
func (r *Result) finish(length time.Duration) {
	r.Tokens = float64(r.measuredTokens) / length.Seconds()
	r.Good = float64(r.goodTokens) / length.Seconds()
	if r.allTokens > 0 {
		r.CoreTime = r.totalCoreTime / time.Duration(r.allTokens)
	}
}

// Total returns the sum over all teams.
func (r *Result) Total() TeamResult {
	var sum TeamResult
	for _, t := range r.Teams {
		sum.Offered += t.Offered
		sum.Whole += t.Whole
		sum.Refused += t.Refused
		sum.Lost += t.Lost
		sum.Late += t.Late
	}
	return sum
}
