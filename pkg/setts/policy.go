// Package setts implements the operators' settings tree: its strict parser, the
// inheritance of settings from parent to child, the lookup of the node that sets a
// value, and the changes that lead from one revision to the next.
package setts

import (
	_ "embed"
	"time"
)

//go:embed policy.go
var policySource []byte

// Policy is the merged settings in force at one node. Each field may be set at any
// node of the tree, unless its comment says otherwise, and is inherited by the nodes
// below, which may override it. Settings are the only stored data with durations: a
// deadline as a point in time is known only once a request arrives.
type Policy struct {
	// Longest time that a request may take if the caller gives no deadline. 100ms to 1h.
	Deadline time.Duration `yaml:"deadline" min:"100ms" max:"1h"`
	// Longest deadline that a caller may request. 100ms to 24h.
	MaxDeadline time.Duration `yaml:"max_deadline" min:"100ms" max:"24h"`
	// Weight of a team relative to other teams when requests have to queue. 0.01 to 1000.
	Weight float64 `yaml:"weight" min:"0.01" max:"1000"`
	// Maximum number of concurrent requests of a team over all daemons; 0 means no limit.
	MaxRunning int `yaml:"max_running" min:"0" max:"1000000"`
	// Maximum number of requests per second of a team over all daemons; 0 means no limit.
	RequestsPerSecond float64 `yaml:"requests_per_second" min:"0" max:"1000000"`
	// Priority passed to the engines; requests with a higher priority go first. -10 to 10.
	Priority int `yaml:"priority" min:"-10" max:"10"`
	// Models that a team may use; an empty list allows all.
	AllowedModels []string `yaml:"allowed_models"`
	// Maximum size of a request body in bytes. 1 KiB to 8 MiB.
	MaxBodyBytes int `yaml:"max_body_bytes" min:"1024" max:"8388608"`
	// Maximum number of tokens in an answer. 1 to 1000000.
	MaxTokens int `yaml:"max_tokens" min:"1" max:"1000000"`
	// Maximum number of times that a request is moved to a new route after failures. 0 to 100.
	MaxRecoveries int `yaml:"max_recoveries" min:"0" max:"100"`
	// Service-level objective for the time to the first token. 1ms to 1h.
	FirstToken time.Duration `yaml:"first_token" min:"1ms" max:"1h"`
	// Service-level objective for the time between two tokens. 1ms to 1m.
	TokenGap time.Duration `yaml:"token_gap" min:"1ms" max:"1m"`
	// Share of requests that must meet the service-level objectives. 0.5 to 0.9999.
	ObjectiveShare float64 `yaml:"objective_share" min:"0.5" max:"0.9999"`
	// Whether a non-idempotent call to a plain service must carry an Idempotency-Key.
	KeyRequired bool `yaml:"key_required"`
	// How long the outcome of a call with an Idempotency-Key is kept. 1m to 24h.
	KeyRetention time.Duration `yaml:"key_retention" min:"1m" max:"24h"`
	// Whether the plain service itself honours Idempotency-Key, so that a call with a key may be retried.
	BackendTakesKeys bool `yaml:"backend_takes_keys"`
	// Whether engines reject orders with an outdated fencing token; if they do not, orders are sent only early in a lease. Only at the root.
	EnginesCheckFence bool `yaml:"engines_check_fence" at:"root"`
	// SHA-256 digests of a team's API keys, in hexadecimal. Only at nodes of kind team; not inherited.
	APIKeySHA256 []string `yaml:"api_key_sha256" at:"team"`
	// Number of layers of each model, by model name. Only at the root.
	Models map[string]int `yaml:"models" at:"root"`
	// Plain services that callers may use; an empty list allows all in the membership list.
	AllowedServices []string `yaml:"allowed_services"`
	// Backend servers to drain: they get no new requests. Only at the root.
	DrainServers []string `yaml:"drain_servers" at:"root"`
	// How long requests in progress may stay on a leaving server before they are moved. 1s to 1h. Only at the root.
	DrainGrace time.Duration `yaml:"drain_grace" min:"1s" max:"1h" at:"root"`
	// Model and layers that each engine is to hold, as MODEL FROM-TO without layer TO, such as "roster-7b 0-16"; engines that are not listed keep their layers. Only at the root.
	Placement map[string]string `yaml:"placement" at:"root"`
	// Number of journal shards; increase it only while no daemon is running. 1 to 256. Only at the root.
	Shards int `yaml:"shards" min:"1" max:"256" at:"root"`
	// Maximum number of requests queued in one daemon. 1 to 1000000. Only at the root.
	QueueLength int `yaml:"queue_length" min:"1" max:"1000000" at:"root"`
}

// Defaults returns the policy that applies without any settings.
func Defaults() Policy {
	return Policy{
		Deadline:       time.Minute,
		MaxDeadline:    10 * time.Minute,
		Weight:         1,
		MaxBodyBytes:   1 << 20,
		MaxTokens:      4096,
		MaxRecoveries:  8,
		FirstToken:     1800 * time.Millisecond,
		TokenGap:       59 * time.Millisecond,
		ObjectiveShare: 0.95,
		KeyRequired:    true,
		KeyRetention:   time.Hour,
		Models:         map[string]int{},
		Placement:      map[string]string{},
		DrainGrace:     30 * time.Second,
		Shards:         8,
		QueueLength:    1024,
	}
}
