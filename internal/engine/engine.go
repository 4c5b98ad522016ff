// Package engine is the router's view of backend servers: model engines and
// plain services, each behind a narrow interface. The HTTP clients in this
// package are adapters and hold no decision.
package engine

import (
	"context"
	"net/http"
	"time"

	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// Stream is what an engine needs to start or resume one epoch of a request.
type Stream struct {
	Request model.RequestID `json:"request"`
	Epoch   model.Epoch     `json:"epoch"`
	Model   string          `json:"model"`
	Route   model.Route     `json:"route"`
	Prompt  string          `json:"prompt"`
	// Tokens are those that the caller already has: the stream starts at
	// position len(Tokens).
	Tokens    []string `json:"tokens,omitempty"`
	MaxTokens int      `json:"max_tokens,omitempty"`
	Priority  int      `json:"priority,omitempty"`
	// Origin is the caller's own request, for engines that are sent it as it is; nil
	// for engines that are sent this struct.
	Origin *Origin `json:"-"`
	// From is the first position wanted. It equals len(Tokens) where those are given.
	From int `json:"-"`
	// Deadline is when the caller no longer waits; zero is never.
	Deadline time.Time `json:"-"`
}

// Origin is a caller's request over HTTP, without what concerns only its connection
// and its credentials.
type Origin struct {
	// ID is the caller's name for the request.
	ID     string
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Team is empty where the caller showed no key.
	Team model.Team
	// Urgency is 0 for the most urgent requests.
	Urgency int
}

// AnswerError is a failure together with what the server answered.
type AnswerError struct {
	Failure *verdt.Error
	// Answer is the server's own answer; nil where none came whole.
	Answer *Answer
	// Declined is the server's promise that the request has not run, at no stage of
	// its chain, and will not.
	Declined bool
}

// Error implements error.
func (f *AnswerError) Error() string { return f.Failure.Error() }

// Unwrap makes the failure's *verdt.Error visible.
func (f *AnswerError) Unwrap() error { return f.Failure }

//go:generate enumer -type=OrderKind -transform=snake -text -output=orderkind_enumer.go

// OrderKind is what an engine is told to do.
type OrderKind uint8

const (
	// LoadModel replaces the engine's model and layer range.
	LoadModel OrderKind = iota
	// LoadAdapter adds an adapter to the engine's model.
	LoadAdapter
	// SetRole changes what the engine is used for.
	SetRole
)

// Names of the roles that SetRole gives.
const (
	// RoleServing engines take work.
	RoleServing = "serving"
	// RoleEmptying engines finish their work and take no more.
	RoleEmptying = "emptying"
)

// Order is one instruction to an engine.
type Order struct {
	Kind  OrderKind  `json:"kind"`
	Model string     `json:"model,omitempty"`
	Span  model.Span `json:"span"`
	Name  string     `json:"name,omitempty"`
	// Fence is the owner's fencing number. Engines that check it refuse a
	// number below the highest that they have seen.
	Fence uint64 `json:"fence"`
}

// Engine is a model engine. Errors are *verdt.Error.
type Engine interface {
	// Open runs a stream and hands each token to sink, the end included. It
	// returns nil only after the end was handed over.
	Open(ctx context.Context, s Stream, sink func(model.Token)) error
	// Cancel ends all epochs of a request up to the given one.
	Cancel(ctx context.Context, server string, request model.RequestID, epoch model.Epoch) error
	// Report reads an engine's view of itself.
	Report(ctx context.Context, server string) (model.Report, error)
	// Order gives an instruction.
	Order(ctx context.Context, server string, o Order) error
}

// Call is one call to a plain service.
type Call struct {
	Address string
	Method  string
	// Path is the part after the service's name, with its query.
	Path   string
	Header http.Header
	Body   []byte
	// Key is handed on only to services that take keys themselves.
	Key string
}

// Answer is a plain service's whole answer.
type Answer struct {
	Status int         `json:"status" cbor:"1,keyasint"`
	Header http.Header `json:"header" cbor:"2,keyasint"`
	Body   []byte      `json:"body" cbor:"3,keyasint"`
}

// Diagnoser is an engine that tells for whom its work waits.
type Diagnoser interface {
	// Stalled returns the addresses of the engines that an engine waits for.
	Stalled(ctx context.Context, server string) ([]string, error)
}

// Relay sends callers' requests on as they are. Errors are *AnswerError.
type Relay interface {
	// Send sends a request to a backend server and returns its whole answer.
	Send(ctx context.Context, to model.Member, o Origin, deadline time.Time) (Answer, error)
}

// Service is a plain service. Errors are *verdt.Error.
type Service interface {
	Do(ctx context.Context, c Call) (Answer, error)
}
