// Package setts is the operators' settings tree: its strict parser, the merge
// from parent to child, the explanation of where a value comes from, and the
// ordered changes that lead from one revision to the next.
package setts

import (
	_ "embed"
	"time"
)

//go:embed policy.go
var policySource []byte

// Policy is what is in force at one node after the merge. Each field may be
// set at any node of the tree, unless its comment says otherwise, and holds for
// the nodes below until one of them says otherwise. Settings are the one place
// where a duration is stored: a deadline cannot be known before a request.
type Policy struct {
	// Time that a request may take when the caller gives no deadline. 100ms to 1h.
	Deadline time.Duration `yaml:"deadline" min:"100ms" max:"1h"`
	// Longest deadline that a caller may ask for. 100ms to 24h.
	MaxDeadline time.Duration `yaml:"max_deadline" min:"100ms" max:"24h"`
	// Share of a team in a full system, relative to other teams. 0.01 to 1000.
	Weight float64 `yaml:"weight" min:"0.01" max:"1000"`
	// Most requests of a team that run at once over all daemons; 0 is no limit.
	MaxRunning int `yaml:"max_running" min:"0" max:"1000000"`
	// Most requests a second of a team over all daemons; 0 is no limit.
	RequestsPerSecond float64 `yaml:"requests_per_second" min:"0" max:"1000000"`
	// Priority handed to the engines; higher goes first. -10 to 10.
	Priority int `yaml:"priority" min:"-10" max:"10"`
	// Models that a team may use; an empty list allows all.
	AllowedModels []string `yaml:"allowed_models"`
	// Largest request body in bytes. 1 KiB to 8 MiB.
	MaxBodyBytes int `yaml:"max_body_bytes" min:"1024" max:"8388608"`
	// Most tokens in one answer. 1 to 1000000.
	MaxTokens int `yaml:"max_tokens" min:"1" max:"1000000"`
	// Most new routes for one request after failures. 0 to 100.
	MaxRecoveries int `yaml:"max_recoveries" min:"0" max:"100"`
	// Service-level objective for the first token. 1ms to 1h.
	FirstToken time.Duration `yaml:"first_token" min:"1ms" max:"1h"`
	// Service-level objective for the time between two tokens. 1ms to 1m.
	TokenGap time.Duration `yaml:"token_gap" min:"1ms" max:"1m"`
	// Share of requests that must meet the objectives. 0.5 to 0.9999.
	ObjectiveShare float64 `yaml:"objective_share" min:"0.5" max:"0.9999"`
	// Whether a call to a plain service that is not idempotent needs an Idempotency-Key.
	KeyRequired bool `yaml:"key_required"`
	// Time for which the outcome of a key is kept. 1m to 24h.
	KeyRetention time.Duration `yaml:"key_retention" min:"1m" max:"24h"`
	// Whether the plain service itself honours Idempotency-Key, so that a call with a key may be repeated.
	BackendTakesKeys bool `yaml:"backend_takes_keys"`
	// Whether engines refuse orders with an old fencing number; where they do not, orders go out only early in a lease. Only at the root.
	EnginesCheckFence bool `yaml:"engines_check_fence" at:"root"`
	// SHA-256 of the API keys of a team, in hexadecimal. Only at nodes of kind team; not inherited.
	APIKeySHA256 []string `yaml:"api_key_sha256" at:"team"`
	// Names of the models with their number of layers. Only at the root.
	Models map[string]int `yaml:"models" at:"root"`
	// Plain services that callers may reach; an empty list allows all that the membership list names.
	AllowedServices []string `yaml:"allowed_services"`
	// Backend servers that get no new work. Only at the root.
	DrainServers []string `yaml:"drain_servers" at:"root"`
	// Time that work in progress may take on a leaving server before it is moved. 1s to 1h. Only at the root.
	DrainGrace time.Duration `yaml:"drain_grace" min:"1s" max:"1h" at:"root"`
	// What each model engine is to hold, as MODEL FROM-TO, such as "roster-7b 0-16"; engines that are not named keep what they hold. Only at the root.
	Placement map[string]string `yaml:"placement" at:"root"`
	// Number of journal shards; raise it only while no daemon runs. 1 to 256. Only at the root.
	Shards int `yaml:"shards" min:"1" max:"256" at:"root"`
	// Most requests that wait in one daemon. 1 to 1000000. Only at the root.
	QueueLength int `yaml:"queue_length" min:"1" max:"1000000" at:"root"`
}

// Defaults returns the policy at the root before any setting.
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
