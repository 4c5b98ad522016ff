package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	// longPrompt is more tokens than any engine has room for while it holds its part of the model.
	longPrompt = 200_000
	// ordinaryPause and longPause are the times between two requests of a tenant.
	ordinaryPause, longPause = 250 * time.Millisecond, 125 * time.Millisecond
	// quietTime is the time after the last change until requests are counted, and steadyTime for how long.
	quietTime  = 5 * time.Second
	steadyTime = 20 * time.Second
	// minLater is how many requests on routes that were added later must come for the rule to count.
	minLater = 20
)

// runOversize adds the route of drafts to a running deployment. Then one tenant sends drafts with prompts that are larger than the memory
// of any engine, beside the ordinary drafts of others.
func runOversize(r *rig, trouble bool) (bool, error) {
	for i := range 3 {
		if _, err := r.startServer(fmt.Sprintf("i-e%d", i), true, nil); err != nil {
			return false, err
		}
		if _, err := r.startServer(fmt.Sprintf("i-a%d", i), false, nil); err != nil {
			return false, err
		}
	}
	tenants := []string{"alfa", "beta", "gama", "delta"}
	if err := r.configure(false, tenants...); err != nil {
		return false, err
	}
	if err := r.startDaemons(2); err != nil {
		return false, err
	}
	if err := r.configure(true, tenants...); err != nil {
		return false, err
	}
	c := newClients(r)
	if err := c.awaitDrafts(); err != nil {
		return false, err
	}
	time.Sleep(quietTime)
	until := time.Now().Add(steadyTime)
	for _, tenant := range tenants[1:] {
		c.flow(drafts, tenant, ordinaryPause, until)
		c.flow(bookings, tenant, ordinaryPause, until)
		c.flow(lookups, tenant, ordinaryPause, until)
	}
	if trouble {
		long := drafts
		long.name, long.usage = "long draft", fmt.Sprintf("%d,172", longPrompt)
		c.flow(long, tenants[0], longPause, until)
	}
	c.wg.Wait()
	for _, k := range []string{drafts.name, bookings.name, lookups.name, "long draft"} {
		sent, served := c.tally(func(o outcome) bool { return o.kind == k })
		r.note("%s: %d of %d served", k, served, sent)
	}
	first, firstServed := c.tally(func(o outcome) bool { return o.kind == bookings.name || o.kind == lookups.name })
	later, laterServed := c.tally(func(o outcome) bool { return o.kind == drafts.name })
	return later >= minLater && 4*float64(laterServed)/float64(later) < float64(firstServed)/float64(first), nil
}

// awaitDrafts waits until the engines hold the model and each daemon serves drafts, and forgets these.
func (c *clients) awaitDrafts() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		c.forget()
		for _, d := range c.rig.daemons {
			c.send(d, drafts, "beta")
		}
		if _, served := c.tally(func(outcome) bool { return true }); served == len(c.rig.daemons) {
			c.forget()
			return nil
		}
	}
	return errors.New("the daemons do not serve drafts")
}

// forget drops the outcomes so far.
func (c *clients) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = nil
}
