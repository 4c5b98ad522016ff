package table

import (
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/board"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// pipeWindow is the sliding window over which the tokens sent between availability zones
// are counted. Rates are in tokens a second.
const pipeWindow = time.Second

// propagationRounds is the number of rounds of exchange until all daemons know what one
// daemon sent.
const propagationRounds = 2

// transfer is the traffic of one request over a pipe.
type transfer struct {
	at     time.Time
	pipe   board.Pipe
	tokens int
}

// Pipes counts the recent traffic over the pipes, the links between two availability zones.
type Pipes struct {
	// own holds this daemon's transfers, oldest first.
	own []transfer
	// others holds the tokens that the other daemons sent, valid until Servers.OthersUntil.
	others map[board.Pipe]int
	// remaining holds the tokens that this daemon may still send over a pipe until the
	// next exchange with the other daemons. A pipe is added by the first call of Remaining.
	remaining map[board.Pipe]float64
}

// record counts a request's tokens on each pipe between consecutive availability zones of
// its route.
func (p *Pipes) record(now time.Time, tokens int, zones []string) {
	for i := 1; i < len(zones); i++ {
		if zones[i] != zones[i-1] {
			pipe := board.PipeBetween(zones[i-1], zones[i])
			p.own = append(p.own, transfer{at: now, pipe: pipe, tokens: tokens})
			if _, known := p.remaining[pipe]; known {
				p.remaining[pipe] -= float64(tokens)
			}
		}
	}
}

// setOthers sets the tokens that the other daemons sent, and resets what this daemon may
// still send.
func (p *Pipes) setOthers(others []board.PipeLoad) {
	p.remaining = nil
	p.others = make(map[board.Pipe]int, len(others))
	for _, load := range others {
		p.others[load.Pipe] = load.Tokens
	}
}

// dropExpired removes the transfers that are older than the window.
func (p *Pipes) dropExpired(now time.Time) {
	p.own = slices.DeleteFunc(p.own, func(tr transfer) bool { return now.Sub(tr.at) >= pipeWindow })
}

// Sent returns the tokens that this daemon sent over each pipe within the window.
func (p *Pipes) Sent(now time.Time) []board.PipeLoad {
	p.dropExpired(now)
	var sent []board.PipeLoad
	for _, tr := range p.own {
		at := slices.IndexFunc(sent, func(load board.PipeLoad) bool { return load.Pipe == tr.pipe })
		if at < 0 {
			at, sent = len(sent), append(sent, board.PipeLoad{Pipe: tr.pipe})
		}
		sent[at].Tokens += tr.tokens
	}
	return sent
}

// Load returns the tokens that this daemon and the other daemons sent over a pipe within the
// window.
func (p *Pipes) Load(now time.Time, pipe board.Pipe) (own, others int) {
	p.dropExpired(now)
	for _, tr := range p.own {
		if tr.pipe == pipe {
			own += tr.tokens
		}
	}
	return own, p.others[pipe]
}

// Remaining returns the tokens that this daemon may still send over a pipe with a capacity of rate
// tokens a second, given what all daemons sent. Until the next exchange, each daemon may use
// an even share of the free capacity, divided by propagationRounds since the others learn of
// it late. If the share is less than one request of the given tokens, the daemon gets room for
// a whole request with a probability of share/tokens, or else none. random returns
// numbers in [0, 1).
func (p *Pipes) Remaining(now time.Time, pipe board.Pipe, rate float64, tokens, daemons int, random func() float64) float64 {
	if remaining, known := p.remaining[pipe]; known {
		return remaining
	}
	own, others := p.Load(now, pipe)
	share := max(0, rate-float64(own+others)) / float64(propagationRounds*max(1, daemons))
	if need := float64(tokens); share < need {
		if random()*need < share {
			share = need
		} else {
			share = 0
		}
	}
	if p.remaining == nil {
		p.remaining = map[board.Pipe]float64{}
	}
	p.remaining[pipe] = share
	return share
}

// RecordTransfer counts a request that starts on a route on all pipes along the route.
func (t *Servers) RecordTransfer(now time.Time, r *Request, route model.Route) {
	zones := make([]string, 0, len(route.Hops))
	for _, h := range route.Hops {
		if s := t.rows[h.Server]; s != nil {
			zones = append(zones, s.Zone)
		}
	}
	t.Pipes.record(now, r.TransferTokens(r.Reserved), zones)
}
