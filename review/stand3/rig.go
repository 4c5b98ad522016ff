// Stand3 runs the cases of the third review: daemons of the project as separate processes, in front of stand-ins of the
// platform's store, of engines and of clients, all on loopback addresses.
package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"bulrushpond.example/bulrushpond/platform/fakes"
)

// ports are the ports of the daemons, each of which has an address of its own.
type ports struct{ callers, readiness, control, peers, metrics int }

// freePorts returns ports that are free now.
func freePorts() (ports, error) {
	var p ports
	for _, port := range []*int{&p.callers, &p.readiness, &p.control, &p.peers, &p.metrics} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return p, err
		}
		defer func() { _ = l.Close() }()
		address, ok := l.Addr().(*net.TCPAddr)
		if !ok {
			return p, errors.New("no TCP address")
		}
		*port = address.Port
	}
	return p, nil
}

// rig is the store and the daemons of one case, with the record of what happened.
type rig struct {
	ports
	store   *fakes.Store
	address string
	// listener is that of the store at the start.
	listener net.Listener
	dir      string
	// version is that of the configuration.
	version int
	began   time.Time
	daemons []*daemon
	seeds   []string

	mu     sync.Mutex
	record *os.File
	// servers are the engines and the servers of the booking application.
	servers []*server
}

// daemon is one process of the project.
type daemon struct {
	ports
	name, ip string
	cmd      *exec.Cmd
	// done is closed once the process has ended.
	done <-chan struct{}
}

// newRig starts a store, and opens the record in a folder.
func newRig(folder string) (*rig, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "stand3-")
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	free, err := freePorts()
	if err != nil {
		return nil, err
	}
	r := &rig{ports: free, store: fakes.NewStore(), address: l.Addr().String(), listener: &storeListener{Listener: l}, dir: dir, began: time.Now(), record: record}
	go func() { _ = r.store.Serve(r.listener) }()
	return r, nil
}

// note writes a line to the record.
func (r *rig) note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%7.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// close ends all processes that the rig started.
func (r *rig) close() {
	r.killDaemons()
	_ = os.RemoveAll(r.dir)
	_ = r.record.Close()
}

// settings returns the settings file of a daemon of a small deployment.
func (r *rig) settings(d *daemon, bootstrap bool) string {
	fields := []string{
		"nodeName=" + d.name, "role=edge", "machineClass=edge", "serves=edge,control_plane", "ip=" + d.ip,
		"zone=lisboa-a", "region=lisboa", "zones.lisboa-a=lisboa",
		"listen.front=" + hostPort(d.ip, r.callers), "listen.readiness=" + hostPort(d.ip, r.readiness),
		"listen.control=" + hostPort(d.ip, r.control), fmt.Sprintf("internalPorts=%d,%d", r.peers, r.peers),
		"seeds=" + strings.Join(r.seeds, ","), "bootstrap=" + strconv.FormatBool(bootstrap),
		"limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4200", "heartbeatMs=1200",
		"bounds.graceS=8", "bounds.drainMs=2000", "bounds.retryRatio=0.2", "bounds.retryWindowS=10", "bounds.retryBurst=198",
		"bounds.stall_ms=2000", "bounds.fencingRequired=true",
		"platform.address=" + r.address, "platform.form=kv", "platform.writesPerS=400", "platform.readsPerS=2000",
		"platform.historyS=20", "platform.valueBytes=1048576", "platform.ttlMinMs=1000",
	}
	return strings.Join(fields, "\n") + "\n"
}

// startDaemons starts a number of daemons for the first time, and waits until they are ready.
func (r *rig) startDaemons(n int) error {
	for i := range n {
		ip := fmt.Sprintf("127.0.3.%d", i+1)
		r.seeds = append(r.seeds, hostPort(ip, r.control))
		r.daemons = append(r.daemons, &daemon{ports: r.ports, name: fmt.Sprintf("edge-lisboa-a-%d", i+1), ip: ip})
	}
	return r.runDaemons(true)
}

// runDaemons starts the processes of all daemons, and waits until they are ready.
func (r *rig) runDaemons(bootstrap bool) error {
	for _, d := range r.daemons {
		if err := r.runDaemon(d, bootstrap); err != nil {
			return err
		}
	}
	for _, d := range r.daemons {
		if err := d.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// runDaemon starts the process of a daemon with the command of the deploy file.
func (r *rig) runDaemon(d *daemon, bootstrap bool) error {
	file := filepath.Join(r.dir, d.name+".conf")
	if err := os.WriteFile(file, []byte(r.settings(d, bootstrap)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(r.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.cmd = exec.Command("target/bulrushpond", "edge", "--metrics-port", strconv.Itoa(r.metrics), "--balance=paced")
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BULRUSHPOND_NODE_FILE=" + file}
	d.cmd.Stdout, d.cmd.Stderr = log, log
	if err := d.cmd.Start(); err != nil {
		return err
	}
	cmd, done := d.cmd, make(chan struct{})
	go func() {
		defer close(done)
		_ = cmd.Wait()
		_ = log.Close()
	}()
	d.done = done
	r.note("%s started", d.name)
	return nil
}

// killDaemons kills the processes of all daemons.
func (r *rig) killDaemons() {
	for _, d := range r.daemons {
		if d.cmd != nil && d.cmd.Process != nil {
			_ = d.cmd.Process.Kill()
			<-d.done
		}
	}
}

// hostPort returns an address of an IP and a port.
func hostPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// address returns the address that serves clients.
func (d *daemon) address() string { return hostPort(d.ip, d.callers) }

// awaitReady waits until the readiness check of a daemon succeeds.
func (d *daemon) awaitReady() error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		conn, err := net.Dial("tcp", hostPort(d.ip, d.readiness))
		if err != nil {
			continue
		}
		_, _ = io.WriteString(conn, "GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
		answer, _ := io.ReadAll(conn)
		_ = conn.Close()
		if strings.HasPrefix(string(answer), "HTTP/1.1 200") {
			return nil
		}
	}
	return errors.New(d.name + " is not ready")
}
