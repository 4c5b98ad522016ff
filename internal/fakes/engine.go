package fakes

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushpond.example/bulrushpond/internal/engine"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// Activation is the message that stages pass on for one token.
type Activation struct {
	Request  model.RequestID `json:"request"`
	Epoch    model.Epoch     `json:"epoch"`
	Position int             `json:"position"`
	State    uint64          `json:"state"`
	Trail    uint64          `json:"trail"`
	// PromptTokens is the length of the prompt, and Prefix is a hash of its first part.
	PromptTokens int    `json:"prompt_tokens"`
	Prefix       uint64 `json:"prefix"`
	// Remaining are the stages that have not run, starting with the receiver.
	Remaining []model.Hop `json:"rest"`
	// FailedServer is the server of the stage that failed, and Error the reason.
	FailedServer model.ServerID `json:"failed,omitempty"`
	Error        string         `json:"error,omitempty"`
}

// Link calls other engines.
type Link interface {
	// Forward runs the remaining stages of an activation, starting with next.
	Forward(ctx context.Context, next model.Hop, a Activation) (Activation, error)
	// Export simulates the transfer of a request's cache entries from another engine and
	// returns how many positions that engine holds.
	Export(ctx context.Context, address string, request model.RequestID) (int, error)
}

// cacheEntry is the cache state of one request. Calls of an epoch older than epoch are refused.
type cacheEntry struct {
	epoch model.Epoch
	// positions is the number of cached positions.
	positions int
}

// Counts holds counters of a fake engine's work.
type Counts struct {
	// Replayed counts positions that were recomputed because the cache lacked them, Imported
	// those that were transferred from another engine.
	Replayed, Imported int
	// PrefixHits counts prompts whose prefix was cached.
	PrefixHits int
}

const (
	// prefixTokensSaved is the number of prompt tokens that a cached prefix saves.
	prefixTokensSaved = 128
	// maxCachedPrefixes is the capacity of an engine's prefix cache.
	maxCachedPrefixes = 8
	// maxReportAge is the age at which the load in reports is refreshed.
	maxReportAge = 500 * time.Millisecond
)

// Engine is a fake model engine that holds a range of layers. It processes as many tokens at
// a time as it has slots; the others wait.
type Engine struct {
	mu sync.Mutex
	// report is the engine's state with its current load.
	report model.Report
	// reportedRunning and reportedQueued are the load in reports, as of reportedAt.
	reportedRunning, reportedQueued int
	reportedAt                      time.Time
	cache                           map[model.RequestID]cacheEntry
	// cachedPrefixes are the hashes of cached prefixes, oldest first.
	cachedPrefixes []uint64
	counts         Counts
	link           Link
	// batchSlots is a semaphore with one place per slot.
	batchSlots chan struct{}
	// StepTime is the time per generated token at this stage, PromptTime the time per prompt
	// token.
	StepTime, PromptTime time.Duration
	// ChecksFence makes the engine refuse orders with a fencing token older than its newest.
	ChecksFence bool
}

// NewEngine returns a fake engine with the state r, which calls other engines over link.
func NewEngine(r model.Report, link Link) *Engine {
	return &Engine{
		report: r, cache: map[model.RequestID]cacheEntry{}, link: link, batchSlots: make(chan struct{}, max(1, r.Slots)),
		StepTime: time.Millisecond, PromptTime: 10 * time.Microsecond,
	}
}

// Counts returns the counters so far.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// SetLeaving sets whether the engine reports that it is leaving and takes no new work.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report.Leaving = leaving
}

// Report returns the engine's state. The load in it may be up to maxReportAge old.
func (e *Engine) Report() model.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.Sub(e.reportedAt) >= maxReportAge {
		e.reportedRunning, e.reportedQueued, e.reportedAt = e.report.Running, e.report.Queued, now
	}
	r := e.report
	r.Running, r.Queued, r.ReportedAt = e.reportedRunning, e.reportedQueued, now
	return r
}

// CachedPositions returns the number of cached positions of a request.
func (e *Engine) CachedPositions(request model.RequestID) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache[request].positions
}

// Order carries out an order. With ChecksFence it refuses orders with an old fencing token.
func (e *Engine) Order(o engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ChecksFence && o.Fence < e.report.Fence {
		return fmt.Errorf("fencing number %d is older than %d", o.Fence, e.report.Fence)
	}
	e.report.Fence = max(e.report.Fence, o.Fence)
	switch o.Kind {
	case engine.LoadModel:
		e.report.Model, e.report.Span, e.report.Emptying = o.Model, o.Span, false
	case engine.SetRole:
		e.report.Emptying = o.Name == engine.RoleEmptying
	case engine.LoadAdapter:
	}
	return nil
}

// Cancel refuses further calls of a request's epochs up to and including epoch.
func (e *Engine) Cancel(request model.RequestID, epoch model.Epoch) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if entry := e.cache[request]; entry.epoch <= epoch {
		e.cache[request] = cacheEntry{epoch: epoch + 1, positions: entry.positions}
	}
}

// prefixBytes is the length of the part of a prompt that is hashed as its prefix.
const prefixBytes = 512

