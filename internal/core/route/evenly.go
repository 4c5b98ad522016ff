package route

import (
	"time"

	"bulrushpond.example/bulrushpond/internal/core/board"
	"bulrushpond.example/bulrushpond/internal/core/even"
	"bulrushpond.example/bulrushpond/internal/core/table"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// crossZoneTime is the expected time for a token to pass from one availability zone to another, from
// which slow pipes are told.
const crossZoneTime = time.Millisecond

// evenLoad is what a Chains needs to keep the load of engines even.
type evenLoad struct {
	paces *even.Paces
	// daemons is the number of daemons as of the last pick.
	daemons int
	// factors holds how much slower each usable server is than it should be, and withheld whether it is left
	// out of the current pick, unless allowWithheld is set.
	factors       []float64
	withheld      []bool
	allowWithheld bool
	// stages is reused by ObserveGap.
	stages []even.Stage
	// pipeIDs holds the IDs under which the paces of the pipes are kept.
	pipeIDs map[board.Pipe]model.ServerID
}

// WithPaces sends slow engines a share of the requests that fits their pace.
func WithPaces(p *even.Paces) ChainsOption {
	return func(c *Chains) {
		c.even = &evenLoad{paces: p, daemons: 1, pipeIDs: map[board.Pipe]model.ServerID{}}
	}
}

// withholdSlow leaves slow servers out of a pick, except with a probability of one by their factor. A
// request that another server failed is not sent to slow ones while there are others.
func (c *Chains) withholdSlow(now time.Time, q Query) {
	e := c.even
	if e == nil {
		return
	}
	e.daemons, e.allowWithheld = q.Daemons, false
	e.factors, e.withheld = e.factors[:0], e.withheld[:0]
	for _, s := range c.usable {
		factor := e.paces.Factor(now, s.ID)
		e.factors = append(e.factors, factor)
		e.withheld = append(e.withheld, factor > 1 && (q.Request.Recoveries > 0 || c.rng.Float64()*factor >= 1))
	}
}

// allowWithheld lets the current pick use the servers that were left out, and reports whether there are any.
func (c *Chains) allowWithheld() bool {
	if c.even == nil {
		return false
	}
	c.even.allowWithheld = true
	for _, withheld := range c.even.withheld {
		if withheld {
			return true
		}
	}
	return false
}

// isWithheld reports whether a usable server is left out of the current search.
func (c *Chains) isWithheld(index int) bool {
	return c.even != nil && !c.even.allowWithheld && c.even.withheld[index]
}

// slowness returns the factor on the cost of a usable server. A slow server that was drawn in spite of it
// counts as if it were sound, or it would hardly ever be the cheapest.
func (c *Chains) slowness(index int) float64 {
	if c.even == nil || !c.even.withheld[index] {
		return 1
	}
	return c.even.factors[index]
}

// ObserveGap implements GapObserver.
func (c *Chains) ObserveGap(now time.Time, servers *table.Servers, r *table.Request) {
	e := c.even
	if e == nil {
		return
	}
	othersKnown := now.Before(servers.OthersUntil)
	e.stages = e.stages[:0]
	zone := ""
	for i, h := range r.Route.Hops {
		s := servers.Get(h.Server)
		if s == nil || s.Report.StepTime <= 0 || s.Report.Span.To <= s.Report.Span.From {
			return
		}
		if i > 0 && s.Zone != zone {
			e.stages = append(e.stages, even.Stage{Server: e.pipeID(zone, s.Zone), Expected: crossZoneTime})
		}
		zone = s.Zone
		streams, _ := s.Load(othersKnown, e.daemons)
		share := float64(h.Span.To-h.Span.From) / float64(s.Report.Span.To-s.Report.Span.From)
		step := float64(s.Report.StepTime) + streams*float64(s.Report.SequenceTime)
		e.stages = append(e.stages, even.Stage{Server: s.ID, Expected: time.Duration(share * step)})
	}
	e.paces.ObserveGap(now, r.Model, e.stages, r.Gap)
}

// pipeID returns the ID under which the pace of the pipe between two zones is kept.
func (e *evenLoad) pipeID(from, to string) model.ServerID {
	pipe := board.PipeBetween(from, to)
	id, known := e.pipeIDs[pipe]
	if !known {
		id = model.ServerID("pipe/" + pipe.From + "/" + pipe.To)
		e.pipeIDs[pipe] = id
	}
	return id
}
