package length

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpond.example/bulrushpond/internal/proof"
	"bulrushpond.example/bulrushpond/pkg/model"
)

const meanTokens = 200

// answer returns the length of a random answer, with a median of 150 tokens and a mean of about 200.
func answer(rng *rand.Rand) int { return max(1, int(150*math.Exp(0.76*rng.NormFloat64()))) }

// hints returns the ways in which callers give hints.
func hints() map[string]func(rng *rand.Rand, tokens int) int {
	return map[string]func(rng *rand.Rand, tokens int) int{
		"exact": func(_ *rand.Rand, tokens int) int { return tokens },
		"off by 3 to either side": func(rng *rand.Rand, tokens int) int {
			if rng.IntN(2) == 0 {
				return 3 * tokens
			}
			return max(1, tokens/3)
		},
		"all 3 times too high": func(_ *rand.Rand, tokens int) int { return 3 * tokens },
		"all equal":            func(*rand.Rand, int) int { return 100 },
		"random":               func(rng *rand.Rand, _ int) int { return 1 << rng.IntN(20) },
		"some absurd": func(rng *rand.Rand, tokens int) int {
			if rng.IntN(4) == 0 {
				return 1 << 20
			}
			return tokens
		},
		"none from a quarter": func(rng *rand.Rand, tokens int) int {
			if rng.IntN(4) == 0 {
				return 0
			}
			return tokens
		},
	}
}

// replay submits requests and learns their answers. It returns the sums of the lengths and the estimates, and
// of the differences of the lengths to their estimates and to the mean, over the requests from skip on.
func replay(st *State, hint func(*rand.Rand, int) int, requests, skip int) (sum, estimated, off, offMean float64) {
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range requests {
		tokens := answer(rng)
		r := Request{Service: "s", Route: "r", Hint: hint(rng, tokens)}
		e, _ := st.Arrive(r)
		if i >= skip {
			sum += float64(tokens)
			estimated += float64(e.Tokens)
			off += math.Abs(float64(tokens - e.Tokens))
			offMean += math.Abs(float64(tokens) - meanTokens)
		}
		st.Learn(r, e, tokens)
	}
	return sum, estimated, off, offMean
}

// TestEstimatesOfAnyHints: whatever the callers' hints are, the sum of the estimates of many answers is off by
// less than the tenth of the cache that is kept free, and hints that say something make the single
// estimates better than the mean, those that say nothing no worse.
func TestEstimatesOfAnyHints(t *testing.T) {
	for name, hint := range hints() {
		t.Run(name, func(t *testing.T) {
			st := New()
			st.SetProfile("s", Profile{MeanTokens: meanTokens, TokensPerEvent: 5})
			sum, estimated, off, offMean := replay(st, hint, 2000, 500)
			t.Logf("sum of estimates / lengths %.3f, mean error / mean length %.3f, error / that of the mean %.3f", estimated/sum, off/sum, off/offMean)
			assert.Assert(t, math.Abs(estimated/sum-1) < 0.1, "the sum is off by %.3f", estimated/sum-1)
			assert.Assert(t, off < 1.05*offMean)
			if name == "exact" || name == "all 3 times too high" {
				assert.Assert(t, off < 0.5*offMean, "the hints were not used: %.3f", off/offMean)
			}
		})
	}
}

// TestRoutesDiffer: requests without hints are estimated by their route where others of the service give some.
func TestRoutesDiffer(t *testing.T) {
	st := New()
	st.SetProfile("s", Profile{MeanTokens: meanTokens})
	for range 200 {
		for route, tokens := range map[string]int{"short": 50, "long": 500} {
			r := Request{Service: "s", Route: route, Hint: 100}
			e, _ := st.Arrive(r)
			st.Learn(r, e, tokens)
		}
	}
	for route, tokens := range map[string]int{"short": 50, "long": 500} {
		for _, hint := range []int{0, 100} {
			e, ok := st.Arrive(Request{Service: "s", Route: route, Hint: hint})
			assert.Assert(t, ok)
			assert.Assert(t, math.Abs(float64(e.Tokens-tokens)) < 0.2*float64(tokens), "%s: %d", route, e.Tokens)
		}
	}
}

