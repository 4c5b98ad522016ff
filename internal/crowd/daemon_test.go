//go:build linux && !race

package crowd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/platform"
	"bulrushpond.example/bulrushpond/platform/fakes"
)

const (
	// fileFDs are the descriptors that the process of a VM may use for files only.
	fileFDs = 200
	// maxTokens is the number of output tokens that streams may have.
	maxTokens = 100_000
	// apiKey is the key of the only team.
	apiKey = "key-n"
	// hangTimeout keeps a failing test from hanging; it is not a guarantee.
	hangTimeout = 30 * time.Second
	// pollInterval is the time between two looks at a process.
	pollInterval = 10 * time.Millisecond
)

// Limits of the processes: those of the smallest VM, and half of its memory and about a seventh of its descriptors.
var (
	smallestVM = processLimits{memoryMB: 184, fds: 4100}
	lowered    = processLimits{memoryMB: 92, fds: 600}
)

// binary is the program under test.
var binary string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

// runTests builds the program and runs the tests. The program is never built with the race detector, which takes several
// times the memory.
func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowd-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "bulrushpond")
	if out, err := exec.Command("go", "build", "-o", binary, "bulrushpond.example/bulrushpond").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is a process of the program.
type process struct {
	t     *testing.T
	cmd   *exec.Cmd
	ended chan error
	// peakSockets is the largest number of sockets and pipes seen so far, and logBytes what the process wrote to its
	// standard output, in bytes.
	peakSockets, logBytes atomic.Int64
	// peakUnread is the largest number of bytes seen so far that had arrived at ports and were not read, if unreadPorts names
	// any. The platform counts them as the process's memory.
	peakUnread  atomic.Int64
	unreadPorts []string
	// maxSockets is the number of sockets and pipes that the process may have, and maxMemory its memory in bytes.
	maxSockets int64
	maxMemory  int64
}

// startProcess starts the program with limits and watches it, and what is not read at some ports. It is killed at the end of the
// test. The output is read unless leaveLog is set.
func startProcess(t *testing.T, leaveLog bool, limits processLimits, unreadPorts, env []string, args ...string) *process {
	t.Helper()
	// The shell lowers the limit before the program reads it.
	limited := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, limits.fds)
	p := &process{t: t, cmd: exec.Command("sh", append([]string{"-c", limited, binary}, args...)...), ended: make(chan error, 1), maxSockets: int64(limits.fds - fileFDs), maxMemory: int64(limits.memoryMB) * 1e6, unreadPorts: unreadPorts}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stderr = os.Stderr
	out, err := p.cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, p.cmd.Start())
	ctx, cancel := context.WithCancel(context.Background())
	watched := make(chan struct{})
	go p.watch(ctx, watched)
	if !leaveLog {
		go p.readLog(out)
	}
	go func() {
		// cmd.Wait would close the pipe of the output.
		state, err := p.cmd.Process.Wait()
		if err == nil {
			err = fmt.Errorf("%s", state)
		}
		p.ended <- err
	}()
	t.Cleanup(func() {
		cancel()
		<-watched
		_ = p.cmd.Process.Kill()
	})
	return p
}

// readLog reads the log to its end.
func (p *process) readLog(out io.Reader) {
	reader := bufio.NewReader(out)
	for {
		line, err := reader.ReadString('\n')
		p.logBytes.Add(int64(len(line)))
		if err != nil {
			return
		}
	}
}

// watch counts sockets and pipes until ctx ends, and then closes done.
func (p *process) watch(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	for ctx.Err() == nil {
		if n := p.sockets(); n > p.peakSockets.Load() {
			p.peakSockets.Store(n)
		}
		if n := unreadBytes(p.unreadPorts); n > p.peakUnread.Load() {
			p.peakUnread.Store(n)
		}
		time.Sleep(pollInterval)
	}
}

// sockets returns the number of sockets and pipes that are open.
func (p *process) sockets() (n int64) {
	dir := fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)
	// A process that has ended has no descriptors; check reports the end.
	entries, _ := os.ReadDir(dir)
	for _, entry := range entries {
		target, err := os.Readlink(filepath.Join(dir, entry.Name()))
		if err == nil && (strings.HasPrefix(target, "socket:") || strings.HasPrefix(target, "pipe:")) {
			n++
		}
	}
	return n
}

