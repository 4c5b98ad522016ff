package boot

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/mirror"
	"bulrushpond.example/bulrushpond/platform"
	"bulrushpond.example/bulrushpond/platform/fakes"
)

// TestEdgeOutlivesForeignEntries guards against entries of another writer that stop the placement for good: they name
// layers that the model does not have, or lack fields. Engines that come later must still get the layers that a crash
// left missing, and planned stops must end.
func TestEdgeOutlivesForeignEntries(t *testing.T) {
	env := newTestEnvironment(t, 2)
	const all = `"zone":"a","version":"v1","slots":8,"coldRemainingMs":0,"sequence":1,`
	for i, s := range []struct {
		fields   string
		from, to int
	}{
		{"", fakes.Layers, fakes.Layers + 4},
		{all, fakes.Layers, fakes.Layers + 4},
		{all, 0, fakes.Layers + 1},
		{all, 2, math.MaxInt},
	} {
		env.platform.Store.Put(fmt.Sprintf("servers/other%d", i), []byte(fmt.Sprintf(
			`{"service":%q,"address":"127.0.0.1:9","state":"ready",%s"routeType":"card","layers":{"source":%d,"target":%d}}`,
			fakes.EngineService, s.fields, s.from, s.to)))
	}
	putBrokenEntries(t, env.platform)
	env.waitUntil("a stream completes beside the entries", func() bool { return env.stream(0, "/draft/x").complete })
	// No engine holds all layers afterwards.
	for _, e := range env.platform.Servers() {
		if e.Kind != "" {
			e.Crash()
			e.RemoveEntry()
		}
	}
	time.Sleep(500 * time.Millisecond)
	for i := range 4 {
		_, err := env.platform.Start(fmt.Sprintf("n%d", i), "a", "card")
		assert.NilError(t, err)
		time.Sleep(300 * time.Millisecond)
	}
	for i := range env.daemons {
		env.waitUntil("streams complete on the new engines", func() bool { return env.stream(i, "/draft/x").complete })
	}
	for _, stop := range env.stops {
		began := time.Now()
		assert.NilError(t, stop())
		assert.Assert(t, time.Since(began) < 4*time.Second)
	}
}

// putBrokenEntries writes entries of both services that each have one field missing, of another type or out of range.
func putBrokenEntries(t *testing.T, p *fakes.Platform) {
	t.Helper()
	odd := []string{"", "null", `[]`, `{}`, `{"a":{"a":{"a":[[[[[[1]]]]]]}}}`, "-1", "1e400", "1.5", "99999999999999999999", `"x:99999"`, `""`, "false"}
	for _, service := range []string{fakes.EngineService, fakes.PlainService} {
		for _, field := range []string{"service", "address", "zone", "version", "slots", "state", "coldRemainingMs", "sequence", "layers"} {
			for i, value := range odd {
				entry := map[string]json.RawMessage{}
				for name, text := range map[string]string{
					"service": strconv.Quote(service), "address": `"127.0.0.1:9"`, "zone": `"a"`, "version": `"v1"`, "slots": "8", "state": `"ready"`,
					"coldRemainingMs": "0", "sequence": "1", "routeType": `"card"`, "layers": fmt.Sprintf(`{"source":0,"target":%d}`, fakes.Layers),
				} {
					entry[name] = json.RawMessage(text)
				}
				delete(entry, field)
				if value != "" {
					entry[field] = json.RawMessage(value)
				}
				raw, err := json.Marshal(entry)
				assert.NilError(t, err)
				key := fmt.Sprintf("servers/%s-%s-%d", service, field, i)
				if _, err := platform.DecodeMember(key, raw); err == nil {
					// The value is a legal one of this field.
					continue
				}
				p.Store.Put(key, raw)
			}
		}
	}
}

// TestStoreChangesOutliveFailedEntry guards against one entry that cannot be applied and that takes the changes after it
// with it: they would not come again.
func TestStoreChangesOutliveFailedEntry(t *testing.T) {
	env := newTestEnvironment(t, 0)
	var log bytes.Buffer
	daemon, err := NewEdgeDaemon(Dependencies{Log: NewLog(&log, false), Out: io.Discard}, platform.VMSettings{
		VMName: "d", Zone: "a", IP: "127.0.0.1", CallersAddress: "127.0.0.1:0", ReadinessAddress: "127.0.0.1:0", PeersAddress: "127.0.0.1:0",
		StoreAddress: env.platform.Address(), Cores: 1,
	}, 0)
	assert.NilError(t, err)
	// Without a roster, the entry of any server makes the daemon panic.
	daemon.roster = nil
	config := env.platform.Store.Value(platform.KeyRouting)
	daemon.applyStoreChanges(time.Now(), mirror.Changes{Items: []mirror.Item{
		{Key: platform.ServerKeyPrefix + "i", Revision: 1, Removed: true},
		{Key: platform.KeyRouting, Revision: 2, Value: config},
	}})
	assert.Assert(t, daemon.edge.Routing() != nil, "the configuration is not in force")
	assert.Assert(t, bytes.Contains(log.Bytes(), []byte(`"work_failed"`)), "%s", log.String())
	assert.Assert(t, daemon.mu.TryLock())
}

