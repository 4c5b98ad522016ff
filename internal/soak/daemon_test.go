package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"bulrushpond.example/bulrushpond/platform"
)

// Ports of all daemons. They can be the same because each daemon has its own loopback address.
const (
	callersPort   = 18080
	readinessPort = 18081
	peersPort     = 18090
	metricsPort   = 18099
)

const (
	// stopLimit is the time limit of a planned stop.
	stopLimit = 8 * time.Second
	// restartDelay is the time until the platform restarts a process that exited.
	restartDelay = 300 * time.Millisecond
)

// daemon is one entry VM: a process of the real program, restarted when it exits.
type daemon struct {
	name string
	ip   string
	dir  string
	// callerLink carries the callers' connections, storeLink those to the key-value service.
	callerLink, storeLink *link
	// reportViolation records a violated guarantee.
	reportViolation func(format string, args ...any)
	// done is closed when the last process has exited.
	done chan struct{}

	mu  sync.Mutex
	cmd *exec.Cmd
	// builds are the programs that the daemon's processes run in turn.
	builds []string
	// process is the number of the current process, counted from 1.
	process int
	// killRequested and stopRequested are set if the current process was sent SIGKILL or
	// SIGTERM.
	killRequested, stopRequested bool
	// noRestart keeps the daemon from being restarted.
	noRestart bool
}

func (d *daemon) callersAddress() string { return fmt.Sprintf("%s:%d", d.ip, callersPort) }

func (d *daemon) readyURL() string {
	return fmt.Sprintf("http://%s:%d%s", d.ip, readinessPort, platform.PathReady)
}

// writeSettings writes the daemon's settings file.
func (d *daemon) writeSettings(zone string, seeds []string) error {
	text := fmt.Sprintf(`nodeName=%s
zone=%s
ip=%s
listen.front=%s
listen.readiness=%s:%d
platform.address=%s
internalPorts=%d,%d
seeds=%s
limits.cores=1
limits.memoryMb=284
bounds.graceS=%d
bounds.retryRatio=0.2
bounds.retryWindowS=10
bounds.retryBurst=200
`, d.name, zone, d.ip, d.callersAddress(), d.ip, readinessPort, d.storeLink.address(), peersPort, peersPort+9,
		strings.Join(seeds, ","), int(stopLimit.Seconds()))
	return os.WriteFile(d.settingsPath(), []byte(text), 0o600)
}

func (d *daemon) settingsPath() string { return filepath.Join(d.dir, d.name+".conf") }

// logPath returns the path of a process's structured log.
func (d *daemon) logPath(process int) string {
	return filepath.Join(d.dir, fmt.Sprintf("%s-%d.log", d.name, process))
}

// supervise starts the daemon's process, and restarts it until noRestart is set.
func (d *daemon) supervise() {
	defer close(d.done)
	for {
		done, err := d.start()
		if err != nil {
			d.reportViolation("%s failed to start: %v", d.name, err)
			return
		}
		d.checkExit(<-done)
		d.mu.Lock()
		noRestart := d.noRestart
		d.mu.Unlock()
		if noRestart {
			return
		}
		time.Sleep(restartDelay)
	}
}

// start starts the next process and returns a channel that receives its result.
func (d *daemon) start() (<-chan error, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.process++
	d.killRequested, d.stopRequested = false, false
	out, err := os.Create(d.logPath(d.process))
	if err != nil {
		return nil, err
	}
	d.cmd = exec.Command(d.builds[d.process%len(d.builds)], "edge", "--metrics-port", strconv.Itoa(metricsPort))
	d.cmd.Env = append(os.Environ(), "BULRUSHPOND_NODE_FILE="+d.settingsPath())
	d.cmd.Stdout, d.cmd.Stderr = out, out
	if err := d.cmd.Start(); err != nil {
		return nil, err
	}
	cmd, done := d.cmd, make(chan error, 1)
	go func() {
		done <- cmd.Wait()
		_ = out.Close()
	}()
	return done, nil
}

// checkExit reports an exit without a signal, and a planned stop that failed.
func (d *daemon) checkExit(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.killRequested:
	case !d.stopRequested:
		d.reportViolation("process %d of %s exited unexpectedly: %v", d.process, d.name, err)
	case err != nil && d.hasLogged():
		d.reportViolation("process %d of %s failed its planned stop: %v", d.process, d.name, err)
	}
}

// hasLogged reports whether the process has written its first log line. Before that, it doesn't
// handle signals yet, and SIGTERM ends it with an error. The caller holds mu.
func (d *daemon) hasLogged() bool {
	info, err := os.Stat(d.logPath(d.process))
	return err == nil && info.Size() > 0
}

// signal sends a signal to the process and records a requested kill or stop.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.killRequested = d.killRequested || s == syscall.SIGKILL
	d.stopRequested = d.stopRequested || s == syscall.SIGTERM
	// Fails if the process has just exited; checkExit covers that.
	_ = d.cmd.Process.Signal(s)
}

// setBuild sets the program of the next processes.
func (d *daemon) setBuild(program string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.builds = []string{program}
}

// pid returns the ID of the current process; 0 before the first.
func (d *daemon) pid() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil || d.cmd.Process == nil {
		return 0
	}
	return d.cmd.Process.Pid
}

// currentProcess returns the number of the current process.
func (d *daemon) currentProcess() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.process
}

// signalLast sends a signal to the process and keeps the daemon from being restarted.
func (d *daemon) signalLast(s syscall.Signal) {
	d.mu.Lock()
	d.noRestart = true
	d.mu.Unlock()
	d.signal(s)
}

// killAndWait kills the daemon for good, waits for its exit and closes its links. The SIGCONT
// resumes a paused process.
func (d *daemon) killAndWait() {
	d.signal(syscall.SIGCONT)
	d.signalLast(syscall.SIGKILL)
	<-d.done
	d.callerLink.close()
	d.storeLink.close()
}
