package boot

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const checkedConfig = `{"version":7,
"routes":[{"name":"r1","host":"h.example","prefix":"/a/","routeType":"idempotent","timeoutMs":2000,"service":"s","maxAttempts":3}],
"services":[{"name":"s"}],
"tenants":[{"name":"north","apiKeys":["secret-1","secret-2"]}]}`

// TestConfigCheck checks the exit codes and the output of the command.
func TestConfigCheck(t *testing.T) {
	dir := t.TempDir()
	write := func(name, value string) string {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, []byte(value), 0o644))
		return path
	}
	sound, invalid := write("sound", checkedConfig), write("invalid", strings.Replace(checkedConfig, "idempotent", "often", 1))
	next := write("next", strings.NewReplacer(`:7`, `:8`, `,"secret-2"`, ``).Replace(checkedConfig))
	contradictory := write("contradictory", strings.Replace(checkedConfig, `"service":"s"`, `"service":"s","targetLatencyMs":3000`, 1))
	brokenVM := write("broken_vm", "nodeName\n")
	vm := write("vm", strings.Join([]string{
		"nodeName=e1", "zone=a", "ip=10.0.0.1", "listen.front=10.0.0.1:1", "listen.readiness=10.0.0.1:2", "platform.address=10.0.0.9:3",
		"internalPorts=4", "limits.cores=1", "limits.cpuShare=1", "bounds.retryBurst=1",
	}, "\n"))
	type scenario struct {
		name string
		args []string
		code int
		want string
	}
	for _, s := range []scenario{
		{"sound", []string{sound}, ExitSuccess, ""},
		{"the same version", []string{sound, "--against", sound}, ExitFailed, "daemons ignore"},
		{"changes", []string{next, "--against", sound}, ExitFailed, "line 4 tenants[0]  the team \"north\" changes: revoked: 1 API key"},
		{"findings", []string{contradictory}, ExitFailed, "line 2 routes[0]  the target latency 3s is longer than the timeout 2s"},
		{"invalid", []string{invalid}, ExitUsage, "line 2 routes[0]  route r1 has the unknown routeType"},
		{"against an invalid one", []string{sound, "--against", invalid}, ExitUsage, "unknown routeType"},
		{"no file", []string{filepath.Join(dir, "missing")}, ExitUsage, ""},
		{"no file of a VM", []string{sound, "--vm", filepath.Join(dir, "missing")}, ExitUsage, ""},
		{"not a file of a VM", []string{sound, "--vm", brokenVM}, ExitUsage, ""},
		{"attempts over the VM's budget", []string{sound, "--vm", vm}, ExitFailed, "3 attempts are more than the retry budget pays for one request: 1.1 retries in 10s"},
		{"standard input twice", []string{"-", "--against", "-"}, ExitUsage, ""},
	} {
		t.Run(s.name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			assert.Equal(t, Main(append([]string{"config", "check"}, s.args...), &out, &errOut, BuildInfo{}), s.code, errOut.String())
			assert.Assert(t, strings.Contains(out.String(), s.want), out.String())
			assert.Assert(t, !strings.Contains(out.String()+errOut.String(), "secret"), "the output contains an API key")
			var report configReport
			out.Reset()
			assert.Equal(t, Main(append([]string{"config", "check", "--output", "json"}, s.args...), &out, &errOut, BuildInfo{}), s.code)
			if out.Len() > 0 {
				assert.NilError(t, json.Unmarshal(out.Bytes(), &report))
				assert.Equal(t, s.code == ExitSuccess, len(report.Errors)+len(report.Findings)+len(report.Changes) == 0)
			}
		})
	}
}
