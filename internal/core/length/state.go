package length

import (
	"cmp"
	"math"
	"slices"
)

const (
	// configuredAnswers is the weight of the configured mean beside the answers of a service, in answers. The mean
	// of fewer is off by more than a tenth, as lengths differ by about as much as their mean.
	configuredAnswers = 64.0
	// priorAnswers is the weight of a more general mean beside the answers of a class, and of what is assumed of the
	// spread of lengths.
	priorAnswers = 8.0
	// hintSmoothing is the number of requests over which the share of requests with hints is
	// averaged.
	hintSmoothing = 16
	// onShare is the share of requests with hints from which on a service's answers are estimated,
	// and offShare the share below which they no longer are. They differ, so that the estimates do
	// not go on and off.
	onShare, offShare = 0.5, 0.25
	// usualSmoothing is the number of requests over which the usual estimate is averaged.
	usualSmoothing = 32
	// HeldStep is the number of tokens that a request may write until its reservation is corrected.
	HeldStep = 32
	// maxRoutes bounds the routes of a service whose answers are told apart.
	maxRoutes = 64
)

// Profile is what a service's configuration says about its answers.
type Profile struct {
	// MeanTokens is the mean length of answers; 0 if unknown.
	MeanTokens int
	// TokensPerEvent is the number of tokens in an event of a stream; at least 1.
	TokensPerEvent int
}

// Request holds the properties of a request that its estimate depends on.
type Request struct {
	Service, Route string
	// Hint is the caller's estimate; 0 if it gave none.
	Hint int
	// MaxTokens bounds the answer; 0 means no bound.
	MaxTokens int
}

// Estimate is the expected length of an answer.
type Estimate struct {
	// Tokens is the expected length, at least 1.
	Tokens int
	// Spread is the standard deviation of the lengths of the service's answers from Usual.
	Spread float64
	// Usual is the mean estimate of the service's requests of late.
	Usual float64
}

// service is what is known about a service's answers.
type service struct {
	Profile
	// on is set while answers are estimated.
	on bool
	// hinted is the smoothed share of the requests with hints, in 0..1.
	hinted float64
	own    history
	// others holds the answers of the other daemons.
	others history
	// routes holds the own answers by route, at most maxRoutes.
	routes map[string]*history
	// usual is the smoothed estimate of the requests of late; 0 before the first.
	usual float64
	// shape is the distribution of the own answers' lengths around the usual estimate.
	shape shape
	// cohort holds the answers that are followed, in the order in which they began; at most maxCohort.
	cohort []begun
	// squares is the sum of the squared differences of lengths to the usual estimate, over squared answers.
	squares, squared float64
}

// Metrics shows how good the estimates are.
type Metrics struct {
	// Estimated counts the answers that were complete and had an estimate. EstimatedTokens is the
	// sum of their estimates, AnswerTokens that of their lengths, and ErrorTokens the sum of the
	// differences without their signs.
	Estimated       uint64 `json:"estimated"`
	EstimatedTokens uint64 `json:"estimated_tokens"`
	AnswerTokens    uint64 `json:"answer_tokens"`
	ErrorTokens     uint64 `json:"error_tokens"`
	// Corrected counts the corrections of reservations while answers were written.
	Corrected uint64 `json:"corrected"`
	// HintRatios counts the answers by the ratio of their length to the caller's estimate: below 1/4, 1/4
	// to 1/2 and so on, and from 8 on.
	HintRatios [ratioClasses]uint64 `json:"hint_ratios"`
}

// State is what a daemon knows about the lengths of answers.
type State struct {
	services map[string]*service
	metrics  Metrics
}

// New returns the state of a daemon that has seen no answers.
func New() *State { return &State{services: map[string]*service{}} }

func (st *State) service(name string) *service {
	s := st.services[name]
	if s == nil {
		s = &service{Profile: Profile{TokensPerEvent: 1}, routes: map[string]*history{}, shape: newShape()}
		st.services[name] = s
	}
	return s
}

// SetProfile sets what the configuration says about a service.
func (st *State) SetProfile(name string, p Profile) {
	p.TokensPerEvent = max(1, p.TokensPerEvent)
	st.service(name).Profile = p
}

// SetOthers replaces what the other daemons saw.
func (st *State) SetOthers(sketches []Sketch) {
	for _, s := range st.services {
		s.others = history{}
	}
	for _, sketch := range sketches {
		if s := st.services[sketch.Service]; s != nil && sketch.Valid() {
			s.others.addSketch(sketch)
		}
	}
}

// Sketches returns what this daemon saw, sorted by service, without the services that have no
// estimates.
func (st *State) Sketches() []Sketch {
	var sketches []Sketch
	for name, s := range st.services {
		if s.on && s.own.all.Answers > 0 {
			sketches = append(sketches, s.own.sketch(name))
		}
	}
	slices.SortFunc(sketches, func(a, b Sketch) int { return cmp.Compare(a.Service, b.Service) })
	return sketches
}

// TokensPerEvent returns the number of tokens in an event of a service's streams.
func (st *State) TokensPerEvent(name string) int {
	if s := st.services[name]; s != nil {
		return s.TokensPerEvent
	}
	return 1
}

