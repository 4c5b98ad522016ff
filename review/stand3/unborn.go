package main

import (
	"encoding/json"
	"time"
)

const (
	// drainTime is the time after the store's answer from which on no request may reach a server that drains.
	drainTime = 2 * time.Second
	// foreignAfter is when another writer first writes the server's entry, and foreignEvery its interval. servingAfter is how long
	// the server goes on serving.
	foreignAfter, foreignEvery, servingAfter = 4 * time.Second, time.Second, 9 * time.Second
)

// drain reports that the server is draining, and returns when the store had accepted it.
func (s *server) drain() time.Time {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.publish()
	return time.Now()
}

// writeForeign writes the entry of a server as it was before it drained, but for its start time, which is missing or null.
func (r *rig) writeForeign(s *server, missing bool) error {
	s.mu.Lock()
	entry := s.entry()
	s.mu.Unlock()
	entry["state"], entry["born"] = "ready", nil
	if missing {
		delete(entry, "born")
	}
	raw, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	r.store.Put("servers/"+s.id, raw)
	r.note("another writer wrote servers/%s: %s", s.id, raw)
	return nil
}

// runUnborn lets a server of the booking application drain, while another writer writes its entry without a start time.
func runUnborn(r *rig, trouble bool) (bool, error) {
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
	c.flow(lookups, "alfa", 25*time.Millisecond, time.Now().Add(3*time.Second+servingAfter))
	time.Sleep(3 * time.Second)
	leaving := all[0]
	acknowledged := leaving.drain()
	r.note("the store has accepted that %s is draining", leaving.id)
	missing := false
	for at := foreignAfter; at < servingAfter; at += foreignEvery {
		time.Sleep(time.Until(acknowledged.Add(at)))
		if !trouble {
			continue
		}
		missing = !missing
		if err := r.writeForeign(leaving, missing); err != nil {
			return false, err
		}
	}
	c.wg.Wait()
	sent, served := c.tally(func(outcome) bool { return true })
	r.note("%d of %d lookups served", served, sent)
	leaving.mu.Lock()
	defer leaving.mu.Unlock()
	late := 0
	for _, arrival := range leaving.arrivals {
		if since := arrival.Sub(acknowledged); since > drainTime {
			late++
			r.note("a request reached %s %.3f s after the store had accepted that it is draining", leaving.id, since.Seconds())
		}
	}
	r.note("%d requests reached %s later than drainMs", late, leaving.id)
	return late > 0, nil
}
