package integ

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/pkg/model"
)

// Callers retry bookings with the same idempotency keys through any daemon, while one daemon is
// killed, another is paused for longer than its lease, and the key-value service fails and then
// loses responses. Guards against bookings that run twice, answered bookings that didn't run,
// and bookings that ran although every attempt was refused as not_run.
func TestBookingsRunOnceDespiteFaults(t *testing.T) {
	s := newSite(t)
	s.startEngines(2)
	serviceAddress := s.startFake("service")
	s.putMember(model.Member{ID: "bookings-0", Address: serviceAddress, Role: model.Service, Service: "bookings"})
	names := []string{"d0", "d1", "d2"}
	for _, name := range names {
		s.startDaemon(name)
	}
	s.applySettings()
	s.eventually("first booking", func() bool {
		status, _ := s.post("d0", "/v1/services/bookings/visits", `"first"`, "first")
		return status == http.StatusOK
	})

	load := &bookingLoad{site: s, names: names, stop: make(chan struct{}), answered: map[string]bool{}, refused: map[string]bool{}}
	for i := range 6 {
		load.wg.Go(func() { load.repeat(i) })
	}
	time.Sleep(time.Second)
	d1 := s.daemons["d1"]
	assert.NilError(t, d1.cmd.Process.Kill())
	<-d1.done
	time.Sleep(time.Second)
	s.startDaemon("d1")
	d2Process := s.daemons["d2"].cmd.Process
	assert.NilError(t, d2Process.Signal(syscall.SIGSTOP))
	time.Sleep(9 * time.Second)
	assert.NilError(t, d2Process.Signal(syscall.SIGCONT))
	for _, fault := range []string{"outage", "healthy", "lost_answers", "healthy"} {
		s.setFault(fault)
		time.Sleep(time.Second)
		if fault == "outage" {
			status, body := s.post("d0", "/v1/completions", "", `{"model":"roster-7b","prompt":"during an outage"}`)
			assert.Equal(t, status, http.StatusOK, body)
		}
	}
	answeredBefore := load.count()
	s.eventually("bookings succeed after all faults", func() bool { return load.count() > answeredBefore+20 })
	close(load.stop)
	load.wg.Wait()
	t.Logf("%d bookings answered, %d abandoned as not_run", len(load.answered), len(load.refused))
	for name := range load.answered {
		assert.Equal(t, bookingRuns(t, serviceAddress, name), 1, "answered booking %s", name)
	}
	for name := range load.refused {
		assert.Equal(t, bookingRuns(t, serviceAddress, name), 0, "refused booking %s", name)
	}
}

// bookingRuns asks the service how often a booking ran.
func bookingRuns(t *testing.T, serviceAddress, name string) int {
	resp, err := http.Get(fmt.Sprintf("http://%s/?name=%s", serviceAddress, name))
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var runs int
	_, err = fmt.Fscan(resp.Body, &runs)
	assert.NilError(t, err)
	return runs
}

// bookingLoad sends bookings from several workers. Each booking is retried with the same key
// through one daemon after the other.
type bookingLoad struct {
	site  *site
	names []string
	stop  chan struct{}
	wg    sync.WaitGroup

	mu sync.Mutex
	// answered holds the bookings that got a response with status 200, refused those for which
	// every attempt was refused as not_run.
	answered, refused map[string]bool
}

func (b *bookingLoad) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.answered)
}

// repeat sends bookings of one worker until the load is stopped.
func (b *bookingLoad) repeat(worker int) {
	for n := 0; ; n++ {
		select {
		case <-b.stop:
			return
		case <-time.After(20 * time.Millisecond):
			b.book(fmt.Sprintf("visit-%d-%d", worker, n), worker+n)
		}
	}
}

const attemptsPerBooking = 6

// book sends one booking, with retries, and records its outcome.
func (b *bookingLoad) book(name string, firstDaemon int) {
	notRun := true
	for attempt := range attemptsPerBooking {
		daemonName := b.names[(firstDaemon+attempt)%len(b.names)]
		status, body := b.site.postWithTimeout(3*time.Second, daemonName, "/v1/services/bookings/visits", `"`+name+`"`, name)
		if status == http.StatusOK {
			b.mu.Lock()
			b.answered[name] = true
			b.mu.Unlock()
			return
		}
		// Without a response, or with another verdict, the booking may have run.
		notRun = notRun && (strings.Contains(body, `"verdict":"not_run"`) || strings.Contains(body, "connection refused"))
	}
	if notRun {
		b.mu.Lock()
		b.refused[name] = true
		b.mu.Unlock()
	}
}
