package integ

import (
	"net/http"
	"sync"
	"time"
)

// balancer is the platform's balancer: it sends requests to the daemons that
// said they were ready when it last looked.
type balancer struct {
	site  *site
	names []string

	mu    sync.Mutex
	ready []string
	turn  int
	stop  chan struct{}
	done  chan struct{}
}

const balancerLook = 300 * time.Millisecond

func newBalancer(s *site, names []string) *balancer {
	b := &balancer{site: s, names: names, stop: make(chan struct{}), done: make(chan struct{})}
	b.look()
	go func() {
		defer close(b.done)
		for {
			select {
			case <-b.stop:
				return
			case <-time.After(balancerLook):
				b.look()
			}
		}
	}()
	return b
}

func (b *balancer) close() {
	close(b.stop)
	<-b.done
}

func (b *balancer) look() {
	var ready []string
	for _, name := range b.names {
		resp, err := http.Get("http://" + b.site.daemons[name].file.Callers + "/readyz")
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

// next returns a ready daemon, or nothing.
func (b *balancer) next() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return ""
	}
	b.turn++
	return b.ready[b.turn%len(b.ready)]
}
