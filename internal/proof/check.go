// Package proof runs rapid property tests with a fixed seed.
package proof

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

const (
	// defaultSeed is the default of -rapid.seed, from which all cases are generated.
	defaultSeed = "1"
	// defaultSteps is the default of -rapid.steps, the average number of actions per case
	// of a state machine test.
	defaultSteps = "150"
)

// Check tests a property with a fixed seed, so that every run generates the same cases
// and gives the same result. A seed given on the command line, as in
// 'go test ./internal/core/owner -rapid.seed=7', takes precedence.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	setDefault(t, "rapid.seed", defaultSeed)
	setDefault(t, "rapid.steps", defaultSteps)
	rapid.Check(t, property)
}

// setDefault sets a flag, unless the command line has given it a value other than its
// default, or the flag does not exist.
func setDefault(t *testing.T, name, value string) {
	t.Helper()
	f := flag.Lookup(name)
	if f == nil || f.Value.String() != f.DefValue {
		return
	}
	if err := f.Value.Set(value); err != nil {
		t.Fatal(err)
	}
}
