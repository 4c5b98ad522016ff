package route

import (
	"math"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/board"
	"bulrushpond.example/bulrushpond/internal/core/even"
	"bulrushpond.example/bulrushpond/internal/core/table"
	"bulrushpond.example/bulrushpond/pkg/model"
)

// crossZoneTime is the expected time for a token to pass from one availability zone to another, from
// which slow pipes are told.
const crossZoneTime = time.Millisecond

// usualRequestTokens is the assumed number of tokens of a request with its answer.
const usualRequestTokens = 512

// evenLoad is what a Chains needs to keep the load of engines even.
type evenLoad struct {
	paces *even.Paces
	// balances estimate the use of the engines of each model; nil unless WithBalance is set.
	balances map[string]*modelBalance
	// daemons is the number of daemons as of the last pick.
	daemons int
	// factors holds how much slower each usable server is than it should be, and withheld whether it is left
	// out of the current pick, unless allowWithheld is set.
	factors       []float64
	withheld      []bool
	allowWithheld bool
	// meanUses and corrections hold, for each usable server, the mean use of the servers with the same layers and
	// by how much the use is estimated to have changed since the latest news. evenness is how much an even load
	// counts.
	meanUses, corrections, evenness []float64
	// stages is reused by ObserveGap.
	stages []even.Stage
	// pipeIDs holds the IDs under which the paces of the pipes are kept.
	pipeIDs map[board.Pipe]model.ServerID
}

// modelBalance is the balance of one model's usable servers, in the same order.
type modelBalance struct {
	*even.Balance
	// collected is the Chains' counter as of the rows, othersUntil the end of the news that the rows are from.
	collected   uint64
	othersUntil time.Time
}

// WithPaces sends slow engines a share of the requests that fits their pace.
func WithPaces(p *even.Paces) ChainsOption {
	return func(c *Chains) {
		c.even = &evenLoad{paces: p, daemons: 1, pipeIDs: map[board.Pipe]model.ServerID{}}
	}
}

// WithBalance is WithPaces, and keeps the use of the engines even.
func WithBalance(p *even.Paces) ChainsOption {
	return func(c *Chains) {
		WithPaces(p)(c)
		c.even.balances = map[string]*modelBalance{}
	}
}

// balances reports whether the use of the engines is kept even.
func (c *Chains) balances() bool { return c.even != nil && c.even.balances != nil }

// weigh sets the factors on the costs of the usable servers so that the load becomes even.
func (c *Chains) weigh(now time.Time, servers *table.Servers, q Query) {
	if !c.balances() {
		return
	}
	e := c.even
	b := e.balances[q.Request.Model]
	if b == nil {
		b = &modelBalance{Balance: even.NewBalance()}
		e.balances[q.Request.Model] = b
	}
	if b.collected != c.collected || b.othersUntil != servers.OthersUntil {
		b.collected, b.othersUntil = c.collected, servers.OthersUntil
		newsAt := servers.OthersUntil
		if !newsAt.IsZero() {
			newsAt = newsAt.Add(-board.StatusTTL)
		}
		b.SetNews(newsAt, max(1, q.Layers), c.uses())
	}
	b.CountStart()
	e.meanUses, e.corrections, e.evenness = e.meanUses[:0], e.corrections[:0], e.evenness[:0]
	for i, s := range c.usable {
		evenness := b.Evenness(i)
		e.evenness = append(e.evenness, evenness)
		e.meanUses = append(e.meanUses, b.MeanUse(i))
		e.corrections = append(e.corrections, b.Correction(now, i))
		if evenness > 0 {
			weight := b.Weight(now, i, UseOf(s, len(s.Users), s.Tokens), len(s.Users))
			// Of several exponentially distributed costs, each is the lowest with a probability that is
			// proportional to one by its mean.
			c.jitter[i] = (1-evenness)*c.jitter[i] + evenness*c.rng.ExpFloat64()*b.ByRoom(i)/weight
		}
	}
}

// partPenalty returns the factor on the cost of a stage that runs only the last layers of a usable server. Such a
// stage takes less time, but as much room as one that runs all of them.
func (c *Chains) partPenalty(index, layer int) float64 {
	if !c.balances() || c.even.evenness[index] == 0 {
		return 1
	}
	span := c.usable[index].Report.Span
	whole := float64(span.To-span.From) / float64(span.To-layer)
	return 1 + c.even.evenness[index]*(whole-1)
}

// staleNewsTTL is how long news that are no longer valid still tell the load of the other daemons: on average
// it is the same. A daemon with few requests can't tell it from its own.
const staleNewsTTL = 10 * time.Second

// loadNow corrects the load of a usable server by what the other daemons are estimated to have evened out since
// the latest news.
func (c *Chains) loadNow(now time.Time, servers *table.Servers, index int, streams, tokens float64) (streamsNow, tokensNow float64) {
	if !c.balances() || servers.OthersUntil.IsZero() {
		return streams, tokens
	}
	s := c.usable[index]
	if !c.othersKnown {
		if now.Sub(servers.OthersUntil) > staleNewsTTL {
			return streams, tokens
		}
		streams, tokens = float64(len(s.Users)+s.OtherStreams), float64(s.Tokens+s.OtherTokens)
	}
	correction := c.even.corrections[index]
	return max(0, streams+correction*float64(s.Report.Slots)), max(0, tokens+correction*s.Report.CacheTokens)
}

// costingUse returns the use of a usable server's cache that its cost is derived from. Where the load is kept
// even, that is the mean use, as the weights already count the difference.
func (c *Chains) costingUse(index int, use float64) float64 {
	if !c.balances() {
		return use
	}
	return (1-c.even.evenness[index])*use + c.even.evenness[index]*c.even.meanUses[index]
}

// uses returns the uses of the usable servers as of the latest news.
func (c *Chains) uses() []even.Row {
	rows := make([]even.Row, 0, len(c.usable))
	for _, s := range c.usable {
		own := UseOf(s, len(s.Users), s.Tokens)
		rows = append(rows, even.Row{
			From: s.Report.Span.From, To: s.Report.Span.To, Room: roomOf(s), Cost: s.Report.StepTime + stageOverhead, Zone: s.Zone, Streams: len(s.Users),
			Own: own, Others: UseOf(s, len(s.Users)+s.OtherStreams, s.Tokens+s.OtherTokens) - own,
		})
	}
	return rows
}

// UseOf returns the share of a server's room that streams with a number of tokens use, in what binds it: the
// cache or the slots.
func UseOf(s *table.Server, streams, tokens int) float64 {
	use := 0.0
	if s.Report.Slots > 0 {
		use = float64(streams) / float64(s.Report.Slots)
	}
	if s.Report.CacheTokens > 0 {
		use = max(use, float64(tokens)/s.Report.CacheTokens)
	}
	return use
}

// roomOf estimates the number of requests that a server has room for.
func roomOf(s *table.Server) float64 {
	room := math.Inf(1)
	if s.Report.Slots > 0 {
		room = float64(s.Report.Slots)
	}
	if s.Report.CacheTokens > 0 {
		room = min(room, s.Report.CacheTokens/usualRequestTokens)
	}
	if math.IsInf(room, 1) {
		return 1
	}
	return room
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

// allowWithheld lets the current pick use the servers that were left out, and reports whether that allows more.
func (c *Chains) allowWithheld() bool {
	if c.even == nil || c.even.allowWithheld {
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
