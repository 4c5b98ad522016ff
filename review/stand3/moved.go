package main

import (
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// settleTime is the time from the signal to the change of the configuration: more than contactMs.
	settleTime = 6 * time.Second
	// applyTime is the time from the store's answer until requests are sent: configApplyMs, and half a second more.
	applyTime = 2500 * time.Millisecond
)

// moveStore lets the store answer at another address only, and tells all daemons so by their settings files and SIGHUP.
func (r *rig) moveStore() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	before := r.address
	r.address = l.Addr().String()
	go func() { _ = r.store.Serve(l) }()
	for _, d := range r.daemons {
		file := filepath.Join(r.dir, d.name+".conf")
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		text = []byte(strings.ReplaceAll(string(text), before, r.address))
		if err := os.WriteFile(file, text, 0o600); err != nil {
			return err
		}
		if err := d.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			return err
		}
	}
	r.note("the store answers at %s; the settings files say so, and all daemons got SIGHUP", r.address)
	time.Sleep(time.Second)
	r.note("the store no longer answers at %s", before)
	return r.listener.Close()
}

// storeListener is the store's listener at its first address. Close ends its connections, too.
type storeListener struct {
	net.Listener

	mu    sync.Mutex
	conns []net.Conn
}

// Accept implements net.Listener.
func (l *storeListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.conns = append(l.conns, conn)
	}
	return conn, err
}

// Close implements net.Listener.
func (l *storeListener) Close() error {
	err := l.Listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		_ = conn.Close()
	}
	return err
}

// runMoved lets the store move to another address, and changes the configuration afterwards.
func runMoved(r *rig, trouble bool) (bool, error) {
	for _, id := range []string{"i-a0", "i-a1", "i-a2"} {
		if _, err := r.startServer(id, false, nil); err != nil {
			return false, err
		}
	}
	if err := r.configure(false, "alfa"); err != nil {
		return false, err
	}
	if err := r.startDaemons(2); err != nil {
		return false, err
	}
	c := newClients(r)
	c.flow(lookups, "alfa", 200*time.Millisecond, time.Now().Add(3*time.Second))
	c.wg.Wait()
	if trouble {
		if err := r.moveStore(); err != nil {
			return false, err
		}
	}
	time.Sleep(settleTime)
	if err := r.configure(false, "alfa", "beta"); err != nil {
		return false, err
	}
	time.Sleep(applyTime)
	c.flow(lookups, "beta", 100*time.Millisecond, time.Now().Add(4*time.Second))
	c.wg.Wait()
	sent, served := c.tally(func(o outcome) bool { return o.tenant == "beta" })
	denied, _ := c.tally(func(o outcome) bool { return o.tenant == "beta" && o.status == http.StatusUnauthorized })
	r.note("%d of %d lookups of the new tenant served, %d refused with 401", served, sent, denied)
	return denied > 0, nil
}
