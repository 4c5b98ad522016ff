package fakes

import (
	"context"
	"errors"
	"sync"

	"bulrushpond.example/bulrushpond/internal/engine"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// Local connects fake engines in memory, without a network. It implements engine.Engine and
// Link.
type Local struct {
	mu      sync.Mutex
	engines map[model.ServerID]*Engine
	// killed engines can't be called.
	killed map[model.ServerID]bool
}

// NewLocal returns a Local without engines.
func NewLocal() *Local {
	return &Local{engines: map[model.ServerID]*Engine{}, killed: map[model.ServerID]bool{}}
}

// Add creates an engine with the state r. Its address is its server ID.
func (l *Local) Add(r model.Report) *Engine {
	e := NewEngine(r, l)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.engines[r.Server] = e
	return e
}

// Engine returns an engine that was added, or nil.
func (l *Local) Engine(id model.ServerID) *Engine {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.engines[id]
}

// Kill makes all further calls of an engine fail, and those in flight.
func (l *Local) Kill(id model.ServerID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.killed[id] = true
}

// Members returns the engines as members of the platform's list, killed ones too.
func (l *Local) Members() []model.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	var members []model.Member
	for id := range l.engines {
		members = append(members, model.Member{ID: string(id), Address: string(id), Role: model.Engine})
	}
	return members
}

// find returns a live engine.
func (l *Local) find(id model.ServerID) (*Engine, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.engines[id]; e != nil && !l.killed[id] {
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
	return e.CachedPositions(request), nil
}

// Forward implements Link.
func (l *Local) Forward(ctx context.Context, next model.Hop, a Activation) (Activation, error) {
	e, err := l.find(next.Server)
	if err != nil {
		return a, err
	}
	result := e.Activate(ctx, a)
	if _, err := l.find(next.Server); err != nil {
		return a, err
	}
	return result, nil
}

// Open implements engine.Engine.
func (l *Local) Open(ctx context.Context, s engine.Stream, sink func(model.Token)) error {
	head := s.Route.Hops[0].Server
	e, err := l.find(head)
	if err != nil {
		return verdt.New(verdt.NotRun, verdt.StageFailed, err.Error(), verdt.Server(string(head)))
	}
	var failure error
	e.Stream(ctx, s, func(line engine.Line) {
		if failure != nil {
			return
		}
		if _, err := l.find(head); err != nil {
			failure = verdt.New(verdt.MayHaveRun, verdt.StageFailed, "head lost", verdt.Server(string(head)))
			return
		}
		if line.Error != "" {
			failure = verdt.New(verdt.MayHaveRun, verdt.StageFailed, line.Error, verdt.Server(string(line.Server)))
			return
		}
		sink(line.Token)
	})
	return failure
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
