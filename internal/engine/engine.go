// Package engine defines interfaces to backend servers: model engines and plain
// services. The HTTP client in this package is an adapter without any routing
// logic.
package engine

import (
	"context"
	"encoding/binary"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushpond.example/bulrushpond/internal/answer"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// Stream is the request to an engine to start or resume one epoch of a model request.
type Stream struct {
	Request model.RequestID `json:"request"`
	Epoch   model.Epoch     `json:"epoch"`
	Model   string          `json:"model"`
	Route   model.Route     `json:"route"`
	Prompt  string          `json:"prompt"`
	// Tokens are the tokens already sent to the caller: the stream starts at
	// position len(Tokens).
	Tokens    []string `json:"tokens,omitempty"`
	MaxTokens int      `json:"max_tokens,omitempty"`
	Priority  int      `json:"priority,omitempty"`
	// Origin is the caller's original request, for engines that receive it unchanged;
	// nil for engines that receive this struct as JSON.
	Origin *Origin `json:"-"`
	// From is the position of the first token to return. It equals len(Tokens) if
	// Tokens is set.
	From int `json:"-"`
	// Deadline is the caller's deadline; zero means none.
	Deadline time.Time `json:"-"`
}

// Origin is a caller's original HTTP request without its hop-by-hop headers and
// credentials.
type Origin struct {
	// ID is the caller's ID of the request.
	ID     string
	Method string
	// Target is the path and query, unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Team is empty if the caller sent no API key.
	Team model.Team
	// Priority is the priority class; 0 is the most urgent.
	Priority int
	// AtMostOnce is set if the request must not be sent again after it may have run.
	AtMostOnce bool
	// Digest identifies what was asked: requests of one team with the same method, host, target and body have
	// the same digest. 0 if it is not known.
	Digest uint64
}

// DigestOf returns the digest of a request whose other fields are set.
func DigestOf(o *Origin) uint64 {
	h := xxhash.New()
	for _, part := range []string{o.Method, o.Host, o.Target, string(o.Team)} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		// Writes to a hash do not fail.
		_, _ = h.Write(length[:])
		_, _ = h.WriteString(part)
	}
	_, _ = h.Write(o.Body)
	return max(1, h.Sum64())
}

// AnswerError is a failure together with the server's error response.
type AnswerError struct {
	Failure *verdt.Error
	// Answer is the server's response; nil if none was received completely.
	Answer *Answer
	// Declined means that the server guarantees that the request has not run at any
	// stage of its chain, and will not run.
	Declined bool
	// ConnectionLost means that the server ended the connection within its answer.
	ConnectionLost bool
	// NotConnected means that no connection to the server could be made.
	NotConnected bool
}

// Error implements error.
func (e *AnswerError) Error() string { return e.Failure.Error() }

// Unwrap returns the *verdt.Error, for errors.As.
func (e *AnswerError) Unwrap() error { return e.Failure }

//go:generate enumer -type=OrderKind -transform=snake -text -output=orderkind_enumer.go

// OrderKind is the kind of a command to an engine.
type OrderKind uint8

const (
	// LoadModel replaces the engine's model and layer range.
	LoadModel OrderKind = iota
	// LoadAdapter adds an adapter to the engine's model.
	LoadAdapter
	// SetRole sets the engine's role: RoleServing or RoleEmptying.
	SetRole
)

// Roles for SetRole.
const (
	// RoleServing lets the engine accept requests.
	RoleServing = "serving"
	// RoleEmptying drains the engine: it completes its requests and accepts no more.
	RoleEmptying = "emptying"
)

// Order is one command to an engine.
type Order struct {
	Kind  OrderKind  `json:"kind"`
	Model string     `json:"model,omitempty"`
	Span  model.Span `json:"span"`
	Name  string     `json:"name,omitempty"`
	// Fence is the owner's fencing token. Engines that check it reject a token
	// below the highest that they have seen.
	Fence uint64 `json:"fence"`
}

// Engine is a model engine. Errors are *verdt.Error.
type Engine interface {
	// Open runs a stream and passes each token to sink, the end token included. It
	// returns nil only after it has passed the end token.
	Open(ctx context.Context, s Stream, sink func(model.Token)) error
	// Cancel cancels all epochs of a request up to and including the given one.
	Cancel(ctx context.Context, server string, request model.RequestID, epoch model.Epoch) error
	// Report fetches the engine's status report.
	Report(ctx context.Context, server string) (model.Report, error)
	// Order sends a command.
	Order(ctx context.Context, server string, o Order) error
}

// Call is one call to a plain service.
type Call struct {
	Address string
	Method  string
	// Path is the part of the URL after the service's name, with its query.
	Path   string
	Header http.Header
	Body   []byte
	// Key is the idempotency key to send; empty for services that don't support keys.
	Key string
}

// Answer is a complete HTTP response of a backend server.
type Answer struct {
	Status int         `json:"status" cbor:"1,keyasint"`
	Header http.Header `json:"header" cbor:"2,keyasint"`
	Body   []byte      `json:"body" cbor:"3,keyasint"`
}

// Diagnoser is an engine that reports which engines block its requests.
type Diagnoser interface {
	// BlockedBy returns the addresses of the engines that an engine is waiting for.
	BlockedBy(ctx context.Context, server string) ([]string, error)
}

// Connector checks whether servers accept connections.
type Connector interface {
	// Connect opens a connection to an address and closes it.
	Connect(ctx context.Context, address string) error
}

// Observer learns what backend servers say about themselves in their answers. Its methods may be
// called concurrently.
type Observer interface {
	answer.Observer
	// ServerLeaves reports that a server will stop soon.
	ServerLeaves(server string)
	// ServerPauses reports that a server declined a request and wants none from this daemon
	// until a time, which may be far in the future.
	ServerPauses(server string, until time.Time)
	// ServerLimits reports that a server takes only so many requests a second from all daemons
	// together.
	ServerLimits(server string, perSecond float64)
	// ServerUnlimited reports that a server answered a request without naming a limit.
	ServerUnlimited(server string)
	// InvalidHeader reports a header with a value that cannot be used.
	InvalidHeader(server, header, value string)
}

// Relay forwards callers' requests unchanged. Errors are *AnswerError.
type Relay interface {
	// Send sends a request to a backend server and returns its complete response.
	Send(ctx context.Context, to model.Member, o Origin, deadline time.Time) (Answer, error)
}

// StreamRelay forwards callers' requests whose answers are streams of events. Errors are *AnswerError.
type StreamRelay interface {
	// Open sends a request to the server of a route and passes each event of the answer to sink as soon as it has
	// arrived, and at last the end token. It returns nil only after it has passed the end token.
	Open(ctx context.Context, s Stream, sink func(model.Token)) error
}

// Service is a plain service. Errors are *verdt.Error.
type Service interface {
	Do(ctx context.Context, c Call) (Answer, error)
}
