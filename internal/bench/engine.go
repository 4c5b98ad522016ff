package bench

import (
	"time"

	"bulrushpond.example/bulrushpond/pkg/model"
)

// job is the token stream of one request epoch through the engines of its route.
type job struct {
	// daemon is an index into run.daemons; hops are indexes into run.engines, in the order of
	// the route.
	daemon       int
	request      model.RequestID
	epoch        model.Epoch
	hops         []int
	route        model.Route
	trail        uint64
	nextPosition int
	answerTokens int
	// prefillTokens are to be processed before the next token: the prompt and, after a
	// reroute, the tokens to replay. prefixID identifies the shared part of the prompt, which
	// is prefixTokens long.
	prefillTokens, prefixTokens int
	prefixID                    uint64
	cancelled                   bool
}

// tokenStep is the work for the next token of a job at one stage of its route.
type tokenStep struct {
	job *job
	hop int
}

// fakeEngine simulates a model engine that processes queued token steps in batches.
type fakeEngine struct {
	spec  Engine
	queue []tokenStep
	batch []tokenStep
	busy  bool
	dead  bool
	// assigned counts the jobs routed over the engine. Those in resident hold memory; the
	// first steps of the others are in waitingForMemory.
	assigned         int
	resident         map[*job]bool
	waitingForMemory []tokenStep
	// cachedPrefixes is an LRU cache of prefix IDs, least recently used first.
	cachedPrefixes []uint64
	// linkFreeAt is when the link to another engine, given by its index, is free again.
	linkFreeAt map[int]time.Time
	// reportedStreams is the value of assigned when the next report to deliver was taken.
	reportedStreams int
}

// startBatch moves the head of the queue into the batch and returns the batch's duration.
func (e *fakeEngine) startBatch() time.Duration {
	size := min(len(e.queue), e.spec.Accelerator.Slots)
	e.batch = append(e.batch[:0], e.queue[:size]...)
	e.queue = append(e.queue[:0], e.queue[size:]...)
	e.busy = true
	duration := e.spec.Accelerator.BatchTime
	for _, step := range e.batch {
		duration += e.spec.Accelerator.TokenTime
		if step.job.prefillTokens > 0 {
			duration += time.Duration(e.uncachedPromptTokens(step.job)) * e.spec.Accelerator.PrefillTime
		}
	}
	return duration
}

// uncachedPromptTokens returns how many of the tokens to prefill are not in the prefix cache,
// and marks the job's prefix as most recently used.
func (e *fakeEngine) uncachedPromptTokens(j *job) int {
	if j.prefixID == 0 {
		return j.prefillTokens
	}
	for i, p := range e.cachedPrefixes {
		if p == j.prefixID {
			e.cachedPrefixes = append(append(e.cachedPrefixes[:i:i], e.cachedPrefixes[i+1:]...), p)
			return j.prefillTokens - j.prefixTokens
		}
	}
	e.cachedPrefixes = append(e.cachedPrefixes, j.prefixID)
	if len(e.cachedPrefixes) > e.spec.Accelerator.CachePrefixes {
		e.cachedPrefixes = e.cachedPrefixes[1:]
	}
	return j.prefillTokens
}