// unreadBytes returns the bytes that arrived at connections to ports on loopback and were not read.
func unreadBytes(ports []string) (n int64) {
	if len(ports) == 0 {
		return 0
	}
	table, _ := os.ReadFile("/proc/net/tcp")
	for _, line := range strings.Split(string(table), "\n") {
		// The columns are the number, the local and the remote address, the state, and the bytes to send and to read.
		columns := strings.Fields(line)
		if len(columns) < 5 || columns[3] != establishedState {
			continue
		}
		_, port, _ := strings.Cut(columns[1], ":")
		_, unread, _ := strings.Cut(columns[4], ":")
		local, err := strconv.ParseUint(port, 16, 16)
		bytes, unreadErr := strconv.ParseInt(unread, 16, 64)
		if err == nil && unreadErr == nil && slices.Contains(ports, strconv.FormatUint(local, 10)) {
			n += bytes
		}
	}
	return n
}

// establishedState is the state of an open connection in /proc/net/tcp.
const establishedState = "01"

// peakMemory returns the largest resident memory so far, in bytes.
func (p *process) peakMemory() int64 {
	p.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	assert.NilError(p.t, err)
	for _, line := range strings.Split(string(status), "\n") {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(text, " kB")), 10, 64)
			assert.NilError(p.t, err)
			return kib << 10
		}
	}
	p.t.Fatal("the process has no resident memory")
	return 0
}

// check checks that the process lives and has kept its limits.
func (p *process) check() {
	p.t.Helper()
	select {
	case err := <-p.ended:
		p.t.Fatalf("the process has ended: %v", err)
	default:
	}
	memory := p.peakMemory()
	unread := p.peakUnread.Load()
	p.t.Logf("at most %d MB, %d sockets and pipes, %d MB not read", memory/1e6, p.peakSockets.Load(), unread/1e6)
	assert.Check(p.t, memory+unread <= p.maxMemory, "used %d MB of memory and %d MB not read, %d are allowed", memory/1e6, unread/1e6, p.maxMemory/1e6)
	assert.Check(p.t, p.peakSockets.Load() <= p.maxSockets, "opened %d sockets and pipes, %d are allowed", p.peakSockets.Load(), p.maxSockets)
}

// edge is an edge daemon with stand-ins for what is around it.
type edge struct {
	*process
	platform                           *fakes.Platform
	callers, readiness, metrics, peers string
	requests                           int
}

// edgeOption changes the stand-ins of an edge daemon.
type edgeOption func(*edgeSetup)

type edgeSetup struct {
	adjustServer func(*fakes.Server)
	leaveLog     bool
	limits       processLimits
	watchUnread  bool
}

// processLimits are the limits that the settings of a process state.
type processLimits struct {
	memoryMB, fds int
}

// withUnreadBytes gives the process the limits of the smallest VM, and watches the bytes that callers sent and that it has not
// read.
func withUnreadBytes() edgeOption {
	return func(s *edgeSetup) { s.limits, s.watchUnread = smallestVM, true }
}

// withServers changes the backend servers before they serve.
func withServers(adjust func(*fakes.Server)) edgeOption {
	return func(s *edgeSetup) { s.adjustServer = adjust }
}

// withUnreadLog leaves the log unread.
func withUnreadLog() edgeOption { return func(s *edgeSetup) { s.leaveLog = true } }