// TestUnreadableConfigurationIsExplained checks that the log of a daemon without settings says why it uses no part of a
// configuration that it cannot read.
func TestUnreadableConfigurationIsExplained(t *testing.T) {
	env := newTestEnvironment(t, 0)
	var log bytes.Buffer
	daemon, err := NewEdgeDaemon(Dependencies{Log: NewLog(&log, false), Out: io.Discard}, platform.VMSettings{
		VMName: "d", Zone: "a", IP: "127.0.0.1", CallersAddress: "127.0.0.1:0", ReadinessAddress: "127.0.0.1:0", PeersAddress: "127.0.0.1:0",
		StoreAddress: env.platform.Address(), Cores: 1,
	}, 0)
	assert.NilError(t, err)
	daemon.applyStoreChanges(time.Now(), mirror.Changes{Items: []mirror.Item{
		{Key: platform.KeyRouting, Revision: 2, Value: []byte(`{"version":7,"routes":[{"host":"h","prefix":"/a/","routeType":"sometimes"}],"services":[]}`)},
	}})
	assert.Assert(t, daemon.edge.Routing() == nil)
	assert.Assert(t, bytes.Contains(log.Bytes(), []byte("no route of the operators' configuration is valid")), "%s", log.String())
}

// failingPart fails whenever it is started.
type failingPart struct{ starts chan struct{} }

func (p failingPart) Serve(context.Context) error {
	select {
	case p.starts <- struct{}{}:
	default:
	}
	panic("broken")
}

func (p failingPart) String() string { return "broken" }

// TestPartsRestartApart guards against a part that fails again and again and keeps the supervisor from restarting the
// others.
func TestPartsRestartApart(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	supervisor := newSupervisor("test", NewLog(io.Discard, false))
	broken := failingPart{starts: make(chan struct{}, 100)}
	addParts(supervisor, NewLog(io.Discard, false), broken)
	fail := make(chan struct{})
	restarted := make(chan struct{}, 10)
	addParts(supervisor, NewLog(io.Discard, false), periodicTask{name: "sound", interval: time.Hour, run: func(ctx context.Context) {
		restarted <- struct{}{}
		select {
		case <-ctx.Done():
		case <-fail:
			panic("once")
		}
	}})
	done := supervisor.ServeBackground(ctx)
	<-restarted
	for range 6 {
		<-broken.starts
	}
	time.Sleep(100 * time.Millisecond)
	fail <- struct{}{}
	select {
	case <-restarted:
	case <-time.After(5 * time.Second):
		t.Fatal("the sound part was not restarted")
	}
	cancel()
	<-done
}

// TestStartWithUnreadableRoute guards against a configuration with a part that a daemon cannot read: those that run go on with
// the one before, but one that starts had none and refused all requests, and so did the whole fleet after a loss of all VMs.
func TestStartWithUnreadableRoute(t *testing.T) {
	env := newTestEnvironment(t, 1)
	config := string(env.platform.Store.Value("op/config"))
	// Versions are below 100 here.
	next := regexp.MustCompile(`"version":\d+`).ReplaceAllString(strings.Replace(config, `"routeType":"idempotent"`, `"routeType":"sometimes"`, 1), `"version":100`)
	assert.Assert(t, next != config && strings.Contains(next, "sometimes"))
	env.platform.Store.Put("op/config", []byte(next))
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, env.call(0, http.MethodGet, "/read/x", "key-n", "").code, http.StatusOK, "a daemon that runs keeps the configuration before")

	assert.NilError(t, env.stops[0]())
	env.start(nil)
	env.waitUntil("a stream completes after the start", func() bool { return env.stream(1, "/draft/x").complete })
	assert.Equal(t, env.call(1, http.MethodPost, "/book/x", "key-n", "b").code, http.StatusOK)
	assert.Equal(t, env.call(1, http.MethodPost, "/book/x", "key-other", "b").code, http.StatusUnauthorized)
	refused := env.call(1, http.MethodGet, "/read/x", "key-n", "")
	assert.Equal(t, refused.code, http.StatusServiceUnavailable)
	assert.Assert(t, refused.header.Get("Retry-After") != "")
	env.platform.Store.Put("op/config", []byte(strings.Replace(strings.Replace(next, "sometimes", "idempotent", 1), `"version":100`, `"version":101`, 1)))
	env.waitUntil("the next whole configuration is in force", func() bool { return env.call(1, http.MethodGet, "/read/x", "key-n", "").code == http.StatusOK })
}
