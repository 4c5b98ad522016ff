// Package length estimates how many tokens answers will have, from what the callers expect and from
// the answers of late.
package length

import "math/bits"

const (
	// hintClasses is the number of classes of hints. A class spans a factor of two; the first holds
	// all hints below 8 tokens, the last all from 2,048 on.
	hintClasses = 10
	// ratioClasses is the number of classes of the ratio of a length to its hint, of a factor of two each
	// from 1/8 to 8.
	ratioClasses = 8
	// maxAnswers is the number of answers at which a history halves its counts, so that old answers
	// lose their weight.
	maxAnswers = 512
)

// Sketch summarizes the lengths of a service's answers of late, of one or more daemons.
type Sketch struct {
	Service string `cbor:"1,keyasint"`
	// Answers is the number of complete answers, and Tokens the sum of their lengths.
	Answers int `cbor:"2,keyasint"`
	Tokens  int `cbor:"3,keyasint"`
	// Hints sums the answers by the class of the caller's estimate; empty if the callers gave none.
	Hints []Sums `cbor:"5,keyasint,omitempty"`
}

// Sums is a number of complete answers and the sum of their lengths. It is sent as an array to stay small, so it cannot
// get further fields: other builds would not decode it.
type Sums struct {
	_       struct{} `cbor:",toarray"`
	Answers int
	Tokens  int
}

func (s *Sums) add(tokens int) {
	s.Answers++
	s.Tokens += tokens
}

func (s *Sums) halve() { s.Answers, s.Tokens = s.Answers/2, s.Tokens/2 }

func (s Sums) plus(other Sums) Sums {
	return Sums{Answers: s.Answers + other.Answers, Tokens: s.Tokens + other.Tokens}
}

// mean returns the mean length, as if a number of answers with a prior mean had been seen before. Without any
// answers, it is the prior mean.
func (s Sums) mean(prior, answers float64) float64 {
	if s.Answers == 0 {
		return prior
	}
	return (float64(s.Tokens) + answers*prior) / (float64(s.Answers) + answers)
}

// relativeTo returns the mean length relative to a more general mean.
func (s Sums) relativeTo(general float64) float64 {
	if general <= 0 {
		return 1
	}
	return s.mean(general, priorAnswers) / general
}

// Add adds another sketch of the same service if sign is 1, or subtracts it if sign is -1.
func (s *Sketch) Add(other Sketch, sign int) {
	s.Answers += sign * other.Answers
	s.Tokens += sign * other.Tokens
	classes := min(len(other.Hints), hintClasses)
	if missing := classes - len(s.Hints); missing > 0 {
		s.Hints = append(s.Hints, make([]Sums, missing)...)
	}
	for i := range classes {
		s.Hints[i].Answers += sign * other.Hints[i].Answers
		s.Hints[i].Tokens += sign * other.Hints[i].Tokens
	}
}

// Valid reports whether the sketch may be used: another daemon's sums must not be negative.
func (s *Sketch) Valid() bool {
	valid := s.Service != "" && s.Answers >= 0 && s.Tokens >= 0
	for _, h := range s.Hints {
		valid = valid && h.Answers >= 0 && h.Tokens >= 0
	}
	return valid
}

// hintClass returns the class of a hint of at least one token.
func hintClass(hint int) int {
	const smallest = 3
	return min(max(bits.Len(uint(hint))-smallest, 0), hintClasses-1)
}

// ratioClass returns the bucket of the ratio of a length to a hint.
func ratioClass(tokens, hint int) int {
	class := 0
	for bound := 0.125; class < ratioClasses-1 && float64(tokens) >= 2*bound*float64(hint); bound *= 2 {
		class++
	}
	return class
}

// history sums up complete answers.
type history struct {
	all   Sums
	hints [hintClasses]Sums
}

// add counts a complete answer; hint is 0 if the caller gave none.
func (h *history) add(hint, tokens int) {
	if h.all.Answers >= maxAnswers {
		h.halve()
	}
	h.all.add(tokens)
	if hint > 0 {
		h.hints[hintClass(hint)].add(tokens)
	}
}

func (h *history) halve() {
	h.all.halve()
	for i := range h.hints {
		h.hints[i].halve()
	}
}

// addSketch adds what other daemons saw.
func (h *history) addSketch(s Sketch) {
	h.all.Answers += s.Answers
	h.all.Tokens += s.Tokens
	for i := range min(len(s.Hints), hintClasses) {
		h.hints[i].Answers += s.Hints[i].Answers
		h.hints[i].Tokens += s.Hints[i].Tokens
	}
}

// sketch returns the history as it is told to other daemons.
func (h *history) sketch(service string) Sketch {
	s := Sketch{Service: service, Answers: h.all.Answers, Tokens: h.all.Tokens}
	if h.hints != [hintClasses]Sums{} {
		s.Hints = append(s.Hints, h.hints[:]...)
	}
	return s
}
