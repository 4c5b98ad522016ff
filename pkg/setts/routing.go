package setts

import (
	"time"

	"bulrushpond.example/bulrushpond/pkg/model"
)

// Routing is the routing table: it maps a request's host and path to services and
// holds the rules for the request. It is immutable.
type Routing struct {
	// Revision increases with every change.
	Revision model.Revision
	Routes   []RouteRule
	Services map[string]ServiceRule
	// Teams is nil if callers need no API key. If it is empty or no team has a key, every request that needs one is refused.
	Teams  map[model.Team]TeamRule
	Limits CallerLimits
}

//go:generate enumer -type=Repetition -transform=snake -text -output=repetition_enumer.go

// Repetition says whether a request may run more than once.
type Repetition uint8

const (
	// Once means that the request runs at most once.
	Once Repetition = iota
	// Idempotent means that the request may run more than once.
	Idempotent
	// Streaming means that the answer is a stream of numbered events. The request
	// runs at most once, unless its route is resumable.
	Streaming
)

// RouteRule is one route: it selects requests by host and path prefix.
type RouteRule struct {
	Name string
	// Host is matched without its port. Prefix is a path prefix that begins and ends
	// with a slash.
	Host, Prefix string
	Repetition   Repetition
	// Timeout is the maximum duration of a request.
	Timeout time.Duration
	// TargetLatency is the target latency: the time to the first byte of the answer that
	// callers expect.
	TargetLatency time.Duration
	// Priority is 0 for the most urgent requests; higher values are less urgent.
	Priority int
	// Shares are the services that requests are distributed over; at least one.
	Shares []ServiceShare
	// MaxAttempts is how many backend servers a request may be sent to; at least 1.
	MaxAttempts int
	// Public means that callers need no API key.
	Public bool
	// Resumable means that a stream may continue on another engine after its last
	// event.
	Resumable bool
	// Unusable means that the rule cannot be read but for its name, host and prefix. Its requests are refused.
	Unusable bool
}

// ServiceShare is a service's share of the requests of a route.
type ServiceShare struct {
	Service string
	// Weight is relative to the route's other shares; at least 0.
	Weight float64
}

// ServiceRule describes one service behind the router.
type ServiceRule struct {
	Name string
	// Engine is nil for a plain service.
	Engine *EngineProfile
}

// EngineProfile describes a service's model engines: how much memory the layers and
// KV caches take, and how long decoding and prefill take.
type EngineProfile struct {
	// Layers is the number of layers of the model; 0 if each engine holds all of them.
	Layers int
	// LayerBytes is the size of the weights of one layer.
	LayerBytes float64
	// TokenBytes is the size of the KV cache of one token over all layers.
	TokenBytes float64
	// Slots is how many requests are sent to an engine concurrently.
	Slots int
	// StepTime is the duration of one decoding step through all layers at StepTimeFactor 1,
	// SequenceTime what each sequence in the batch adds to it.
	StepTime, SequenceTime time.Duration
	// PrefillRate is the prefill rate through all layers at PrefillTimeFactor 1, in prompt tokens
	// per second.
	PrefillRate float64
	// LoadTime is the time to load all layers.
	LoadTime time.Duration
	// LoadsAtOnce is how many loads may run at once at full speed; more slow each other down in proportion. 0 if unknown.
	LoadsAtOnce int
	// ActivationBytes is the size of the activations of one token that a stage sends to
	// the next. PipeBandwidth is the bandwidth between two availability zones, shared by all
	// engines, in bytes per second. 0 if unknown.
	ActivationBytes, PipeBandwidth float64
	// MeanPromptTokens and MeanAnswerTokens are the mean lengths of prompts and answers in tokens.
	MeanPromptTokens, MeanAnswerTokens int
	// TokensPerEvent is the number of tokens in an event of a stream; 0 if unknown.
	TokensPerEvent int
	// Kinds are the accelerator types by name.
	Kinds map[string]EngineKind
}

// EngineKind describes an accelerator type.
type EngineKind struct {
	// Bytes is the memory for layers and KV caches.
	Bytes float64
	// StepTimeFactor and PrefillTimeFactor are factors on the time of a decoding step and of prefill.
	StepTimeFactor, PrefillTimeFactor float64
}

// HasLayers reports whether the model has all layers of a span. An empty span is part of every model, and every span
// is one of a model that each engine holds whole.
func (p EngineProfile) HasLayers(span model.Span) bool {
	return p.Layers == 0 || (span.From >= 0 && span.From <= span.To && span.To <= p.Layers)
}

// MaxLayers returns the maximum number of layers that an engine of an accelerator type
// can hold together with the KV caches of a number of tokens.
func (p EngineProfile) MaxLayers(kind string, tokens float64) int {
	k, ok := p.Kinds[kind]
	if !ok || p.Layers == 0 {
		return 0
	}
	perLayer := p.LayerBytes + tokens*p.TokenBytes/float64(p.Layers)
	if perLayer <= 0 {
		return p.Layers
	}
	return min(p.Layers, int(k.Bytes/perLayer))
}

// CacheTokens returns the KV cache capacity, in tokens, of an engine that holds a number of
// layers.
func (p EngineProfile) CacheTokens(kind string, layers int) float64 {
	k, ok := p.Kinds[kind]
	if !ok || layers <= 0 || p.TokenBytes <= 0 {
		return 0
	}
	perToken := p.TokenBytes / float64(p.Layers) * float64(layers)
	return max(0, k.Bytes-float64(layers)*p.LayerBytes) / perToken
}

// CrossZoneTokenRate returns how many tokens per second the link between two availability zones
// carries; 0 if unknown.
func (p EngineProfile) CrossZoneTokenRate() float64 {
	if p.ActivationBytes <= 0 {
		return 0
	}
	return p.PipeBandwidth / p.ActivationBytes
}

// LayerStepTime returns the duration of one decoding step through one layer on an
// accelerator type, with a number of sequences in the batch.
func (p EngineProfile) LayerStepTime(kind string, sequences float64) time.Duration {
	k, ok := p.Kinds[kind]
	if !ok || p.Layers == 0 {
		return 0
	}
	step := float64(p.StepTime) + sequences*float64(p.SequenceTime)
	return time.Duration(step * k.StepTimeFactor / float64(p.Layers))
}

// LayerPrefillTime returns the prefill time through one layer of a prompt with a number of
// tokens, on an accelerator type.
func (p EngineProfile) LayerPrefillTime(kind string, tokens float64) time.Duration {
	k, ok := p.Kinds[kind]
	if !ok || p.Layers == 0 || p.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(tokens / p.PrefillRate * k.PrefillTimeFactor / float64(p.Layers) * float64(time.Second))
}

// TeamRule is the routing rule of one team.
type TeamRule struct {
	// Keys are the API keys in force.
	Keys []string
	// Priority overrides the route's priority unless it is nil.
	Priority *int
}

// CallerLimits are the limits on connections and requests of callers.
type CallerLimits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is the maximum time until a request's headers have arrived.
	HeaderTimeout time.Duration
	// IdleTimeout is the maximum time that a connection may stay idle.
	IdleTimeout time.Duration
}
