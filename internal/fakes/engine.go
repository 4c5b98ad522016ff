package fakes

import (
	"context"
	"fmt"
	"sync"
	"time"

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
	// Rest are the stages still to run, the receiver first.
	Rest []model.Hop `json:"rest"`
	// Failed names the stage that failed, with the reason.
	Failed model.ServerID `json:"failed,omitempty"`
	Error  string         `json:"error,omitempty"`
}

// Link carries an activation to the next stage.
type Link func(ctx context.Context, next model.Hop, a Activation) (Activation, error)

type cacheRow struct {
	epoch model.Epoch
	next  int
}

// Engine is a stand-in for a model engine that holds a range of layers.
type Engine struct {
	mu sync.Mutex
	// report is what the engine says of itself; Running is kept current.
	report model.Report
	cache  map[model.RequestID]cacheRow
	link   Link
	// StepTime is the time for one token at this stage.
	StepTime time.Duration
	// ChecksFence makes the engine refuse orders with an old number.
	ChecksFence bool
	// Replayed counts positions run again because the cache lacked them.
	Replayed int
}

// NewEngine returns an engine stand-in that reaches other stages by link.
func NewEngine(r model.Report, link Link) *Engine {
	return &Engine{report: r, cache: map[model.RequestID]cacheRow{}, link: link, StepTime: time.Millisecond}
}

// SetLeaving makes the engine say that it wants no more work.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report.Leaving = leaving
}

// Report returns the engine's view of itself.
func (e *Engine) Report() model.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.report
	r.Taken = time.Now()
	return r
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

// Stream serves the head of a route.
func (e *Engine) Stream(ctx context.Context, s engine.Stream, sink func(engine.Line)) {
	e.addRunning(1)
	defer e.addRunning(-1)
	tokens := append([]string(nil), s.Tokens...)
	end := lengthOf(s.Prompt, s.MaxTokens)
	for p := len(tokens); p < end; p++ {
		a := Activation{Request: s.Request, Epoch: s.Epoch, Position: p, State: seedOf(s.Prompt, tokens), Rest: s.Route.Hops}
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
	if err := e.admit(a); err != nil {
		a.Failed, a.Error = self.Server, err.Error()
		return a
	}
	select {
	case <-time.After(e.StepTime):
	case <-ctx.Done():
		a.Failed, a.Error = self.Server, "cancelled"
		return a
	}
	a.State = foldSpan(a.State, self.Span.From, self.Span.To)
	a.Trail = model.ExtendTrail(a.Trail, self.Server, self.Span)
	a.Rest = a.Rest[1:]
	if len(a.Rest) == 0 {
		return a
	}
	next := a.Rest[0]
	done, err := e.link(ctx, next, a)
	if err != nil {
		a.Failed, a.Error = next.Server, "stage lost: "+err.Error()
		return a
	}
	return done
}

// admit checks that the engine holds what the hop claims and that the epoch is
// the newest, and keeps account of the cache.
func (e *Engine) admit(a Activation) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	self := a.Rest[0]
	if self.Server != e.report.Server || self.Span != e.report.Span {
		return fmt.Errorf("holds layers %d-%d as %s, not %d-%d", e.report.Span.From, e.report.Span.To, e.report.Server, self.Span.From, self.Span.To)
	}
	row := e.cache[a.Request]
	if a.Epoch < row.epoch {
		return fmt.Errorf("epoch %d is older than %d", a.Epoch, row.epoch)
	}
	if a.Position > row.next && self.ImportFrom == "" {
		e.Replayed += a.Position - row.next
	}
	e.cache[a.Request] = cacheRow{epoch: a.Epoch, next: a.Position + 1}
	return nil
}

func (e *Engine) addRunning(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report.Running += n
}
