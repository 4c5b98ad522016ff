package integ

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/fakes"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// All seven daemons are stopped and started again, one after the other, under
// load: no request is cut, none is refused, and no booking runs twice.
func TestRollingRestart(t *testing.T) {
	s := newSite(t)
	s.engines(3)
	booking := s.standin("service")
	s.list(model.Member{ID: "bookings-0", Address: booking, Role: model.Service, Service: "bookings"})
	var names []string
	for i := range 7 {
		names = append(names, fmt.Sprintf("d%d", i))
		s.start(names[i])
	}
	s.apply()
	for _, name := range names {
		s.eventually("booking through "+name, func() bool {
			status, _ := s.post(name, "/v1/services/bookings/visits", `"start-`+name+`"`, "start")
			return status == http.StatusOK
		})
		s.eventually("answer through "+name, func() bool {
			status, _ := s.post(name, "/v1/completions", "", `{"model":"roster-7b","prompt":"ready?"}`)
			return status == http.StatusOK
		})
	}

	load := startLoad(s, names)
	for _, name := range names {
		assert.NilError(t, s.stop(name), "daemon %s", name)
		s.start(name)
		s.eventually(name+" is ready again", func() bool {
			status, _ := s.post(name, "/v1/completions", "", `{"model":"roster-7b","prompt":"ready?"}`)
			return status == http.StatusOK
		})
	}
	load.end()
	t.Logf("%d requests and %d bookings during seven restarts", load.requests.Load(), load.bookings.Load())
	assert.Assert(t, len(load.failures) == 0, strings.Join(load.failures, "\n"))
	assert.Assert(t, load.requests.Load() > 100 && load.bookings.Load() > 100)
	for i := range load.bookings.Load() {
		resp, err := http.Get(fmt.Sprintf("http://%s/?name=visit-%d", booking, i+1))
		assert.NilError(t, err)
		var runs int
		_, err = fmt.Fscan(resp.Body, &runs)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, runs, 1, "booking %d", i+1)
	}
}

// load is a stream of requests and bookings from a few callers.
type load struct {
	site               *site
	balancer           *balancer
	requests, bookings atomic.Int64
	stop               chan struct{}
	wg                 sync.WaitGroup

	mu       sync.Mutex
	failures []string
}

func startLoad(s *site, names []string) *load {
	l := &load{site: s, balancer: newBalancer(s, names), stop: make(chan struct{})}
	for range 3 {
		l.wg.Go(func() { l.repeat(l.ask) })
		l.wg.Go(func() { l.repeat(l.book) })
	}
	return l
}

func (l *load) end() {
	close(l.stop)
	l.wg.Wait()
	l.balancer.close()
}

func (l *load) repeat(do func(daemon string)) {
	for {
		select {
		case <-l.stop:
			return
		case <-time.After(10 * time.Millisecond):
			do(l.balancer.next())
		}
	}
}

func (l *load) fail(what string, status int, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, fmt.Sprintf("%s: %d %s", what, status, body))
}

func (l *load) ask(daemon string) {
	n := l.requests.Add(1)
	prompt := fmt.Sprintf("roster %d", n)
	status, body := l.site.post(daemon, "/v1/completions", "", fmt.Sprintf(`{"model":"roster-7b","prompt":%q,"stream":true}`, prompt))
	want := fakes.Answer(prompt, 32, 0)
	if status != http.StatusOK || !strings.HasSuffix(body, "data: [DONE]\n\n") || strings.Count(body, "id: ") != len(want) {
		l.fail("request through "+daemon, status, body)
	}
}

func (l *load) book(daemon string) {
	name := fmt.Sprintf("visit-%d", l.bookings.Add(1))
	status, body := l.site.post(daemon, "/v1/services/bookings/visits", `"`+name+`"`, name)
	if status != http.StatusOK || !strings.Contains(body, `"runs":1`) {
		l.fail("booking through "+daemon, status, body)
	}
}
