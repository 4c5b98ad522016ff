package evlog

import (
	"os"
	"regexp"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

// TestEventsPage checks that docs/EVENTS.md lists exactly the events of the code, with
// the same numbers and names.
func TestEventsPage(t *testing.T) {
	raw, err := os.ReadFile("../../docs/EVENTS.md")
	assert.NilError(t, err)
	listed := map[string]bool{}
	for _, row := range regexp.MustCompile("(?m)^\\| (\\d+) \\| `(\\w+)` \\|").FindAllStringSubmatch(string(raw), -1) {
		assert.Assert(t, !listed[row[1]], "event %s is listed twice", row[1])
		listed[row[1]] = true
		n, err := strconv.Atoi(row[1])
		assert.NilError(t, err)
		assert.Equal(t, Event(n).String(), row[2])
	}
	for _, e := range EventValues() {
		assert.Assert(t, listed[strconv.Itoa(int(e))], "event %d is not in the catalogue", int(e))
	}
}
