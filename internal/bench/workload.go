package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"bulrushpond.example/bulrushpond/pkg/model"
)

// TeamLoad is the load of one team in a workload.
type TeamLoad struct {
	Team model.Team
	// Share is the team's share of all requests.
	Share float64
	// Weight sets the team's share of the capacity under overload.
	Weight float64
}

// Workload describes the requests of all callers.
type Workload struct {
	Name  string
	Teams []TeamLoad
	// PrefixTokens is the length of the prompt prefix that a team's requests share;
	// PromptTokens is the length of the rest of the prompt.
	PrefixTokens, PromptTokens int
	// AnswerTokens is the mean of the geometrically distributed answer length, which is
	// truncated at four times the mean.
	AnswerTokens int
	Deadline     time.Duration
}

// Quintal returns the daily mix: long shared prefixes and drafts of mixed length. Three of
// ten teams send 60 % of the requests.
func Quintal() Workload {
	w := Workload{Name: "quintal", PrefixTokens: 600, PromptTokens: 250, AnswerTokens: 120, Deadline: 30 * time.Second}
	w.Teams = newTeams(10, 3, 0.6)
	return w
}

// Jaring returns the seasonal peak: short specifications, and one of ten teams sends half of
// the requests.
func Jaring() Workload {
	w := Workload{Name: "jaring", PrefixTokens: 300, PromptTokens: 150, AnswerTokens: 180, Deadline: 30 * time.Second}
	w.Teams = newTeams(10, 1, 0.5)
	return w
}

// Flood returns the workload with the first team's requests multiplied by a factor, and the
// factor by which the total load grows.
func (w Workload) Flood(factor float64) (Workload, float64) {
	growth := 1 + w.Teams[0].Share*(factor-1)
	flooded := append([]TeamLoad(nil), w.Teams...)
	flooded[0].Share *= factor
	for i := range flooded {
		flooded[i].Share /= growth
	}
	w.Teams = flooded
	return w, growth
}

// newTeams returns n teams. The first large of them together send a share of all requests,
// the others send the rest.
func newTeams(n, large int, share float64) []TeamLoad {
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

// meanAnswerTokens returns the mean answer length after truncation.
func (w Workload) meanAnswerTokens() float64 {
	m := float64(w.AnswerTokens)
	return m * (1 - math.Exp(-4))
}

// uncachedPromptPerToken returns the number of prompt tokens that no cache can hold, per
// answer token.
func (w Workload) uncachedPromptPerToken() float64 {
	return float64(w.PromptTokens) / w.meanAnswerTokens()
}

func (w Workload) drawAnswerTokens(r *rand.Rand) int {
	n := int(r.ExpFloat64()*float64(w.AnswerTokens)) + 1
	return min(n, 4*w.AnswerTokens)
}

func (w Workload) drawTeam(r *rand.Rand) int {
	point := r.Float64()
	for i, t := range w.Teams {
		if point -= t.Share; point < 0 {
			return i
		}
	}
	return len(w.Teams) - 1
}
