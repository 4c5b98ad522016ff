package drive

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpond.example/bulrushpond/internal/core"
	"bulrushpond.example/bulrushpond/internal/core/route"
	"bulrushpond.example/bulrushpond/internal/core/table"
	"bulrushpond.example/bulrushpond/internal/fakes"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// failingPicker panics for requests with a prefix.
type failingPicker struct {
	route.Picker
	prefix uint64
}

func (p failingPicker) Pick(now time.Time, servers *table.Servers, q route.Query) (model.Route, route.Result) {
	if q.Request.Prefix == p.prefix {
		panic("no such layer")
	}
	return p.Picker.Pick(now, servers, q)
}

// TestStreamsOutliveFailedTick guards against a request on which the decisions panic and that takes other requests with
// it: those that wait, those in progress and those that come later. It is refused at once, as not run.
func TestStreamsOutliveFailedTick(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The engines always have room for the streams, so that no request waits for it.
		const poison, streams = 99, 4
		s, _ := newTestStreams(t, core.WithPicker(failingPicker{Picker: route.NewFlow(1), prefix: poison}))
		want := strings.Join(fakes.Answer("Draft a roster", 32, 100), "")
		type result struct {
			text    string
			failure *verdt.Error
		}
		results := make(chan result, streams)
		for i := range streams {
			_, reply := s.Start(newAsk("Draft a roster", time.Minute))
			go func() {
				text, finish := collect(t, reply, func(model.Token) {})
				results <- result{text, finish.Failure}
			}()
			time.Sleep(time.Duration(i) * 7 * time.Millisecond)
			bad := newAsk("Draft a roster", time.Minute)
			bad.Prefix = poison
			_, refused := s.Start(bad)
			began := time.Now()
			_, finish := collect(t, refused, func(model.Token) {})
			assert.Assert(t, finish.Failure != nil && finish.Failure.Verdict == verdt.NotRun && finish.Failure.Reason == verdt.Internal, "%v", finish.Failure)
			assert.Assert(t, time.Since(began) < 100*time.Millisecond)
		}
		complete := 0
		for range streams {
			r := <-results
			if r.failure == nil {
				assert.Equal(t, r.text, want)
				complete++
				continue
			}
			// A stream with events in a failed tick is cut: what the caller has of it is right.
			assert.Assert(t, strings.HasPrefix(want, r.text))
			assert.Equal(t, r.failure.Verdict, verdt.MayHaveRun)
		}
		assert.Assert(t, complete > 0)
		_, reply := s.Start(newAsk("Draft a roster", time.Minute))
		text, finish := collect(t, reply, func(model.Token) {})
		assert.Assert(t, finish.Failure == nil, "%v", finish.Failure)
		assert.Equal(t, text, want)
		synctest.Wait()
		s.View(func(c *core.Core) { assert.Equal(t, len(c.DaemonStatus(time.Now()).Loads), 0) })
	})
}
