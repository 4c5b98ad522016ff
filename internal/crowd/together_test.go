//go:build linux && !race

package crowd

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"bulrushpond.example/bulrushpond/platform/fakes"
)

// TestCrowdsTogether has crowds at all ports and in all stages at a time. Each limit alone leaves room; their sum must, too.
func TestCrowdsTogether(t *testing.T) {
	e := startEdge(t, withServers(func(s *fakes.Server) {
		s.AnswerBytes = 4_000_000
		if s.Kind != "" {
			s.Events, s.EventInterval, s.EventBytes = 1000, time.Millisecond, 16_000
		}
	}))
	get := requestHead(http.MethodGet, "/read/x") + "\r\n"
	stream := requestHead(http.MethodPost, "/draft/x") + "Content-Length: 5\r\n\r\ndraft"
	body := requestHead(http.MethodPost, "/book/visit") + "Content-Length: 250001\r\n\r\n" + strings.Repeat("x", 250_000)
	fields := "GET / HTTP/1.1\r\n" + smallFields(66_000)
	crowds := []crowd{
		{clients: 50, address: e.callers, behave: sendAndHold(fields)},
		{clients: 50, address: e.callers, behave: sendAndHold(body)},
		{clients: 50, address: e.callers, behave: sendAndHold("")},
		{clients: 50, address: e.callers, receiveBuffer: 4096, behave: sendUnread(get)},
		{clients: 50, address: e.callers, receiveBuffer: 4096, behave: sendUnread(stream)},
		{clients: 50, address: e.readiness, behave: sendAndHold(fields)},
		{clients: 50, address: e.metrics, behave: sendAndHold(fields)},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	for _, c := range crowds {
		for range c.clients {
			wg.Go(func() { c.runClient(ctx) })
		}
	}
	transport := newTransport(t)
	for range 30 {
		wg.Go(func() {
			for ctx.Err() == nil {
				e.holdMessages(ctx, transport, 20, make([]byte, 300_000))
				wait(ctx, reconnectPause)
			}
		})
	}
	time.Sleep(crowdTime)
	e.eventually("an ordinary request is answered beside the crowds", e.serves)
	e.eventually("the readiness check is answered beside the crowds", e.ready)
	cancel()
	wg.Wait()
	e.eventually("an ordinary request is answered after the crowds", e.serves)
	e.eventually("the readiness check is answered after the crowds", e.ready)
	e.eventually("a peer is answered after the crowds", e.answersPeer)
	e.check()
}
