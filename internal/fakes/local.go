package fakes

import (
	"context"
	"errors"
	"sync"

	"bulrushpond.example/bulrushpond/internal/engine"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// Local joins engine stand-ins in memory, without a network. It implements
// engine.Engine and Link.
type Local struct {
	mu      sync.Mutex
	engines map[model.ServerID]*Engine
	// dead engines answer nothing.
	dead map[model.ServerID]bool
}

// NewLocal returns a site without engines.
func NewLocal() *Local {
	return &Local{engines: map[model.ServerID]*Engine{}, dead: map[model.ServerID]bool{}}
}

// Add makes an engine. Its address is its name.
func (l *Local) Add(r model.Report) *Engine {
	e := NewEngine(r, l)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.engines[r.Server] = e
	return e
}

// Engine returns an engine that was added.
func (l *Local) Engine(id model.ServerID) *Engine {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.engines[id]
}

// Kill makes an engine stop answering.
func (l *Local) Kill(id model.ServerID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dead[id] = true
}

// Members lists the engines that were added.
func (l *Local) Members() []model.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []model.Member
	for id := range l.engines {
		list = append(list, model.Member{ID: string(id), Address: string(id), Role: model.Engine})
	}
	return list
}

func (l *Local) find(id model.ServerID) (*Engine, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.engines[id]; e != nil && !l.dead[id] {
		return e, nil
	}
	return nil, errors.New("no such engine")
}

// Export implements Link.
func (l *Local) Export(_ context.Context, address string, request model.RequestID) (int, error) {
	e, err := l.find(model.ServerID(address))
	if err != nil {
		return 0, err
	}
	return e.Export(request), nil
}

// Pass implements Link.
func (l *Local) Pass(ctx context.Context, next model.Hop, a Activation) (Activation, error) {
	e, err := l.find(next.Server)
	if err != nil {
		return a, err
	}
	done := e.Activate(ctx, a)
	if _, err := l.find(next.Server); err != nil {
		return a, err
	}
	return done, nil
}

// Open implements engine.Engine.
func (l *Local) Open(ctx context.Context, s engine.Stream, sink func(model.Token)) error {
	head := s.Route.Hops[0].Server
	e, err := l.find(head)
	if err != nil {
		return verdt.New(verdt.NotRun, verdt.StageFailed, err.Error(), verdt.Server(string(head)))
	}
	var failed error
	e.Stream(ctx, s, func(line engine.Line) {
		if failed != nil {
			return
		}
		if _, err := l.find(head); err != nil {
			failed = verdt.New(verdt.MayHaveRun, verdt.StageFailed, "head lost", verdt.Server(string(head)))
			return
		}
		if line.Error != "" {
			failed = verdt.New(verdt.MayHaveRun, verdt.StageFailed, line.Error, verdt.Server(string(line.Server)))
			return
		}
		sink(line.Token)
	})
	return failed
}

// Cancel implements engine.Engine.
func (l *Local) Cancel(_ context.Context, server string, request model.RequestID, epoch model.Epoch) error {
	e, err := l.find(model.ServerID(server))
	if err == nil {
		e.Cancel(request, epoch)
	}
	return err
}

// Report implements engine.Engine.
func (l *Local) Report(_ context.Context, server string) (model.Report, error) {
	e, err := l.find(model.ServerID(server))
	if err != nil {
		return model.Report{}, err
	}
	return e.Report(), nil
}

// Order implements engine.Engine.
func (l *Local) Order(_ context.Context, server string, o engine.Order) error {
	e, err := l.find(model.ServerID(server))
	if err != nil {
		return err
	}
	return e.Order(o)
}
