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

// Activation is what travels from stage to stage for one token.
type Activation struct {
	Request  model.RequestID `json:"request"`
	Epoch    model.Epoch     `json:"epoch"`
	Position int             `json:"position"`
	State    uint64          `json:"state"`
	Trail    uint64          `json:"trail"`
	// PromptTokens is the length of the prompt, and Prefix identifies its
	// first part.
	PromptTokens int    `json:"prompt_tokens"`
	Prefix       uint64 `json:"prefix"`
	// Rest are the stages still to run, the receiver first.
	Rest []model.Hop `json:"rest"`
	// Failed names the stage that failed, with the reason.
	Failed model.ServerID `json:"failed,omitempty"`
	Error  string         `json:"error,omitempty"`
}

// Link reaches other engines.
type Link interface {
	// Pass carries an activation to the next stage.
	Pass(ctx context.Context, next model.Hop, a Activation) (Activation, error)
	// Export asks another engine how many positions of a request its cache
	// holds, and stands for the transfer of them.
	Export(ctx context.Context, address string, request model.RequestID) (int, error)
}

type cacheRow struct {
	epoch model.Epoch
	// next is how many positions the cache holds.
	next int
}

// Counts are what an engine stand-in did.
type Counts struct {
	// Replayed are positions run again because the cache lacked them, Imported
	// those that came from another engine.
	Replayed, Imported int
	// PrefixHits are prompts whose first part was cached.
	PrefixHits int
}

const (
	// prefixTokens is how many tokens of a prompt a cached prefix saves.
	prefixTokens = 128
	// cachedPrefixes is how many prefixes an engine keeps.
	cachedPrefixes = 8
	// reportLag is how old the load in a report may be.
	reportLag = 500 * time.Millisecond
)

// Engine is a stand-in for a model engine that holds a range of layers. It
// batches as many tokens as it has slots; others wait.
type Engine struct {
	mu sync.Mutex
	// report is what the engine says of itself; its load is kept current.
	report model.Report
	// shown is the load that reports show, taken at shownAt.
	shown, queued int
	shownAt       time.Time
	cache         map[model.RequestID]cacheRow
	// prefixes are the cached prefixes, the oldest first.
	prefixes []uint64
	counts   Counts
	link     Link
	batch    chan struct{}
	// StepTime is the time for one token at this stage, PromptTime that for
	// one token of a prompt.
	StepTime, PromptTime time.Duration
	// ChecksFence makes the engine refuse orders with an old number.
	ChecksFence bool
}

// NewEngine returns an engine stand-in that reaches other engines by link.
func NewEngine(r model.Report, link Link) *Engine {
	return &Engine{
		report: r, cache: map[model.RequestID]cacheRow{}, link: link, batch: make(chan struct{}, max(1, r.Slots)),
		StepTime: time.Millisecond, PromptTime: 10 * time.Microsecond,
	}
}

// Counts returns what the engine did so far.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// SetLeaving makes the engine say that it wants no more work.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report.Leaving = leaving
}

// Report returns the engine's view of itself. Its load lags.
func (e *Engine) Report() model.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.Sub(e.shownAt) >= reportLag {
		e.shown, e.queued, e.shownAt = e.report.Running, e.report.Queued, now
	}
	r := e.report
	r.Running, r.Queued, r.Taken = e.shown, e.queued, now
	return r
}

// Export returns how many positions of a request the cache holds.
func (e *Engine) Export(request model.RequestID) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache[request].next
}

// Order obeys an instruction, or refuses one with an old fencing number.
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

// Cancel drops a request up to an epoch.
func (e *Engine) Cancel(request model.RequestID, epoch model.Epoch) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if row := e.cache[request]; row.epoch <= epoch {
		e.cache[request] = cacheRow{epoch: epoch + 1, next: row.next}
	}
}

// prefixBytes is the part of a prompt that identifies its prefix.
const prefixBytes = 512

