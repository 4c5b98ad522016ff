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

// A daemon is killed, another frozen for longer than its lease, and the
// key-value service goes down and loses answers, while callers retry their
// bookings with the same keys through any daemon: no booking runs twice, each
// that was answered ran once, and each refused as not_run and not tried again
// did not run.
func TestFailures(t *testing.T) {
	s := newSite(t)
	s.engines(2)
	service := s.standin("service")
	s.list(model.Member{ID: "bookings-0", Address: service, Role: model.Service, Service: "bookings"})
	names := []string{"d0", "d1", "d2"}
	for _, name := range names {
		s.start(name)
	}
	s.apply()
	s.eventually("first booking", func() bool {
		status, _ := s.post("d0", "/v1/services/bookings/visits", `"first"`, "first")
		return status == http.StatusOK
	})

	b := &bookers{site: s, names: names, stop: make(chan struct{}), answered: map[string]bool{}, refused: map[string]bool{}}
	for i := range 6 {
		b.wg.Go(func() { b.run(i) })
	}
	time.Sleep(time.Second)
	d1 := s.daemons["d1"]
	assert.NilError(t, d1.cmd.Process.Kill())
	<-d1.done
	time.Sleep(time.Second)
	s.start("d1")
	d2 := s.daemons["d2"].cmd.Process
	assert.NilError(t, d2.Signal(syscall.SIGSTOP))
	time.Sleep(9 * time.Second)
	assert.NilError(t, d2.Signal(syscall.SIGCONT))
	for _, fault := range []string{"outage", "healthy", "lost_answers", "healthy"} {
		s.fault(fault)
		time.Sleep(time.Second)
		if fault == "outage" {
			status, body := s.post("d0", "/v1/completions", "", `{"model":"roster-7b","prompt":"during an outage"}`)
			assert.Equal(t, status, http.StatusOK, body)
		}
	}
	before := b.count()
	s.eventually("bookings go on after all faults", func() bool { return b.count() > before+20 })
	close(b.stop)
	b.wg.Wait()
	t.Logf("%d bookings answered, %d given up as not_run", len(b.answered), len(b.refused))
	for name := range b.answered {
		assert.Equal(t, runsOf(t, service, name), 1, "answered booking %s", name)
	}
	for name := range b.refused {
		assert.Equal(t, runsOf(t, service, name), 0, "refused booking %s", name)
	}
}

func runsOf(t *testing.T, service, name string) int {
	resp, err := http.Get(fmt.Sprintf("http://%s/?name=%s", service, name))
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var runs int
	_, err = fmt.Fscan(resp.Body, &runs)
	assert.NilError(t, err)
	return runs
}

// bookers retry each booking with its key, through one daemon after the other.
type bookers struct {
	site  *site
	names []string
	stop  chan struct{}
	wg    sync.WaitGroup

	mu sync.Mutex
	// answered holds bookings with an answer, refused those whose every try
	// was refused as not_run.
	answered, refused map[string]bool
}

func (b *bookers) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.answered)
}

func (b *bookers) run(worker int) {
	for n := 0; ; n++ {
		select {
		case <-b.stop:
			return
		case <-time.After(20 * time.Millisecond):
			b.book(fmt.Sprintf("visit-%d-%d", worker, n), worker+n)
		}
	}
}

const triesPerBooking = 6

func (b *bookers) book(name string, turn int) {
	sure := true
	for try := range triesPerBooking {
		daemon := b.names[(turn+try)%len(b.names)]
		status, body := b.site.postWithin(3*time.Second, daemon, "/v1/services/bookings/visits", `"`+name+`"`, name)
		if status == http.StatusOK {
			b.mu.Lock()
			b.answered[name] = true
			b.mu.Unlock()
			return
		}
		// No answer, or one that is not a true not_run, leaves it open.
		sure = sure && (strings.Contains(body, `"verdict":"not_run"`) || strings.Contains(body, "connection refused"))
	}
	if sure {
		b.mu.Lock()
		b.refused[name] = true
		b.mu.Unlock()
	}
}
