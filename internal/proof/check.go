// Package proof runs property tests with the same cases in every run.
package proof

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

const (
	// seed is what the cases of all property tests are drawn from.
	seed = "1"
	// steps is how many actions a state machine takes in one case.
	steps = "150"
)

// Check runs a property with a fixed seed, so that a run's verdict never
// depends on the day. A seed given on the command line, as
// 'go test ./internal/core/owner -rapid.seed=7', goes first.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	fix(t, "rapid.seed", seed)
	fix(t, "rapid.steps", steps)
	rapid.Check(t, property)
}

// fix sets a flag that the command line left alone.
func fix(t *testing.T, name, value string) {
	t.Helper()
	f := flag.Lookup(name)
	if f == nil || f.Value.String() != f.DefValue {
		return
	}
	if err := f.Value.Set(value); err != nil {
		t.Fatal(err)
	}
}
