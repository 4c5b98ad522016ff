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

// All seven daemons are restarted one after the other under load. Guards against requests that
// are cut off or refused during a planned restart, and against bookings that run twice.
func TestRollingRestart(t *testing.T) {
	s := newSite(t)
	s.startEngines(3)
	serviceAddress := s.startFake("service")
	s.putMember(model.Member{ID: "bookings-0", Address: serviceAddress, Role: model.Service, Service: "bookings"})
	var names []string
	for i := range 7 {
		names = append(names, fmt.Sprintf("d%d", i))
		s.startDaemon(names[i])
	}
	s.applySettings()
	for _, name := range names {
		s.eventually("booking through "+name, func() bool {
			status, _ := s.post(name, "/v1/services/bookings/visits", `"start-`+name+`"`, "start")
			return status == http.StatusOK
		})
		s.eventually("completion through "+name, func() bool {
			status, _ := s.post(name, "/v1/completions", "", `{"model":"roster-7b","prompt":"ready?"}`)
			return status == http.StatusOK
		})
	}

	load := startLoad(s, names)
	for _, name := range names {
		assert.NilError(t, s.stopDaemon(name), "daemon %s", name)
		s.startDaemon(name)
		s.eventually(name+" is ready again", func() bool {
			status, _ := s.post(name, "/v1/completions", "", `{"model":"roster-7b","prompt":"ready?"}`)
			return status == http.StatusOK
		})
	}
	load.finish()
	t.Logf("%d requests and %d bookings during seven restarts", load.requests.Load(), load.bookings.Load())
	assert.Assert(t, len(load.failures) == 0, strings.Join(load.failures, "\n"))
	assert.Assert(t, load.requests.Load() > 100 && load.bookings.Load() > 100)
	for i := range load.bookings.Load() {
		resp, err := http.Get(fmt.Sprintf("http://%s/?name=visit-%d", serviceAddress, i+1))
		assert.NilError(t, err)
		var runs int
		_, err = fmt.Fscan(resp.Body, &runs)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, runs, 1, "booking %d", i+1)
	}
}

// callerLoad sends completions and bookings from several concurrent callers and records the
// failures.
type callerLoad struct {
	site               *site
	balancer           *balancer
	requests, bookings atomic.Int64
	stop               chan struct{}
	wg                 sync.WaitGroup

	mu       sync.Mutex
	failures []string
}

func startLoad(s *site, names []string) *callerLoad {
	l := &callerLoad{site: s, balancer: newBalancer(s, names), stop: make(chan struct{})}
	for range 3 {
		l.wg.Go(func() { l.repeat(l.sendCompletion) })
		l.wg.Go(func() { l.repeat(l.sendBooking) })
	}
	return l
}

// finish stops the load and waits until all callers are done.
func (l *callerLoad) finish() {
	close(l.stop)
	l.wg.Wait()
	l.balancer.close()
}

// repeat sends requests to ready daemons until the load is stopped.
func (l *callerLoad) repeat(send func(daemonName string)) {
	for {
		select {
		case <-l.stop:
			return
		case <-time.After(10 * time.Millisecond):
			send(l.balancer.pickReady())
		}
	}
}

func (l *callerLoad) recordFailure(operation string, status int, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, fmt.Sprintf("%s: %d %s", operation, status, body))
}

// sendCompletion sends a streamed completion and checks that it is complete.
func (l *callerLoad) sendCompletion(daemonName string) {
	n := l.requests.Add(1)
	prompt := fmt.Sprintf("roster %d", n)
	status, body := l.site.post(daemonName, "/v1/completions", "", fmt.Sprintf(`{"model":"roster-7b","prompt":%q,"stream":true}`, prompt))
	want := fakes.Answer(prompt, 32, 0)
	if status != http.StatusOK || !strings.HasSuffix(body, "data: [DONE]\n\n") || strings.Count(body, "id: ") != len(want) {
		l.recordFailure("request through "+daemonName, status, body)
	}
}

// sendBooking sends a booking with a new key and checks that it ran once.
func (l *callerLoad) sendBooking(daemonName string) {
	name := fmt.Sprintf("visit-%d", l.bookings.Add(1))
	status, body := l.site.post(daemonName, "/v1/services/bookings/visits", `"`+name+`"`, name)
	if status != http.StatusOK || !strings.Contains(body, `"runs":1`) {
		l.recordFailure("booking through "+daemonName, status, body)
	}
}
