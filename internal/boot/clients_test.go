package boot

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/platform"
)

// TestServerErrorsAreBounded checks that what net/http says goes to the log, and not without end.
func TestServerErrorsAreBounded(t *testing.T) {
	var out bytes.Buffer
	errorLog := newServerErrors(NewLog(&out, false), portCallers)
	for range 1000 {
		errorLog.Print("http: panic serving " + strings.Repeat("x", 100_000))
	}
	lines := strings.Count(out.String(), "\n")
	assert.Assert(t, lines >= serverErrorsBurst && lines < 2*serverErrorsBurst, "%d", lines)
	assert.Assert(t, out.Len() < 2*serverErrorsBurst*2*maxServerErrorBytes)
	assert.Assert(t, strings.Contains(out.String(), `"event":108`))
}

// TestClientLimits checks the limits of the smallest VM, and that they keep room for what a daemon needs itself.
func TestClientLimits(t *testing.T) {
	log := NewLog(io.Discard, false)
	smallest := edgeLimits(log, platform.VMSettings{MaxFDs: 4100, MemoryBytes: 184e6})
	assert.Equal(t, smallest.Clients, 1886)
	assert.Equal(t, smallest.Bytes, int64(36_800_000))
	for _, maxFDs := range []int{600, 4100, 8192, 10592} {
		limits := edgeLimits(log, platform.VMSettings{MaxFDs: maxFDs})
		served := 2*limits.Clients + limits.Refused + checkLimits.Clients + checkLimits.Refused + metricsLimits.Clients + metricsLimits.Refused
		assert.Assert(t, served+ownFDs/4 <= maxFDs-fileFDs, "%d of %d", served, maxFDs)
	}
	assert.Equal(t, edgeLimits(log, platform.VMSettings{MaxFDs: 100}).Clients, minCallers)
	assert.Equal(t, edgeLimits(log, platform.VMSettings{}).Bytes, int64(defaultCallersMemory))
}

// TestClientsLimitedIsLoggedOnce checks that a limit that acted is logged with the next report, and only then.
func TestClientsLimitedIsLoggedOnce(t *testing.T) {
	env := newTestEnvironment(t, 0)
	var out bytes.Buffer
	daemon, err := NewEdgeDaemon(Dependencies{Log: NewLog(io.Discard, false), Out: io.Discard}, platform.VMSettings{
		VMName: "d", Zone: "a", IP: "127.0.0.1", CallersAddress: "127.0.0.1:0", ReadinessAddress: "127.0.0.1:0", PeersAddress: "127.0.0.1:0",
		StoreAddress: env.platform.Address(), Cores: 1,
	}, 0)
	assert.NilError(t, err)
	report := daemon.ports.report(NewLog(&out, false))
	report.run(t.Context())
	assert.Equal(t, out.Len(), 0)
	daemon.ports.groups[portPeers].Reject()
	for range 3 {
		report.run(t.Context())
	}
	assert.Equal(t, strings.Count(out.String(), `"event":609`), 1)
	assert.Assert(t, strings.Contains(out.String(), `"port":"peers"`) && strings.Contains(out.String(), `"rejected":1`))
}