// Arrive counts a new request, and returns its estimate. The result is false if the service's
// answers are not estimated, because too few of its callers give hints or nothing is known yet.
func (st *State) Arrive(r Request) (Estimate, bool) {
	s := st.service(r.Service)
	seen := 0.0
	if r.Hint > 0 {
		seen = 1
	}
	s.hinted += (seen - s.hinted) / hintSmoothing
	switch {
	case s.hinted >= onShare:
		s.on = true
	case s.hinted < offShare:
		s.on = false
	}
	if !s.on || s.MeanTokens <= 0 && s.own.all.Answers+s.others.all.Answers == 0 {
		return Estimate{}, false
	}
	e := Estimate{Tokens: bounded(s.expect(r), r.MaxTokens), Spread: s.spread()}
	if s.usual == 0 {
		s.usual = float64(e.Tokens)
	}
	s.usual += (float64(e.Tokens) - s.usual) / usualSmoothing
	e.Usual = s.usual
	return e, true
}

// expect returns the expected length of an answer: the mean of the service, times how far the answers of the hint's
// class and of the route differ from it. The configured mean and the more general ones count as some answers, so a
// hint that says nothing leaves the mean as it is.
func (s *service) expect(r Request) float64 {
	all := s.own.all.plus(s.others.all)
	mean := all.mean(float64(s.MeanTokens), configuredAnswers)
	if s.MeanTokens <= 0 {
		mean = all.mean(0, 0)
	}
	if r.Hint > 0 {
		class := hintClass(r.Hint)
		mean *= s.own.hints[class].plus(s.others.hints[class]).relativeTo(all.mean(mean, 0))
	}
	route := s.routes[r.Route]
	if route == nil || s.own.all.Answers == 0 {
		return mean
	}
	ownMean := s.own.all.mean(0, 0)
	mean *= route.all.relativeTo(ownMean)
	if r.Hint > 0 {
		class := hintClass(r.Hint)
		mean *= route.hints[class].relativeTo(ownMean * route.all.relativeTo(ownMean) * s.own.hints[class].relativeTo(ownMean))
	}
	return mean
}

// spread returns the standard deviation of lengths from the usual estimate. Before there are answers,
// it is assumed to be the mean, as if answers ended at random.
func (s *service) spread() float64 {
	prior := float64(s.MeanTokens)
	if answers := s.own.all.Answers + s.others.all.Answers; answers > 0 {
		prior = float64(s.own.all.Tokens+s.others.all.Tokens) / float64(answers)
	}
	return math.Sqrt((s.squares + priorAnswers*prior*prior) / (s.squared + priorAnswers))
}

// Held returns the most cache tokens that a request is expected to hold at any time from now on: the
// prompt, what it has written so far, and the rest, as far as requests live so long. Requests that end make
// room for those that go on, so the sum over many requests counts: their lengths vary as those of late
// did, around the usual estimate. Reserving the request's own estimate would keep room for the end of each.
func (st *State) Held(r Request, e Estimate, promptTokens, written int) int {
	held := promptTokens + written + HeldStep
	if e.Usual > 0 {
		held = max(held, int(st.service(r.Service).shape.peak(float64(promptTokens), float64(written), e.Usual)))
	}
	if r.MaxTokens > 0 {
		held = min(held, promptTokens+max(r.MaxTokens, written))
	}
	return held
}

// Learn learns from a complete answer and its estimate, which is zero if it had none.
func (st *State) Learn(r Request, e Estimate, tokens int) {
	if tokens <= 0 {
		return
	}
	s := st.service(r.Service)
	s.own.add(r.Hint, tokens)
	if r.Hint > 0 {
		st.metrics.HintRatios[ratioClass(tokens, r.Hint)]++
	}
	route := s.routes[r.Route]
	if route == nil && len(s.routes) < maxRoutes {
		route = &history{}
		s.routes[r.Route] = route
	}
	if route != nil {
		route.add(r.Hint, tokens)
	}
	if e.Tokens <= 0 || e.Usual <= 0 {
		return
	}
	s.shape.add(float64(tokens) / e.Usual)
	s.squares += (float64(tokens) - e.Usual) * (float64(tokens) - e.Usual)
	if s.squared++; s.squared >= maxAnswers {
		s.squares, s.squared = s.squares/2, s.squared/2
	}
	st.metrics.Estimated++
	st.metrics.EstimatedTokens += uint64(e.Tokens)
	st.metrics.AnswerTokens += uint64(tokens)
	st.metrics.ErrorTokens += uint64(math.Abs(float64(tokens - e.Tokens)))
}

// CountCorrection counts a correction of a reservation.
func (st *State) CountCorrection() { st.metrics.Corrected++ }

// Metrics returns the metrics.
func (st *State) Metrics() Metrics { return st.metrics }

// bounded rounds an expected length to 1..maxTokens; 0 means no bound.
func bounded(tokens float64, maxTokens int) int {
	n := max(1, int(math.Round(tokens)))
	if maxTokens > 0 {
		n = min(n, maxTokens)
	}
	return n
}
