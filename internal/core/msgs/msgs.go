// Package msgs defines the events that the decision core consumes and the commands that
// it returns. They are kept in one slice for each type, so that a streamed token
// costs no allocation. The core handles the slices in the order of the fields.
package msgs

import (
	"time"

	"bulrushpond.example/bulrushpond/internal/core/board"
	"bulrushpond.example/bulrushpond/internal/core/crash"
	"bulrushpond.example/bulrushpond/internal/core/limit"
	"bulrushpond.example/bulrushpond/internal/core/reach"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// Arrival is a model request from a caller. The prompt itself stays outside the core.
type Arrival struct {
	ID    model.RequestID
	Team  model.Team
	Model string
	// Prefix identifies the first part of the prompt, for cache affinity; 0 means none.
	Prefix       uint64
	PromptTokens int
	// MaxTokens bounds the tokens of the answer; 0 means that the caller set no bound.
	MaxTokens int
	Deadline  time.Time
	// From is the first position to send; the caller has received all before it.
	From int
	// AtMostOnce is true if the request must not be sent again after it may have run.
	AtMostOnce bool
	// MaxAttempts bounds the servers that the request may be sent to, not counting those
	// that have ended since; 0 means no bound. The number of routes is bounded by the
	// team's policy.
	MaxAttempts int
	// FirstTokenDeadline is the deadline for the first token; zero means the team's policy.
	FirstTokenDeadline time.Time
	// Parts are the IDs of the prompt parts that the request shares with others.
	Parts []uint64
	// Digest identifies what was asked, for requests that come again; 0 if it is not known.
	Digest uint64
	// Proxied is set for a request of another daemon, which cannot reach the servers itself. That
	// daemon has counted it towards the retry budget.
	Proxied bool
	// Rank is the request's priority in the routing, 0 for the most important requests.
	Rank int
	// LengthHint is the caller's estimate of the tokens of the answer; 0 if it gave none.
	LengthHint int
	// Route is the name of the request's route; empty if it has none.
	Route string
}

// StreamEnd reports that the stream of one epoch has ended.
type StreamEnd struct {
	Request model.RequestID
	Epoch   model.Epoch
	// Failure is nil if the stream was closed without an error.
	Failure *verdt.Error
	// Declined is true if the engines guarantee that no stage has run the request or
	// will run it. The verdict of one stage alone doesn't cover the others.
	Declined bool
	// ConnectionLost is true if the first server ended the connection within the answer.
	ConnectionLost bool
	// NotConnected is true if no connection to the first server could be made.
	NotConnected bool
}

// Pause reports that a server declined a request and wants none from this daemon until a time.
type Pause struct {
	Server model.ServerID
	Until  time.Time
}

// Inbox holds the events since the last tick.
type Inbox struct {
	// List is the platform's latest membership list; nil means unchanged.
	List []model.Member
	// Settings holds the latest settings in force; nil means unchanged.
	Settings *setts.EffectiveSettings
	Reports  []model.Report
	// Daemons is the number of daemons that share limits and servers; 0 means unchanged.
	Daemons int
	// BudgetDaemons is the number of daemons that shared the retry budget before this one started; 0
	// means unchanged.
	BudgetDaemons int
	// Others holds the in-flight load and the suspected engines of the other daemons. It is
	// valid until OthersUntil; a zero OthersUntil means unchanged.
	Others      board.View
	OthersUntil time.Time
	// StoredBlocks are the blocked prompt parts in the key-value service, and StoredRequestBlocks the
	// blocked requests; nil means unchanged.
	StoredBlocks, StoredRequestBlocks []crash.Block
	Arrivals                          []Arrival
	Tokens                            []model.Token
	Ends                              []StreamEnd
	// Pauses lists servers that want no requests from this daemon for a while.
	Pauses []Pause
	// Limits holds what servers said about their limits.
	Limits []limit.Statement
	// Diagnoses are the answers to Asks.
	Diagnoses []Diagnosis
	// ReachProbes are the results of the probes that Core.ReachProbes returned.
	ReachProbes []reach.Result
	// HasProxies is whether other daemons serve the models that this one does not reach; nil means unchanged.
	HasProxies *bool
	// CallerGone lists the requests whose callers closed their connections.
	CallerGone []model.RequestID
	// Stop makes the daemon accept no new requests from now on.
	Stop bool
	// End ends all requests, and makes the daemon accept no new ones.
	End bool
}

// Reset empties the inbox and keeps the slices' capacity.
func (in *Inbox) Reset() {
	*in = Inbox{
		Reports: in.Reports[:0], Arrivals: in.Arrivals[:0], Tokens: in.Tokens[:0],
		Ends: in.Ends[:0], CallerGone: in.CallerGone[:0], Diagnoses: in.Diagnoses[:0],
		Pauses: in.Pauses[:0], Limits: in.Limits[:0], ReachProbes: in.ReachProbes[:0],
	}
}

// Empty reports whether the inbox holds no event.
func (in *Inbox) Empty() bool {
	return in.List == nil && in.HasProxies == nil && in.StoredBlocks == nil && in.StoredRequestBlocks == nil && in.Settings == nil && in.Daemons == 0 && in.BudgetDaemons == 0 && !in.Stop && !in.End && in.OthersUntil.IsZero() &&
		len(in.Reports)+len(in.Arrivals)+len(in.Tokens)+len(in.Ends)+len(in.CallerGone)+len(in.Diagnoses)+len(in.Pauses)+len(in.Limits)+len(in.ReachProbes) == 0
}

// Open starts or resumes a stream.
type Open struct {
	Request model.RequestID
	Epoch   model.Epoch
	Route   model.Route
	// From is the first position to generate; the caller was sent all before it.
	From     int
	Priority int
	// Expected is the expected length of the answer in tokens, and Held the number of cache tokens that
	// were reserved for the request on each server; 0 if the answer is not estimated.
	Expected, Held int
}

// Cancel cancels a request's streams up to and including Epoch, at each hop of Route.
type Cancel struct {
	Request model.RequestID
	Epoch   model.Epoch
	Route   model.Route
}

// Ask queries an engine for the engines that its streams wait for.
type Ask struct {
	Server  model.ServerID
	Address string
	// At is the time of the tick that issued the query.
	At time.Time
}

// Diagnosis is the result of an Ask.
type Diagnosis struct {
	Server model.ServerID
	// AskedAt is the At of the Ask.
	AskedAt time.Time
	// Unresponsive is true if the engine did not answer.
	Unresponsive bool
	// Faulty lists the addresses of the engines that it waits for.
	Faulty []string
}

// Finish is the final answer to a caller.
type Finish struct {
	Request model.RequestID
	// Tokens is the number of tokens of a complete answer.
	Tokens int
	// Failure is nil for a complete answer.
	Failure *verdt.Error
	// Proxy is set if another daemon has to serve the rest of the request, from position Next on.
	// Failure is then that of a request that no other daemon takes.
	Proxy bool
	Next  int
	// Attempts is how many servers the request was sent to, without those that are cut off.
	Attempts int
}

// Notice is an event that is logged for operators.
type Notice struct {
	Kind   NoticeKind
	Server model.ServerID
	// Request is 0 if the notice concerns no single request.
	Request model.RequestID
	// Part is the prompt part that the notice concerns; 0 if it concerns none.
	Part   uint64
	Detail string
}

//go:generate enumer -type=NoticeKind -transform=snake -text -output=noticekind_enumer.go

// NoticeKind is the type of a Notice.
type NoticeKind uint8

const (
	// ServerLeaving means that a backend server is leaving and gets no new work.
	ServerLeaving NoticeKind = iota
	// ServerBack means that a backend server that was leaving gets work again.
	ServerBack
	// ServerAvoided means that a backend server failed and gets no new work for a while.
	ServerAvoided
	// StreamMoved means that a request continues on another route.
	StreamMoved
	// TokenDropped means that a token had an old epoch, a wrong position or a wrong route.
	TokenDropped
	// ListEmpty means that a membership list lost all its servers at once and was ignored.
	ListEmpty
	// ServerStalled means that other engines wait for an engine, or that it does not respond.
	ServerStalled
	// ServerPaused means that a backend server asked for a pause and gets no requests.
	ServerPaused
	// ServerLimited means that a server named a limit for requests, or none any more.
	ServerLimited
	// StreamStalled means that a stream in progress waits for a server that makes no progress.
	StreamStalled
	// PartSuspected means that engines ended under requests with a prompt part.
	PartSuspected
	// PartBlocked means that requests with a prompt part are refused.
	PartBlocked
	// PartUnblocked means that requests with a prompt part are accepted again.
	PartUnblocked
	// RequestSuspected means that engines ended under a request that came again. Part is its digest, as
	// in the next two.
	RequestSuspected
	// RequestBlocked means that a request that crashes engines is refused.
	RequestBlocked
	// RequestUnblocked means that a request that was blocked is accepted again.
	RequestUnblocked
	// ServiceCutOff means that this daemon reaches no server of a service. Detail names the service.
	ServiceCutOff
	// ServiceReached means that this daemon reaches the servers of a service again.
	ServiceReached
)

// Outbox holds the commands that result from a tick. They are to be executed in the
// order of the fields.
type Outbox struct {
	Cancels []Cancel
	// Sends come before Opens: a stream is resumed after the tokens that were sent before.
	Sends    []model.Token
	Opens    []Open
	Asks     []Ask
	Finishes []Finish
	Notices  []Notice
	// Wake is the latest time for the next tick; zero means that none is needed.
	Wake time.Time
}

// Reset empties the outbox and keeps the slices' capacity.
func (out *Outbox) Reset() {
	*out = Outbox{
		Cancels: out.Cancels[:0], Sends: out.Sends[:0], Opens: out.Opens[:0], Asks: out.Asks[:0],
		Finishes: out.Finishes[:0], Notices: out.Notices[:0],
	}
}

// Notify adds a notice.
func (out *Outbox) Notify(n Notice) { out.Notices = append(out.Notices, n) }