// Stream generates an answer as the first stage of a route and passes its lines to sink.
func (e *Engine) Stream(ctx context.Context, s engine.Stream, sink func(engine.Line)) {
	e.addRunning(1)
	defer e.addRunning(-1)
	tokens := append([]string(nil), s.Tokens...)
	end := answerLength(s.Prompt, s.MaxTokens)
	prefix := xxhash.Sum64String(s.Prompt[:min(len(s.Prompt), prefixBytes)])
	for position := len(tokens); position < end; position++ {
		a := Activation{
			Request: s.Request, Epoch: s.Epoch, Position: position, State: initialState(s.Prompt, tokens), Remaining: s.Route.Hops,
			PromptTokens: len(s.Prompt) / 4, Prefix: prefix,
		}
		result := e.Activate(ctx, a)
		if result.Error != "" {
			sink(engine.Line{Error: result.Error, Server: result.FailedServer})
			return
		}
		text := tokenText(result.State)
		tokens = append(tokens, text)
		sink(engine.Line{Token: model.Token{Request: s.Request, Epoch: s.Epoch, Position: position, Text: text, Trail: result.Trail}})
	}
	sink(engine.Line{Token: model.Token{Request: s.Request, Epoch: s.Epoch, Position: end, End: true}})
}

// Activate runs this stage for one token and forwards the activation to the remaining stages.
func (e *Engine) Activate(ctx context.Context, a Activation) Activation {
	hop := a.Remaining[0]
	duration, err := e.prepareStep(ctx, a)
	if err == nil {
		err = e.runStep(ctx, duration)
	}
	if err != nil {
		a.FailedServer, a.Error = hop.Server, err.Error()
		return a
	}
	a.State = applyLayers(a.State, hop.Span.From, hop.Span.To)
	a.Trail = model.ExtendTrail(a.Trail, hop.Server, hop.Span)
	a.Remaining = a.Remaining[1:]
	if len(a.Remaining) == 0 {
		return a
	}
	next := a.Remaining[0]
	result, err := e.link.Forward(ctx, next, a)
	if err != nil {
		a.FailedServer, a.Error = next.Server, "stage lost: "+err.Error()
		return a
	}
	return result
}

// runStep waits for a free batch slot and occupies it for a duration.
func (e *Engine) runStep(ctx context.Context, duration time.Duration) error {
	e.addQueued(1)
	select {
	case e.batchSlots <- struct{}{}:
		e.addQueued(-1)
	case <-ctx.Done():
		e.addQueued(-1)
		return errors.New("cancelled")
	}
	defer func() { <-e.batchSlots }()
	select {
	case <-time.After(duration):
		return nil
	case <-ctx.Done():
		return errors.New("cancelled")
	}
}

// prepareStep checks the activation with claimPosition, tries to import missing positions from
// another engine, and returns how long the token takes. That includes the prompt for the first
// position, and the prompt and the replayed positions if the cache lacks some.
func (e *Engine) prepareStep(ctx context.Context, a Activation) (time.Duration, error) {
	missing, err := e.claimPosition(a)
	if err != nil {
		return 0, err
	}
	if from := a.Remaining[0].ImportFrom; missing > 0 && from != "" {
		if positions, err := e.link.Export(ctx, from, a.Request); err == nil && positions >= a.Position {
			e.updateCounts(func(c *Counts) { c.Imported += missing })
			missing = 0
		}
	}
	e.updateCounts(func(c *Counts) { c.Replayed += missing })
	prefill := missing
	if a.Position == 0 || missing > 0 {
		prefill += e.uncachedPromptTokens(a)
	}
	return e.StepTime + time.Duration(prefill)*e.PromptTime, nil
}

// claimPosition checks that the engine holds the hop's layers and that the epoch isn't outdated.
// It then records the position as cached and returns how many positions before it the cache
// lacked.
func (e *Engine) claimPosition(a Activation) (missing int, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	hop := a.Remaining[0]
	if hop.Server != e.report.Server || hop.Span != e.report.Span {
		return 0, fmt.Errorf("holds layers %d-%d as %s, not %d-%d", e.report.Span.From, e.report.Span.To, e.report.Server, hop.Span.From, hop.Span.To)
	}
	entry := e.cache[a.Request]
	if a.Epoch < entry.epoch {
		return 0, fmt.Errorf("epoch %d is older than %d", a.Epoch, entry.epoch)
	}
	e.cache[a.Request] = cacheEntry{epoch: a.Epoch, positions: a.Position + 1}
	return max(0, a.Position-entry.positions), nil
}

// uncachedPromptTokens returns the number of prompt tokens that aren't in the prefix cache, and
// caches the prefix.
func (e *Engine) uncachedPromptTokens(a Activation) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if i := slices.Index(e.cachedPrefixes, a.Prefix); i >= 0 {
		e.counts.PrefixHits++
		return max(0, a.PromptTokens-prefixTokensSaved)
	}
	e.cachedPrefixes = append(e.cachedPrefixes, a.Prefix)
	if len(e.cachedPrefixes) > maxCachedPrefixes {
		e.cachedPrefixes = e.cachedPrefixes[1:]
	}
	return a.PromptTokens
}

func (e *Engine) updateCounts(update func(*Counts)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	update(&e.counts)
}

func (e *Engine) addRunning(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report.Running += n
}

func (e *Engine) addQueued(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report.Queued += n
}
