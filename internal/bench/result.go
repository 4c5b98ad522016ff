package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bulrushpond.example/bulrushpond/pkg/setts"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// TeamResult is one team's part of a result.
type TeamResult struct {
	Offered, Whole, Refused, Lost int
	// Late are whole answers whose first token missed the objective.
	Late int
}

// Result is what a run measured, after its warm-up.
type Result struct {
	// Bound and Tokens are in tokens a second. Tokens counts all that were
	// sent; Good only those of whole answers with their first token in time.
	Bound, Tokens, Good float64
	First, Gap          *hdrhistogram.Histogram
	// Recovery is the time from a stage's death to the stream's next token.
	Recovery *hdrhistogram.Histogram
	Teams    []TeamResult
	// CoreTime is the processor time of the decision core for each token.
	CoreTime time.Duration

	coreTime   time.Duration
	tokens     int
	allTokens  int
	goodTokens int
	firstLimit time.Duration
}

func newResult(p Plan, bound float64) Result {
	return Result{
		Bound: bound, First: histogram(), Gap: histogram(), Recovery: histogram(),
		Teams: make([]TeamResult, len(p.Workload.Teams)), firstLimit: setts.Defaults().FirstToken,
	}
}

func (r *Result) offered(req *request, measured bool) {
	if measured {
		r.Teams[req.team].Offered++
	}
}

func (r *Result) token(req *request, now time.Time, measured, warm bool) {
	r.allTokens++
	if warm {
		r.tokens++
	}
	if !req.diedAt.IsZero() {
		_ = r.Recovery.RecordValue(now.Sub(req.diedAt).Microseconds())
	}
	if !measured {
		return
	}
	if req.tokens == 0 {
		_ = r.First.RecordValue(req.first.Microseconds())
	} else {
		_ = r.Gap.RecordValue(now.Sub(req.last).Microseconds())
	}
}

func (r *Result) ended(req *request, f *verdt.Error, measured, warm bool) {
	if warm && f == nil && req.first <= r.firstLimit {
		r.goodTokens += req.tokens
	}
	if !measured {
		return
	}
	t := &r.Teams[req.team]
	switch {
	case f == nil:
		t.Whole++
		if req.first > r.firstLimit {
			t.Late++
		}
	case f.Verdict == verdt.NotRun:
		t.Refused++
	default:
		t.Lost++
	}
}

func (r *Result) finish(length time.Duration) {
	r.Tokens = float64(r.tokens) / length.Seconds()
	r.Good = float64(r.goodTokens) / length.Seconds()
	if r.allTokens > 0 {
		r.CoreTime = r.coreTime / time.Duration(r.allTokens)
	}
}

// Total sums the teams up.
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
