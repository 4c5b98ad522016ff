package integ

import (
	"net/http"
	"sync"
	"time"
)

// balancer is a fake of the platform's load balancer: it distributes requests round-robin over
// the daemons that were ready at its last probe.
type balancer struct {
	site  *site
	names []string

	mu    sync.Mutex
	ready []string
	picks int
	stop  chan struct{}
	done  chan struct{}
}

// probeInterval is the pause between two readiness probes of all daemons.
const probeInterval = 300 * time.Millisecond

func newBalancer(s *site, names []string) *balancer {
	b := &balancer{site: s, names: names, stop: make(chan struct{}), done: make(chan struct{})}
	b.probe()
	go func() {
		defer close(b.done)
		for {
			select {
			case <-b.stop:
				return
			case <-time.After(probeInterval):
				b.probe()
			}
		}
	}()
	return b
}

func (b *balancer) close() {
	close(b.stop)
	<-b.done
}

func (b *balancer) probe() {
	var ready []string
	for _, name := range b.names {
		resp, err := http.Get("http://" + b.site.daemons[name].settings.Callers + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			ready = append(ready, name)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

// pickReady returns the name of the next ready daemon, or "" if none is ready.
func (b *balancer) pickReady() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return ""
	}
	b.picks++
	return b.ready[b.picks%len(b.ready)]
}
