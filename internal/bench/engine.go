package bench

import (
	"time"

	"bulrushpond.example/bulrushpond/pkg/model"
)

// job is one epoch of a request at the engines.
type job struct {
	daemon  int
	request model.RequestID
	epoch   model.Epoch
	hops    []int
	route   model.Route
	trail   uint64
	next    int
	length  int
	// prompt is what the next token needs besides: the prompt, or the replay
	// after a move, in tokens; prefix identifies its shared part.
	prompt, prefixTokens int
	prefix               uint64
	cancelled            bool
}

// item is one token of a job on its way through the stages.
type item struct {
	job *job
	hop int
}

// fakeEngine batches what waits.
type fakeEngine struct {
	spec  Engine
	queue []item
	batch []item
	busy  bool
	dead  bool
	// streams are the jobs that are here; those beyond the memory wait.
	streams  int
	resident map[*job]bool
	waiting  []item
	// cache holds prefixes, the oldest first.
	cache []uint64
	// linkFree is when each link to another engine is free again.
	linkFree map[int]time.Time
	// reported is the number of streams when the next report was taken.
	reported int
}

// start takes the next batch and returns how long it runs.
func (e *fakeEngine) start() time.Duration {
	n := min(len(e.queue), e.spec.Kind.Slots)
	e.batch = append(e.batch[:0], e.queue[:n]...)
	e.queue = append(e.queue[:0], e.queue[n:]...)
	e.busy = true
	d := e.spec.Kind.Base
	for _, it := range e.batch {
		d += e.spec.Kind.Item
		if it.job.prompt > 0 {
			d += time.Duration(e.promptWork(it.job)) * e.spec.Kind.Prefill
		}
	}
	return d
}

// promptWork returns the prompt tokens that the cache does not save.
func (e *fakeEngine) promptWork(j *job) int {
	if j.prefix == 0 {
		return j.prompt
	}
	for i, p := range e.cache {
		if p == j.prefix {
			e.cache = append(append(e.cache[:i:i], e.cache[i+1:]...), p)
			return j.prompt - j.prefixTokens
		}
	}
	e.cache = append(e.cache, j.prefix)
	if len(e.cache) > e.spec.Kind.CachePrefixes {
		e.cache = e.cache[1:]
	}
	return j.prompt
}