// TestOnlyWhereCallersGiveHints: a service whose callers give no usable hints, or few, has no estimates, and one
// whose callers stop loses them.
func TestOnlyWhereCallersGiveHints(t *testing.T) {
	st := New()
	st.SetProfile("s", Profile{MeanTokens: meanTokens})
	arrive := func(hint, n int) (on bool) {
		for range n {
			_, on = st.Arrive(Request{Service: "s", Hint: hint})
		}
		return on
	}
	assert.Assert(t, !arrive(0, 100))
	assert.Equal(t, len(st.Sketches()), 0)
	assert.Assert(t, !arrive(100, 1))
	assert.Assert(t, arrive(100, 20))
	assert.Assert(t, arrive(0, 2))
	assert.Assert(t, !arrive(0, 40))
	_, ok := New().Arrive(Request{Service: "s", Hint: 100})
	assert.Assert(t, !ok)
}

// TestFreshDaemonKnowsWhatTheFleetSaw: a daemon that starts takes the others' answers for its own, and without
// them the configured mean.
func TestFreshDaemonKnowsWhatTheFleetSaw(t *testing.T) {
	old := New()
	old.SetProfile("s", Profile{MeanTokens: meanTokens})
	exact := hints()["exact"]
	replay(old, exact, 2000, 0)
	fresh := New()
	fresh.SetProfile("s", Profile{MeanTokens: meanTokens})
	estimate := func(hint int) int {
		e, ok := Estimate{}, false
		for !ok {
			e, ok = fresh.Arrive(Request{Service: "s", Hint: hint})
		}
		return e.Tokens
	}
	assert.Equal(t, estimate(40), meanTokens)
	fresh.SetOthers(old.Sketches())
	assert.Assert(t, estimate(40) < 80 && estimate(400) > 250, "%d and %d", estimate(40), estimate(400))
	fresh.SetOthers([]Sketch{{Service: "s", Answers: -1, Tokens: -500}, {Service: "unknown", Answers: 1, Tokens: 1}})
	assert.Equal(t, estimate(40), meanTokens)
}

// TestSketchStaysSmall: the sketch of a service takes a few dozen bytes, also after many answers.
func TestSketchStaysSmall(t *testing.T) {
	const fewDozen = 8 * 12
	st := New()
	st.SetProfile("s", Profile{MeanTokens: meanTokens})
	for _, hint := range hints() {
		replay(st, hint, 1000, 0)
	}
	encoded, err := cbor.Marshal(st.Sketches())
	assert.NilError(t, err)
	assert.Assert(t, len(encoded) <= fewDozen, "%d bytes", len(encoded))
}

// TestEstimatesStayInBounds: whatever was seen, an estimate lies in 1..MaxTokens, and what a request is expected to
// hold covers its prompt and what it has written, and no more than its bound allows.
func TestEstimatesStayInBounds(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		st := New()
		st.SetProfile("s", Profile{MeanTokens: rapid.IntRange(-1, 1000).Draw(t, "mean")})
		for range rapid.IntRange(0, 60).Draw(t, "answers") {
			r := Request{
				Service: "s", Route: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "route"),
				Hint: rapid.IntRange(0, 1<<20).Draw(t, "hint"), MaxTokens: rapid.IntRange(0, 3000).Draw(t, "max"),
			}
			e, ok := st.Arrive(r)
			if ok {
				assert.Assert(t, e.Tokens >= 1 && (r.MaxTokens == 0 || e.Tokens <= r.MaxTokens))
				assert.Assert(t, e.Spread >= 0 && !math.IsNaN(e.Spread) && !math.IsInf(e.Spread, 0))
				prompt, written := rapid.IntRange(0, 5000).Draw(t, "prompt"), rapid.IntRange(0, 5000).Draw(t, "written")
				held := st.Held(r, e, prompt, written)
				assert.Assert(t, held >= prompt+written)
				if r.MaxTokens > 0 {
					assert.Assert(t, held <= prompt+max(r.MaxTokens, written))
				}
			}
			st.Learn(r, e, rapid.IntRange(-1, 1<<20).Draw(t, "tokens"))
		}
	})
}

