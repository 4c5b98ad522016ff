package boot

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/platform/fakes"
)

// processArgs names the environment variable with the arguments of a process that TestMain runs instead of the tests.
const processArgs = "BULRUSHPOND_TEST_PROCESS"

func TestMain(m *testing.M) {
	if args := os.Getenv(processArgs); args != "" {
		os.Exit(Main(strings.Fields(args), os.Stdout, os.Stderr, BuildInfo{}))
	}
	os.Exit(m.Run())
}

// freeAddress returns an address on loopback that nobody listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := fakes.FreeAddress()
	assert.NilError(t, err)
	return address
}

// edgeProcess is an edge daemon as a process of its own.
type edgeProcess struct {
	cmd *exec.Cmd
	out io.ReadCloser
	// settings is the pipe from which the process reads its settings file, and text what it has to read.
	settings, text string
	readiness      string
	ended          chan *os.ProcessState
}

// startEdgeProcess starts an edge daemon whose key-value service is that of a platform. It waits for its settings, and is
// killed at the end of the test.
func startEdgeProcess(t *testing.T, p *fakes.Platform) *edgeProcess {
	t.Helper()
	e := &edgeProcess{settings: filepath.Join(t.TempDir(), "node.conf"), readiness: freeAddress(t), ended: make(chan *os.ProcessState, 1)}
	_, peersPort, err := net.SplitHostPort(freeAddress(t))
	assert.NilError(t, err)
	e.text = fmt.Sprintf(
		"nodeName=d\nip=127.0.0.1\nzone=a\nlisten.front=%s\nlisten.readiness=%s\ninternalPorts=%s,%s\nbootstrap=true\nheartbeatMs=1200\nplatform.address=%s\nlimits.cpuShare=1\nlimits.cores=1\nbounds.graceS=4\nbounds.retryRatio=0.2\nbounds.retryWindowS=10\nbounds.retryBurst=20\n",
		freeAddress(t), e.readiness, peersPort, peersPort, p.Address())
	assert.NilError(t, syscall.Mkfifo(e.settings, 0o600))
	executable, err := os.Executable()
	assert.NilError(t, err)
	e.cmd = exec.Command(executable)
	e.cmd.Env = append(os.Environ(), processArgs+"=edge", "BULRUSHPOND_NODE_FILE="+e.settings)
	e.cmd.Stderr = os.Stderr
	e.out, err = e.cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, e.cmd.Start())
	t.Cleanup(func() { _ = e.cmd.Process.Kill() })
	go func() {
		// cmd.Wait would close the pipe of the output.
		state, _ := e.cmd.Process.Wait()
		e.ended <- state
	}()
	return e
}

// giveSettings lets the process read its settings once, after calling before while it waits for them.
func (e *edgeProcess) giveSettings(t *testing.T, before func()) {
	t.Helper()
	// Opening the pipe waits for its reader.
	pipe, err := os.OpenFile(e.settings, os.O_WRONLY, 0)
	assert.NilError(t, err)
	before()
	_, err = io.WriteString(pipe, e.text)
	assert.NilError(t, err)
	assert.NilError(t, pipe.Close())
}

// ready reports whether the daemon says that it is ready.
func (e *edgeProcess) ready() bool {
	resp, err := http.Get("http://" + e.readiness + "/-/ready")
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}

// TestEdgeOutlivesReaderOfItsLog guards against a daemon that ends when the reader of its standard output goes away: the log
// is lost, the daemon is not.
func TestEdgeOutlivesReaderOfItsLog(t *testing.T) {
	env := newTestEnvironment(t, 0)
	e := startEdgeProcess(t, env.platform)
	e.giveSettings(t, func() {})
	_, err := bufio.NewReader(e.out).ReadString('\n')
	assert.NilError(t, err)
	assert.NilError(t, e.out.Close())
	env.waitUntil("the daemon is ready", e.ready)
	// A change of an entry is logged.
	for i := range 5 {
		_, err := env.platform.Start(fmt.Sprintf("later%d", i), "a", "")
		assert.NilError(t, err)
		time.Sleep(200 * time.Millisecond)
	}
	select {
	case state := <-e.ended:
		t.Fatalf("the process has ended: %s", state)
	default:
	}
	assert.Assert(t, e.ready())
}

// TestEdgeReloadsOnEarlyHangup guards against a daemon that a SIGHUP ends while it starts.
func TestEdgeReloadsOnEarlyHangup(t *testing.T) {
	env := newTestEnvironment(t, 0)
	e := startEdgeProcess(t, env.platform)
	e.giveSettings(t, func() {
		assert.NilError(t, e.cmd.Process.Signal(syscall.SIGHUP))
		time.Sleep(50 * time.Millisecond)
	})
	// The process has read its settings to their end, and the reload that was asked for waits for them.
	lines := bufio.NewReader(e.out)
	for started := false; !started; {
		line, err := lines.ReadString('\n')
		assert.NilError(t, err)
		started = strings.Contains(line, "daemon_started")
	}
	go func() { _, _ = io.Copy(io.Discard, lines) }()
	e.giveSettings(t, func() {})
	env.waitUntil("the daemon is ready", e.ready)
}

// TestEdgeStopsOnEarlyTerm guards against a daemon that a SIGTERM kills, or that misses it, while it starts.
func TestEdgeStopsOnEarlyTerm(t *testing.T) {
	env := newTestEnvironment(t, 0)
	e := startEdgeProcess(t, env.platform)
	go func() { _, _ = io.Copy(io.Discard, e.out) }()
	e.giveSettings(t, func() { assert.NilError(t, e.cmd.Process.Signal(syscall.SIGTERM)) })
	select {
	case state := <-e.ended:
		assert.Assert(t, state.Success(), "%s", state)
	case <-time.After(10 * time.Second):
		t.Fatal("the process has not ended")
	}
}
