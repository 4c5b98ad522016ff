package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"bulrushpond.example/bulrushpond/pkg/model"
)

// TeamLoad is one team's part of a workload.
type TeamLoad struct {
	Team model.Team
	// Share is the part of all requests.
	Share float64
	// Weight is the team's share of the capacity when it is short.
	Weight float64
}

// Workload is what callers ask.
type Workload struct {
	Name  string
	Teams []TeamLoad
	// PrefixTokens are shared by the requests of a team; PromptTokens are each
	// request's own.
	PrefixTokens, PromptTokens int
	// AnswerTokens is the mean of a geometric length, cut at four times that.
	AnswerTokens int
	Deadline     time.Duration
}

// Quintal is the all-day mix: long shared prefixes and drafts of mixed length.
func Quintal() Workload {
	w := Workload{Name: "quintal", PrefixTokens: 600, PromptTokens: 250, AnswerTokens: 120, Deadline: 30 * time.Second}
	w.Teams = teams(10, 3, 0.6)
	return w
}

// Jaring is the season's peak: short specifications, one member far ahead.
func Jaring() Workload {
	w := Workload{Name: "jaring", PrefixTokens: 300, PromptTokens: 150, AnswerTokens: 180, Deadline: 30 * time.Second}
	w.Teams = teams(10, 1, 0.5)
	return w
}

// Flood returns the workload with the first team asking more by a factor, and
// the factor by which the whole grows.
func (w Workload) Flood(factor float64) (Workload, float64) {
	total := 1 + w.Teams[0].Share*(factor-1)
	flooded := append([]TeamLoad(nil), w.Teams...)
	flooded[0].Share *= factor
	for i := range flooded {
		flooded[i].Share /= total
	}
	w.Teams = flooded
	return w, total
}

// teams makes n teams, of which the first few take a share of all requests.
func teams(n, large int, share float64) []TeamLoad {
	var all []TeamLoad
	for i := range n {
		t := TeamLoad{Team: model.Team(fmt.Sprintf("/t%02d", i)), Weight: 1, Share: (1 - share) / float64(n-large)}
		if i < large {
			t.Share = share / float64(large)
		}
		all = append(all, t)
	}
	return all
}

// meanAnswer is the mean length after the cut.
func (w Workload) meanAnswer() float64 {
	m := float64(w.AnswerTokens)
	return m * (1 - math.Exp(-4))
}

// uncachedPromptPerToken is the prompt work that no cache can save, for each
// answer token.
func (w Workload) uncachedPromptPerToken() float64 { return float64(w.PromptTokens) / w.meanAnswer() }

func (w Workload) drawAnswer(r *rand.Rand) int {
	n := int(r.ExpFloat64()*float64(w.AnswerTokens)) + 1
	return min(n, 4*w.AnswerTokens)
}

func (w Workload) drawTeam(r *rand.Rand) int {
	x := r.Float64()
	for i, t := range w.Teams {
		if x -= t.Share; x < 0 {
			return i
		}
	}
	return len(w.Teams) - 1
}
