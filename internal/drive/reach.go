package drive

import (
	"context"
	"slices"
	"sync"
	"time"

	"bulrushpond.example/bulrushpond/internal/core"
	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/reach"
	"bulrushpond.example/bulrushpond/internal/evlog"
	"bulrushpond.example/bulrushpond/internal/guard"
)

// ReachInterval is how often the requests in progress are checked for signs that a service is cut off.
const ReachInterval = 50 * time.Millisecond

// reachTimeout bounds a connection that is opened to learn whether a server can be reached.
const reachTimeout = 250 * time.Millisecond

// reachSlack is how much longer than reachTimeout the probes may take. If they take longer, this process itself was
// suspended, and the results are void.
const reachSlack = 100 * time.Millisecond

// CheckReach probes the services that may be cut off. It is called every ReachInterval and waits for the probes, so
// that it runs one at a time.
func (e *Edge) CheckReach(ctx context.Context) {
	now := time.Now()
	var models, plain []reach.Probe
	e.streams.View(func(c *core.Core) { models = c.ReachProbes(now) })
	plain = guard.Locked(&e.mu, func() []reach.Probe { return e.relayState.ReachProbes(now) })
	results := e.probe(ctx, slices.Concat(models, plain))
	if ctx.Err() != nil {
		return
	}
	for _, r := range results[:len(models)] {
		e.streams.ApplyReach(r)
	}
	e.applyPlainReach(results[len(models):])
	e.noteCutOff()
}

// applyPlainReach applies the results of probes of plain services.
func (e *Edge) applyPlainReach(results []reach.Result) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range results {
		if e.relayState.ApplyReach(time.Now(), r) {
			e.logReach(r.Service, slices.Contains(e.relayState.CutOff(), r.Service))
		}
	}
}

// probe makes probes and returns their results in the same order.
func (e *Edge) probe(ctx context.Context, probes []reach.Probe) []reach.Result {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	results := make([]reach.Result, len(probes))
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, p := range probes {
		results[i] = reach.Result{Service: p.Service, Tried: len(p.Addresses)}
		for _, address := range p.Addresses {
			guard.Go(&wg, func(err error) { e.log.Error(err, evlog.WorkFailed, "part", "reach", "address", address) }, func() {
				if e.connector.Connect(ctx, address) == nil {
					mu.Lock()
					defer mu.Unlock()
					results[i].Reached++
				}
			})
		}
	}
	wg.Wait()
	for i := range results {
		results[i].Void = time.Since(began) > reachTimeout+reachSlack
	}
	return results
}

func (e *Edge) logReach(service string, cutOff bool) {
	event := evlog.ServiceReached
	if cutOff {
		event = evlog.ServiceCutOff
	}
	e.log.Info(event, "service", service)
}

// CutOff returns the services that this daemon does not reach, sorted.
func (e *Edge) CutOff() []string {
	var services []string
	e.streams.View(func(c *core.Core) { services = c.CutOff() })
	e.mu.Lock()
	defer e.mu.Unlock()
	services = append(services, e.relayState.CutOff()...)
	slices.Sort(services)
	return slices.Compact(services)
}

// noteCutOff lets all other services be probed when one is newly cut off: they may share the network path.
func (e *Edge) noteCutOff() {
	cutOff := e.CutOff()
	e.mu.Lock()
	news := slices.ContainsFunc(cutOff, func(service string) bool { return !slices.Contains(e.knownCutOff, service) })
	e.knownCutOff = cutOff
	e.mu.Unlock()
	if routing := e.Routing(); news && routing != nil {
		for name := range routing.Services {
			e.suspectCutOff(name)
		}
	}
}

// ApplyOthersCutOff applies which services other daemons do not reach. One that is new there is probed here, since
// this daemon may be behind the same cut and have no requests that show it.
func (e *Edge) ApplyOthersCutOff(services []string) {
	e.mu.Lock()
	known := e.othersCutOff
	e.othersCutOff = services
	e.mu.Unlock()
	for _, name := range services {
		if !slices.Contains(known, name) {
			e.suspectCutOff(name)
		}
	}
}

// suspectCutOff lets a service be probed.
func (e *Edge) suspectCutOff(name string) {
	routing := e.Routing()
	if routing == nil {
		return
	}
	service, known := routing.Services[name]
	switch {
	case !known:
	case service.Engine != nil:
		e.streams.View(func(c *core.Core) { c.SuspectCutOff(name) })
	default:
		e.mu.Lock()
		defer e.mu.Unlock()
		e.relayState.SuspectCutOff(name)
	}
}

// SetProxies sets the addresses of daemons that reach the services which this one does not.
func (e *Edge) SetProxies(addresses []string) {
	has := e.proxies.set(addresses)
	e.mu.Lock()
	changed := e.relayState.HasProxies != has
	e.relayState.HasProxies = has
	e.mu.Unlock()
	if changed {
		e.streams.SetHasProxies(has)
	}
}

// HasProxies reports whether other daemons are known that reach what this one does not.
func (e *Edge) HasProxies() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.relayState.HasProxies
}

// ProxiedRequests returns how many requests of this daemon's callers were sent to other daemons, and how many of other
// daemons are in progress here.
func (e *Edge) ProxiedRequests() (out uint64, in int64) {
	return e.proxiedOut.Load(), e.proxiedIn.Load()
}

// ApplyReach passes the result of a probe to the core.
func (s *StreamExecutor) ApplyReach(r reach.Result) {
	s.loop.post(func(in *msgs.Inbox) { in.ReachProbes = append(in.ReachProbes, r) })
}

// SetHasProxies sets whether other daemons serve the models that this one does not reach.
func (s *StreamExecutor) SetHasProxies(has bool) {
	s.loop.post(func(in *msgs.Inbox) { in.HasProxies = &has })
}
