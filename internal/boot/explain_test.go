package boot

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const explainLog = `vm-a {"time":"2026-05-05T07:00:01Z","level":"INFO","msg":"server_avoided","event":304,"server":"e2","detail":"1 failures in a row"}
vm-a {"time":"2026-05-05T07:00:02.5Z","level":"INFO","msg":"stream_failed","event":604,"request":"q1","epoch":1,"server":"e2","reason":"stage_failed"}
vm-a {"time":"2026-05-05T07:00:02Z","level":"INFO","msg":"stream_opened","event":603,"request":"q1","epoch":1,"chain":"e1=0-40 e2=40-80"}
vm-a {"time":"2026-05-05T06:59:20Z","level":"INFO","msg":"server_paused","event":312,"server":"e7","detail":"1m0s"}
vm-a {"time":"2026-05-05T06:59:40Z","level":"INFO","msg":"server_said_leaving","event":311,"server":"e8","source":"its answer"}
vm-a {"time":"2026-05-05T06:58:00Z","level":"INFO","msg":"server_paused","event":312,"server":"e6","detail":"1m0s"}
vm-a {"time":"2026-05-05T07:00:02.1Z","level":"INFO","msg":"server_gone","event":310,"server":"e9"}
not an event
vm-a {"time":"2026-05-05T07:00:03Z","level":"INFO","msg":"request_served","event":601,"request":"q1","outcome":"whole"}
vm-a {"time":"2026-05-05T07:00:03Z","level":"INFO","msg":"request_served","event":601,"request":"q2","outcome":"whole"}
vm-b {"time":"2026-05-05T07:00:02Z","level":"INFO","msg":"server_avoided","event":304,"server":"e2"}
vm-a {"time":"2026-05-05T07:01:00Z","level":"ERROR","msg":"store_down","event":405}
`

// TestExplainSelectsRequestEvents checks that the events of a request are printed in order of
// time, together with what the same daemon logged about its servers shortly before and after, and
// which servers it could not use because of what they had said, and nothing else.
func TestExplainSelectsRequestEvents(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	assert.NilError(t, os.WriteFile(path, []byte(explainLog), 0o600))
	var output bytes.Buffer
	assert.NilError(t, (&ExplainCmd{ID: "q1", Files: []string{path}}).Run(Dependencies{Out: &output}))
	var eventNames []string
	for line := range strings.Lines(output.String()) {
		eventNames = append(eventNames, strings.Fields(line)[1])
	}
	assert.DeepEqual(t, eventNames, []string{"server_paused", "server_said_leaving", "server_avoided", "stream_opened", "stream_failed", "request_served"})
	assert.ErrorContains(t, (&ExplainCmd{ID: "q9", Files: []string{path}}).Run(Dependencies{Out: &output}), "q9")
}

const blockedPartLog = `vm-a {"time":"2026-05-05T06:55:00Z","level":"INFO","msg":"part_blocked","event":315,"part":"bad","detail":"e1 e2 e3 until 2026-05-05T07:05:00Z"}
vm-a {"time":"2026-05-05T06:40:00Z","level":"INFO","msg":"part_unblocked","event":316,"part":"bad"}
vm-a {"time":"2026-05-05T07:00:00Z","level":"INFO","msg":"part_blocked","event":315,"part":"be"}
vm-b {"time":"2026-05-05T06:55:00Z","level":"INFO","msg":"part_blocked","event":315,"part":"bad"}
vm-a {"time":"2026-05-05T07:00:00Z","level":"INFO","msg":"request_served","event":601,"request":"q1","outcome":"failed","reason":"prompt_blocked","parts":"ca,bad"}
`

// TestExplainShowsBlockedPart checks that a request that was refused because of a prompt part is
// shown with the decision of its daemon on that part, which may be minutes older.
func TestExplainShowsBlockedPart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	assert.NilError(t, os.WriteFile(path, []byte(blockedPartLog), 0o600))
	var output bytes.Buffer
	assert.NilError(t, (&ExplainCmd{ID: "q1", Files: []string{path}}).Run(Dependencies{Out: &output}))
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	assert.Equal(t, len(lines), 2)
	assert.Assert(t, strings.Contains(lines[0], "part_blocked") && strings.Contains(lines[0], "part=bad") && strings.Contains(lines[0], "e1 e2 e3"), lines[0])
	assert.Assert(t, strings.Contains(lines[1], "request_served"), lines[1])
}
