package main

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// silentConn is a connection that may go silent: nothing that is sent on it arrives any more, in either direction, and
// no side is told.
type silentConn struct {
	net.Conn
	silent atomic.Bool
	// readAt is when something last arrived, in nanoseconds.
	readAt atomic.Int64
}

// Read implements net.Conn. What arrives on a silent connection is dropped.
func (c *silentConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if !c.silent.Load() || err != nil {
			c.readAt.Store(time.Now().UnixNano())
			return n, err
		}
	}
}

// Write implements net.Conn. What is sent on a silent connection is dropped.
func (c *silentConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// silentListener accepts connections that may go silent.
type silentListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*silentConn
}

// silence makes the open connections go silent that have rested for a time, and returns their number. New ones work.
func (l *silentListener) silence(rested time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	silent := 0
	for _, c := range l.conns {
		if time.Since(time.Unix(0, c.readAt.Load())) > rested {
			c.silent.Store(true)
			silent++
		}
	}
	return silent
}

// Accept implements net.Listener.
func (l *silentListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &silentConn{Conn: conn}
	c.readAt.Store(time.Now().UnixNano())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, nil
}

// Times of silentConnections.
const (
	// restedFor is how long a connection has rested that goes silent.
	restedFor = 2 * time.Second
	// inTouchAgain is the time from the silent connections to the cut, four times contactMs.
	inTouchAgain = 12 * time.Second
	// leaderCut is how long the machine that last wrote to the store under a condition is partitioned from it.
	leaderCut = 4 * time.Second
	// changedAfter is the time from the cut until a key is taken away and an engine leaves.
	changedAfter = 100 * time.Millisecond
	// leaverServes is how long the engine that leaves serves on, and bookedFor how long clients book.
	leaverServes, bookedFor = 3 * time.Second, 7 * time.Second
	bookingPause            = 50 * time.Millisecond
	// applies is configApplyMs and drains is drainMs.
	applies, drains = 2 * time.Second, 2 * time.Second
)

// silentConnections makes the open connections to the store go silent that have rested for over 2 s; the machine that
// reads the store for the others goes on with the one that it uses. 12 s later, when all machines have long been in touch
// again, that machine is partitioned from the store for 4 s; a key is taken away, and one of two plain engines leaves.
// Clients book at the other machines, with the key that is taken away and with one that stays.
func silentConnections(w *world) error {
	_, first, err := w.startSmall()
	if err != nil {
		return err
	}
	leaver, err := w.startEngine("i-5b91d0e7", "")
	if err != nil {
		return err
	}
	first.workLonger()
	leaver.workLonger()
	if err := w.configure([]string{apiKey, otherKey}, 0); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	if w.trouble {
		for _, d := range w.daemons {
			w.record.printf("quiet %d open connections of %s to the store go silent", d.toStore.silence(restedFor), d.name)
		}
	}
	time.Sleep(inTouchAgain)
	reader := ""
	if w.trouble {
		reader = w.store.cutLeader(leaderCut)
		w.record.printf("cut   %s is partitioned from the store", reader)
	}
	time.Sleep(changedAfter)
	if err := w.configure([]string{otherKey}, 0); err != nil {
		return err
	}
	revokedAt := time.Now()
	at := leaver.withdraw()
	removedAt := time.Now()
	w.record.printf("gone  the entry of %s was removed at revision %d", leaver.id, at)
	time.AfterFunc(leaverServes, leaver.end)
	taken, kept := w.bookAtOthers(reader)
	judgeSilence(w.record, leaver, revokedAt, removedAt, taken, kept)
	return nil
}

// bookAtOthers books with both keys at all machines but one, and returns the answers by key.
func (w *world) bookAtOthers(except string) (taken, kept []answer) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for began := time.Now(); time.Since(began) < bookedFor; time.Sleep(bookingPause) {
		for _, d := range w.daemons {
			if d.name == except {
				continue
			}
			for _, key := range []string{apiKey, otherKey} {
				wg.Go(func() {
					a := w.sendWithKey(key, d.front(), http.MethodPost, "/book/5", 2500*time.Millisecond, visitNotes)
					mu.Lock()
					defer mu.Unlock()
					if key == apiKey {
						taken = append(taken, a)
					} else {
						kept = append(kept, a)
					}
				})
			}
		}
	}
	wg.Wait()
	return taken, kept
}

func judgeSilence(rec *record, leaver *engine, revokedAt, removedAt time.Time, taken, kept []answer) {
	served, lastServed := 0, time.Duration(0)
	for _, a := range taken {
		if after := a.SentAt.Sub(revokedAt); a.Status == http.StatusOK && after > applies {
			served, lastServed = served+1, max(lastServed, after)
		}
	}
	late, lost, lastRun := 0, 0, time.Duration(0)
	for _, a := range append(taken, kept...) {
		for _, r := range leaver.runsOf(a.ID) {
			if after := r.Began.Sub(removedAt); after > drains {
				late, lastRun = late+1, max(lastRun, after)
				if a.Status != http.StatusOK {
					lost++
				}
			}
		}
	}
	rec.printf("%d bookings ran with the key that was taken away, sent over 2 s after the acknowledgement, the last %.2f s after it", served, lastServed.Seconds())
	rec.printf("%d bookings reached %s over 2 s after the removal of its entry, the last %.2f s after it; %d were lost", late, leaver.id, lastRun.Seconds(), lost)
	if served > 0 {
		rec.breaks("CONFIG: %d bookings ran with a key that had been taken away, the last %.2f s after the acknowledgement; DRAIN: %d bookings reached an engine that was gone, the last after %.2f s, and %d were lost",
			served, lastServed.Seconds(), late, lastRun.Seconds(), lost)
	}
}
