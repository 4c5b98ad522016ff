package length

import (
	"slices"

	"bulrushpond.example/bulrushpond/pkg/model"
)

const (
	// batchSize is the number of answers that are learned together.
	batchSize = 32
	// maxCohort bounds the answers of a service that are followed at a time.
	maxCohort = 8 * batchSize
)

// begun is an answer that has begun and is not learned yet.
type begun struct {
	id       model.RequestID
	request  Request
	estimate Estimate
	// tokens is the length of the complete answer; 0 while it is written.
	tokens int
}

// Begin follows an answer from its first token on. Answers are learned in batches, in the order in which they began, once
// all of a batch have ended. If each was learned at its end, the short ones would come first, and a daemon that has
// just started would take all answers for short.
func (st *State) Begin(id model.RequestID, r Request, e Estimate) {
	if s := st.service(r.Service); len(s.cohort) < maxCohort {
		s.cohort = append(s.cohort, begun{id: id, request: r, estimate: e})
	}
}

// End records that an answer was complete, and learns the batches that are. running tells which requests are in
// progress; answers that were cut are not learned.
func (st *State) End(id model.RequestID, service string, tokens int, running func(model.RequestID) bool) {
	s := st.service(service)
	if i := slices.IndexFunc(s.cohort, func(b begun) bool { return b.id == id }); i >= 0 {
		s.cohort[i].tokens = tokens
	}
	inProgress := func(b begun) bool { return b.tokens == 0 && running(b.id) }
	for len(s.cohort) >= batchSize && !slices.ContainsFunc(s.cohort[:batchSize], inProgress) {
		for _, b := range s.cohort[:batchSize] {
			st.Learn(b.request, b.estimate, b.tokens)
		}
		s.cohort = slices.Delete(s.cohort, 0, batchSize)
	}
}