// Stream serves the head of a route.
func (e *Engine) Stream(ctx context.Context, s engine.Stream, sink func(engine.Line)) {
	e.addRunning(1)
	defer e.addRunning(-1)
	tokens := append([]string(nil), s.Tokens...)
	end := lengthOf(s.Prompt, s.MaxTokens)
	prefix := xxhash.Sum64String(s.Prompt[:min(len(s.Prompt), prefixBytes)])
	for p := len(tokens); p < end; p++ {
		a := Activation{
			Request: s.Request, Epoch: s.Epoch, Position: p, State: seedOf(s.Prompt, tokens), Rest: s.Route.Hops,
			PromptTokens: len(s.Prompt) / 4, Prefix: prefix,
		}
		done := e.Activate(ctx, a)
		if done.Error != "" {
			sink(engine.Line{Error: done.Error, Server: done.Failed})
			return
		}
		text := wordOf(done.State)
		tokens = append(tokens, text)
		sink(engine.Line{Token: model.Token{Request: s.Request, Epoch: s.Epoch, Position: p, Text: text, Trail: done.Trail}})
	}
	sink(engine.Line{Token: model.Token{Request: s.Request, Epoch: s.Epoch, Position: end, End: true}})
}

// Activate runs this stage for one token and hands the rest on.
func (e *Engine) Activate(ctx context.Context, a Activation) Activation {
	self := a.Rest[0]
	work, err := e.admit(ctx, a)
	if err == nil {
		err = e.step(ctx, work)
	}
	if err != nil {
		a.Failed, a.Error = self.Server, err.Error()
		return a
	}
	a.State = foldSpan(a.State, self.Span.From, self.Span.To)
	a.Trail = model.ExtendTrail(a.Trail, self.Server, self.Span)
	a.Rest = a.Rest[1:]
	if len(a.Rest) == 0 {
		return a
	}
	next := a.Rest[0]
	done, err := e.link.Pass(ctx, next, a)
	if err != nil {
		a.Failed, a.Error = next.Server, "stage lost: "+err.Error()
		return a
	}
	return done
}

// step waits for a place in the batch and runs for a time.
func (e *Engine) step(ctx context.Context, work time.Duration) error {
	e.addQueued(1)
	select {
	case e.batch <- struct{}{}:
		e.addQueued(-1)
	case <-ctx.Done():
		e.addQueued(-1)
		return errors.New("cancelled")
	}
	defer func() { <-e.batch }()
	select {
	case <-time.After(work):
		return nil
	case <-ctx.Done():
		return errors.New("cancelled")
	}
}

// admit checks that the engine holds what the hop claims and that the epoch is
// the newest, and returns how long the token takes: with the prompt, or with
// what the cache lacks.
func (e *Engine) admit(ctx context.Context, a Activation) (time.Duration, error) {
	missing, err := e.check(a)
	if err != nil {
		return 0, err
	}
	if from := a.Rest[0].ImportFrom; missing > 0 && from != "" {
		if held, err := e.link.Export(ctx, from, a.Request); err == nil && held >= a.Position {
			e.count(func(c *Counts) { c.Imported += missing })
			missing = 0
		}
	}
	e.count(func(c *Counts) { c.Replayed += missing })
	prompt := missing
	if a.Position == 0 || missing > 0 {
		prompt += e.uncached(a)
	}
	return e.StepTime + time.Duration(prompt)*e.PromptTime, nil
}

// check returns how many positions before this one the cache lacks.
func (e *Engine) check(a Activation) (missing int, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	self := a.Rest[0]
	if self.Server != e.report.Server || self.Span != e.report.Span {
		return 0, fmt.Errorf("holds layers %d-%d as %s, not %d-%d", e.report.Span.From, e.report.Span.To, e.report.Server, self.Span.From, self.Span.To)
	}
	row := e.cache[a.Request]
	if a.Epoch < row.epoch {
		return 0, fmt.Errorf("epoch %d is older than %d", a.Epoch, row.epoch)
	}
	e.cache[a.Request] = cacheRow{epoch: a.Epoch, next: a.Position + 1}
	return max(0, a.Position-row.next), nil
}

// uncached returns the prompt tokens that no cached prefix saves.
func (e *Engine) uncached(a Activation) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if i := slices.Index(e.prefixes, a.Prefix); i >= 0 {
		e.counts.PrefixHits++
		return max(0, a.PromptTokens-prefixTokens)
	}
	e.prefixes = append(e.prefixes, a.Prefix)
	if len(e.prefixes) > cachedPrefixes {
		e.prefixes = e.prefixes[1:]
	}
	return a.PromptTokens
}

func (e *Engine) count(add func(*Counts)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	add(&e.counts)
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