// TestHeldCoversWhatRequestsHold: over many requests that begin at the same time, the sum of what they are
// expected to hold, and the spread that engines keep free, cover what they hold at any time later, and they fill nine
// tenths of it. Where prompts are long, what they are expected to hold suffices.
func TestHeldCoversWhatRequestsHold(t *testing.T) {
	for name, hint := range hints() {
		for _, prompt := range []int{50, 200, 760, 3000} {
			t.Run(fmt.Sprintf("%s, prompts of %d", name, prompt), func(t *testing.T) { checkHeld(t, hint, prompt) })
		}
	}
}

func checkHeld(t *testing.T, hint func(*rand.Rand, int) int, prompt int) {
	const requests, longest, longPrompt = 2000, 5000, 760
	st := New()
	st.SetProfile("s", Profile{MeanTokens: meanTokens})
	replay(st, hint, 2000, 0)
	rng := rand.New(rand.NewPCG(3, 4))
	reserved, spread := 0, 0.0
	heldAt := make([]int, longest)
	for range requests {
		tokens := answer(rng)
		r := Request{Service: "s", Route: "r", Hint: hint(rng, tokens)}
		if e, ok := st.Arrive(r); ok {
			reserved += st.Held(r, e, prompt, 0)
			spread = e.Spread
			for at := range min(tokens, longest) {
				heldAt[at] += prompt + at
			}
		}
	}
	peak := slices.Max(heldAt)
	if prompt >= longPrompt {
		assert.Assert(t, reserved >= peak, "%d of %d without the spread", reserved, peak)
	}
	reserved += int(spread * math.Sqrt(requests))
	t.Logf("peak / reserved %.3f", float64(peak)/float64(reserved))
	assert.Assert(t, reserved >= peak, "%d of %d", reserved, peak)
	assert.Assert(t, float64(peak) >= 0.9*float64(reserved), "%d of %d", peak, reserved)
}

// TestShortAnswersEndFirst guards against a daemon that has just started and takes all answers for short, as the short
// ones end first: at any time, the estimates of many requests sum up to their expected lengths but for the tenth of the
// cache that is kept free.
func TestShortAnswersEndFirst(t *testing.T) {
	const perSecond, tokensPerSecond, seconds = 50, 100, 60
	expected := 150 * math.Exp(0.76*0.76/2)
	st := New()
	st.SetProfile("s", Profile{MeanTokens: meanTokens})
	rng := rand.New(rand.NewPCG(5, 6))
	endsAt, tokensOf := map[model.RequestID]float64{}, map[model.RequestID]int{}
	for i := range perSecond * seconds {
		id, now := model.RequestID(i), float64(i)/perSecond
		for _, running := range slices.Sorted(maps.Keys(endsAt)) {
			if endsAt[running] <= now {
				delete(endsAt, running)
				st.End(running, "s", tokensOf[running], func(id model.RequestID) bool { return endsAt[id] > 0 })
			}
		}
		tokens := answer(rng)
		tokensOf[id], endsAt[id] = tokens, now+float64(tokens)/tokensPerSecond
		r := Request{Service: "s", Route: "r", Hint: 100}
		if e, ok := st.Arrive(r); ok {
			st.Begin(id, r, e)
			assert.Assert(t, math.Abs(float64(e.Tokens)/expected-1) < 0.1, "at %.1f s: estimate %d, mean %.0f", now, e.Tokens, expected)
		}
	}
	assert.Assert(t, st.service("s").own.all.Answers > 100, "no answers were learned")
}

func BenchmarkEstimate(b *testing.B) {
	st := New()
	st.SetProfile("s", Profile{MeanTokens: meanTokens})
	replay(st, hints()["exact"], 2000, 0)
	r := Request{Service: "s", Route: "r", Hint: 150, MaxTokens: 600}
	b.ReportAllocs()
	for b.Loop() {
		e, _ := st.Arrive(r)
		st.Held(r, e, 760, 0)
	}
}