// startEdge starts an edge daemon and waits until it serves.
func startEdge(t *testing.T, opts ...edgeOption) *edge {
	t.Helper()
	setup := edgeSetup{adjustServer: func(*fakes.Server) {}, limits: lowered}
	for _, opt := range opts {
		opt(&setup)
	}
	p, err := fakes.New(fakes.WithServerSetup(setup.adjustServer))
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	for i := range 4 {
		_, err := p.Start(fmt.Sprintf("e%d", i), "a", "card")
		assert.NilError(t, err)
	}
	for i := range 2 {
		_, err := p.Start(fmt.Sprintf("b%d", i), "a", "")
		assert.NilError(t, err)
	}
	_, err = p.Configure(fakes.Config{Keys: map[string][]string{"north": {apiKey}}})
	assert.NilError(t, err)
	e := &edge{platform: p}
	for _, address := range []*string{&e.callers, &e.readiness, &e.metrics, &e.peers} {
		*address, err = fakes.FreeAddress()
		assert.NilError(t, err)
	}
	settings := filepath.Join(t.TempDir(), "node.conf")
	peersPort := portOf(t, e.peers)
	text := fmt.Sprintf(
		"nodeName=d\nip=127.0.0.1\nzone=a\nlisten.front=%s\nlisten.readiness=%s\ninternalPorts=%s,%s\nbootstrap=true\nheartbeatMs=1200\nplatform.address=%s\nlimits.cpuShare=1\nlimits.cores=1\nlimits.memoryMb=%d\nlimits.maxFds=%d\nbounds.graceS=4\nbounds.retryRatio=0.2\nbounds.retryWindowS=10\nbounds.retryBurst=20\n",
		e.callers, e.readiness, peersPort, peersPort, p.Address(), setup.limits.memoryMB, setup.limits.fds)
	assert.NilError(t, os.WriteFile(settings, []byte(text), 0o600))
	var watched []string
	if setup.watchUnread {
		watched = []string{portOf(t, e.callers)}
	}
	e.process = startProcess(t, setup.leaveLog, setup.limits, watched, []string{"BULRUSHPOND_NODE_FILE=" + settings}, "edge", "--metrics-port", portOf(t, e.metrics))
	e.eventually("an ordinary request is answered", e.serves)
	e.eventually("a stream is answered", e.streams)
	return e
}

// portOf returns the port of an address.
func portOf(t *testing.T, address string) string {
	t.Helper()
	_, port, err := net.SplitHostPort(address)
	assert.NilError(t, err)
	return port
}

// eventually waits until a condition holds.
func (p *process) eventually(condition string, holds func() bool) {
	p.t.Helper()
	for deadline := time.Now().Add(hangTimeout); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			p.t.Errorf("did not happen: %s", condition)
			return
		}
	}
}

// ordinaryClient sends each request on a new connection, from an address that no client of a crowd uses.
var ordinaryClient = &http.Client{
	Timeout: 5 * time.Second,
	Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext:       (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 77)}}).DialContext,
	},
}

// send sends a request and reports whether it is answered whole with status 200.
func (e *edge) send(c fakes.Call) bool {
	e.requests++
	c.ID, c.Key, c.Timeout = fmt.Sprintf("q%d", e.requests), apiKey, 5*time.Second
	req, err := c.Request(e.t.Context(), e.callers)
	assert.NilError(e.t, err)
	resp, err := ordinaryClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// serves reports whether a booking is answered.
func (e *edge) serves() bool {
	return e.send(fakes.Call{Method: http.MethodPost, Path: "/book/visit", Body: "at nine"})
}

// streams reports whether a stream is answered.
func (e *edge) streams() bool {
	return e.send(fakes.Call{Method: http.MethodPost, Path: "/draft/x", Body: "draft", MaxTokens: maxTokens})
}

// ready reports whether the readiness check is answered with 200.
func (e *edge) ready() bool { return answers(e.readiness, platform.PathReady) }

// shows reports whether the metrics are answered.
func (e *edge) shows() bool { return answers(e.metrics, "/debug/vars") }

// answers reports whether a GET is answered with 200.
func answers(address, path string) bool {
	resp, err := ordinaryClient.Get("http://" + address + path)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// withstand checks that an edge daemon lives, keeps its limits, and answers ordinary requests and readiness checks while a
// crowd is there and after it has gone.
func (e *edge) withstand(c crowd) {
	e.t.Helper()
	e.withstandUntil(c, func() {
		e.eventually("an ordinary request is answered beside the crowd", e.serves)
		e.eventually("the readiness check is answered beside the crowd", e.ready)
	})
	e.eventually("an ordinary request is answered after the crowd", e.serves)
	e.eventually("the readiness check is answered after the crowd", e.ready)
	e.check()
}
