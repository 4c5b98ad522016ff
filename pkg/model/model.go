// Package model defines the data types that the router's packages share.
package model

import (
	"cmp"
	"net/http"
	"time"
)

// ServerID is the ID of a backend server in the platform's membership list.
type ServerID string

// DaemonID identifies a daemon and does not change during the lifetime of its VM.
type DaemonID string

// Team identifies a team by its path in the settings tree, such as
// /lisbon/rosters/a.
type Team string

// RequestID is unique within one daemon process. The upper bits are chosen at
// random at startup, so that engines can tell the requests of two daemons apart.
type RequestID uint64

// Epoch numbers the successive routes of one request, from 1. A higher epoch
// supersedes all lower ones.
type Epoch uint32

// Revision numbers the changes to the settings, from 1. It never decreases.
type Revision uint64

// Position is a point in the history of the platform's key-value service. Positions are
// ordered by Era first.
type Position struct {
	// Era counts the times that the service was restored from an older copy of itself.
	Era uint64
	// Revision counts the changes. A restore sets it back to that of the copy.
	Revision uint64
}

// Compare returns -1 if p is before other, 0 if they are equal, and 1 otherwise.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

//go:generate enumer -type=Role -transform=snake -text -output=role_enumer.go

// Role is the function of a member of the membership list.
type Role uint8

const (
	// Engine is a model engine.
	Engine Role = iota
	// Service is a server of a plain service.
	Service
	// Daemon is one of the router's own daemons.
	Daemon
)

//go:generate enumer -type=MemberState -transform=snake -text -output=memberstate_enumer.go

// MemberState is the state of a VM in the membership list.
type MemberState uint8

const (
	// Live VMs take new requests.
	Live MemberState = iota
	// Leaving VMs complete the requests in progress and take no new ones.
	Leaving
)

// Member is one entry of the platform's membership list.
type Member struct {
	// ID is unique in the list and never empty.
	ID string `json:"id"`
	// Address is an IP address and port.
	Address string      `json:"address"`
	Zone    string      `json:"availability_zone"`
	Role    Role        `json:"role"`
	State   MemberState `json:"state"`
	// Service is the name of a plain service, or of an engine's pool if the
	// platform has several; empty otherwise.
	Service string `json:"service,omitempty"`
	// Kind is the type of the engine's accelerator; empty if unknown.
	Kind string `json:"kind,omitempty"`
	// Span is the range of layers that the engine holds; empty if the engine reports it.
	Span Span `json:"span,omitzero"`
	// Slots is how many requests the server runs concurrently; 0 if unknown.
	Slots int `json:"slots,omitempty"`
	// StartedAt is when the server started, by its own clock; zero if unknown.
	StartedAt time.Time `json:"started_at,omitzero"`
}

// Span is a half-open range of layers.
type Span struct {
	// From is the first layer and To is one past the last; From < To.
	From int `json:"from" cbor:"1,keyasint"`
	To   int `json:"to" cbor:"2,keyasint"`
}

// Hop is one stage of a route: a server that runs a range of layers.
type Hop struct {
	Server  ServerID `json:"server"`
	Address string   `json:"address"`
	Span    Span     `json:"span"`
	// ImportFrom is the address of a server that still holds the KV cache of the
	// request for this stage; empty if the prefix has to be replayed.
	ImportFrom string `json:"import_from,omitempty"`
}

// Route is the chain of engines that a request runs through.
type Route struct {
	// Hops cover the model's layers in order, without gaps or overlaps.
	Hops []Hop `json:"hops"`
}

// Covers reports whether the route runs each of the layers 0 to layers-1 once, in
// order.
func (r Route) Covers(layers int) bool {
	next := 0
	for _, h := range r.Hops {
		if h.Span.From != next || h.Span.To <= h.Span.From {
			return false
		}
		next = h.Span.To
	}
	return next == layers && layers > 0
}

// Uses reports whether the server with this ID is part of the route.
func (r Route) Uses(id ServerID) bool {
	for _, h := range r.Hops {
		if h.Server == id {
			return true
		}
	}
	return false
}

// Token is one generated token, or the end of a stream.
type Token struct {
	Request RequestID `json:"request"`
	Epoch   Epoch     `json:"epoch"`
	// Position is the index of the token in the answer, from 0. With End set it is
	// the total number of tokens.
	Position int    `json:"position"`
	Text     string `json:"text"`
	// Trail is the digest of the stages that the token passed through; 0 if the
	// engine does not report it. See TrailOf.
	Trail uint64 `json:"trail,omitempty"`
	End   bool   `json:"end,omitempty"`
	// Head is the status and headers of the engine's HTTP answer. It is set on the
	// first token of an epoch if answers are passed through unchanged; nil otherwise.
	Head *AnswerHead `json:"-"`
}

// AnswerHead is the status and headers of an HTTP answer.
type AnswerHead struct {
	Status int
	Header http.Header
}

// MaxStreams returns how many streams the engine can hold at once, at least 1.
func (r Report) MaxStreams() int { return max(1, r.Slots, r.Streams) }

// rateTolerance is the relative change in an engine's token rate above which routes are
// computed again.
const rateTolerance = 0.1

// EquivalentForRouting reports whether two reports of the same engine differ too little to
// compute its routes again.
func (r Report) EquivalentForRouting(o Report) bool {
	change := r.TokensPerSecond - o.TokensPerSecond
	return r.Model == o.Model && r.Span == o.Span && r.MaxStreams() == o.MaxStreams() &&
		change <= rateTolerance*r.TokensPerSecond && -change <= rateTolerance*r.TokensPerSecond
}

// Report is the latest status report of an engine. It lags behind the engine's
// actual state.
type Report struct {
	Server ServerID `json:"server"`
	Model  string   `json:"model"`
	Span   Span     `json:"span"`
	// Slots is how many streams the engine batches at full speed; at least 1.
	Slots int `json:"slots"`
	// Streams is how many streams fit in the engine's memory; 0 means Slots. An
	// engine with only part of the layers can hold more streams than one batch,
	// since each stream spends part of its time in other stages.
	Streams int `json:"streams,omitempty"`
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// TokensPerSecond is the engine's token rate with all slots in use.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// CacheTokens is the capacity of the engine's KV cache in tokens; 0 if unknown.
	CacheTokens float64 `json:"cache_tokens,omitempty"`
	// StepTime is the duration of one decoding step of a single sequence through the
	// span, SequenceTime what each further sequence adds to it, and PrefillTimePerToken the
	// prefill time of one prompt token; 0 if unknown.
	StepTime            time.Duration `json:"step_time,omitempty"`
	SequenceTime        time.Duration `json:"sequence_time,omitempty"`
	PrefillTimePerToken time.Duration `json:"read_time,omitempty"`
	// CrossZoneTokenRate is how many tokens per second, over all streams, the link to engines in
	// another availability zone carries; 0 if unknown.
	CrossZoneTokenRate float64 `json:"cross_rate,omitempty"`
	// AnswerTokens is the mean length of the answers of the engine's service, and TokensPerEvent the
	// number of tokens in an event of their streams; 0 if unknown.
	AnswerTokens   int `json:"answer_tokens,omitempty"`
	TokensPerEvent int `json:"tokens_per_event,omitempty"`
	// Leaving means that the engine asks for no new requests.
	Leaving bool `json:"leaving,omitempty"`
	// Emptying means that the engine was ordered to take no new requests.
	Emptying bool `json:"emptying,omitempty"`
	// Fence is the highest fencing token that the engine has accepted.
	Fence      uint64    `json:"fence,omitempty"`
	ReportedAt time.Time `json:"taken"`
}
