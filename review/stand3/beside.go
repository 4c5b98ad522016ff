package main

import (
	"encoding/json"
	"time"
)

const (
	// recoveryTime is recoveryS of the settings, and half a second more.
	recoveryTime = 12500 * time.Millisecond
	// beforeTime and afterTime are how long requests are counted before the final fault and after the recovery.
	beforeTime, afterTime = 6 * time.Second, 8 * time.Second
)

// writeBeside writes an entry of a service that nobody knows, at the address of a server.
func (r *rig) writeBeside(s *server) error {
	raw, err := json.Marshal(map[string]any{
		"service": "vigia", "address": s.address, "zone": "lisboa-a", "version": "v1", "slots": 6, "state": "ready",
		"coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		return err
	}
	r.store.Put("servers/vigia-"+s.id, raw)
	r.note("another writer wrote servers/vigia-%s: %s", s.id, raw)
	return nil
}

// runBeside kills all daemons. Meanwhile another writer writes entries of a service that is not in the configuration, at the addresses of
// the servers of the booking application.
func runBeside(r *rig, trouble bool) (bool, error) {
	var all []*server
	for _, id := range []string{"i-a0", "i-a1", "i-a2"} {
		s, err := r.startServer(id, false, nil)
		if err != nil {
			return false, err
		}
		all = append(all, s)
	}
	if err := r.configure(false, "alfa"); err != nil {
		return false, err
	}
	if err := r.startDaemons(2); err != nil {
		return false, err
	}
	c := newClients(r)
	c.flow(lookups, "alfa", 100*time.Millisecond, time.Now().Add(beforeTime))
	c.flow(bookings, "alfa", 200*time.Millisecond, time.Now().Add(beforeTime))
	c.wg.Wait()
	sentBefore, servedBefore := c.tally(func(outcome) bool { return true })
	r.note("all daemons are killed")
	r.killDaemons()
	if trouble {
		for _, s := range all {
			if err := r.writeBeside(s); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(time.Second)
	if err := r.runDaemons(false); err != nil {
		return false, err
	}
	back := time.Now()
	time.Sleep(recoveryTime)
	c.flow(lookups, "alfa", 100*time.Millisecond, time.Now().Add(afterTime))
	c.flow(bookings, "alfa", 200*time.Millisecond, time.Now().Add(afterTime))
	c.wg.Wait()
	sent, served := c.tally(func(o outcome) bool { return o.sentAt.After(back) })
	r.note("before the kill %d of %d requests served, from %.1f s after the daemons were back %d of %d", servedBefore, sentBefore,
		recoveryTime.Seconds(), served, sent)
	return 4*servedBefore >= sentBefore && 4*served < sent, nil
}
