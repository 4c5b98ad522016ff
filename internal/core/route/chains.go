package route

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/board"
	"bulrushpond.example/bulrushpond/internal/core/table"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

const (
	// stageOverhead is the cost of one more stage per token: the latency to the next
	// engine within an availability zone, and the risk that one more engine fails.
	stageOverhead = 250 * time.Microsecond
	// crossZonePenalty is the cost of each link between two availability zones inside a
	// chain. It is far above the link's latency, because all chains share its bandwidth.
	crossZonePenalty = 30 * time.Millisecond
	// remoteZonePenalty is the cost of a chain that starts outside the daemon's own zone, so
	// that the daemons spread over the zones' chains.
	remoteZonePenalty = 3 * time.Millisecond
	// promptWeight is the weight of the time to read the prompt, which is spent once for
	// an answer, relative to the time between two tokens.
	promptWeight = 0.01
	// maxCacheUse is the share of an engine's cache that may be allocated. The rest is
	// reserved for answers that turn out longer and for requests of other daemons.
	maxCacheUse = 0.9
	// maxPipeUse is the share of the rate of a pipe between two zones that may be
	// allocated. If the rate is exceeded, every stream over the pipe stalls.
	maxPipeUse = 0.7
	// maxStages is the length of the longest chain that engines accept.
	maxStages = 32
	// costJitter is the relative amplitude of the random variation of a server's cost from
	// pick to pick. All daemons see the same loads with a delay, and would otherwise all
	// send their next requests to the same engines.
	costJitter = 0.5
	// failurePenalty is the factor by which each failure since a server's last success, up
	// to 3, raises its cost.
	failurePenalty = 3.0
)

// Chains is the picker for engines that report their layers and the time of a step. It
// chooses the chain with the shortest estimated time between two tokens, from this
// daemon's own load and the reported or assumed load of the other daemons. The engines'
// spans may overlap: each stage starts at the layer where the previous one ends.
type Chains struct {
	// Zone is the daemon's own availability zone.
	Zone string
	// version is the version of the server table that usable was collected from.
	version uint64
	model   string
	// expires is when the next unusable server may become usable; zero for never.
	expires time.Time
	// usable holds the usable servers of model, and collected counts how often they were collected.
	usable    []*table.Server
	collected uint64
	// othersKnown is set while the loads of the other daemons are known.
	othersKnown bool
	rng         *rand.Rand
	// jitter holds the factors by which the costs of the usable servers are multiplied in
	// the current pick.
	jitter []float64
	// even is nil unless WithPaces or WithBalance is set.
	even *evenLoad
	// reserve is the share of the room that must stay free in the current pick, in 0..maxReserve.
	reserve float64
	// lengthSpread is the spread of the lengths of answers in the current search; 0 if they are not estimated.
	lengthSpread float64
}

// ChainsOption configures a Chains.
type ChainsOption func(*Chains)

// NewChains returns a picker for a daemon in an availability zone. Each daemon should use
// a different seed, so that their costs vary independently.
func NewChains(zone string, seed uint64, opts ...ChainsOption) *Chains {
	c := &Chains{Zone: zone, rng: rand.New(rand.NewPCG(seed, 3))}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Pick implements Picker.
func (c *Chains) Pick(now time.Time, servers *table.Servers, q Query) (model.Route, Result) {
	c.refresh(now, servers, q.Request.Model)
	if len(c.usable) == 0 {
		return model.Route{}, NoChain
	}
	c.othersKnown = now.Before(servers.OthersUntil)
	c.reserve = c.reserveShare(q)
	c.jitter = c.jitter[:0]
	for range c.usable {
		c.jitter = append(c.jitter, 1+costJitter*(2*c.rng.Float64()-1))
	}
	c.weigh(now, servers, q)
	c.withholdSlow(now, q)
	if route, ok := c.search(now, servers, q, requirements{room: true, pauses: true}); ok {
		return c.pickWithinLimits(now, servers, q, route)
	}
	if c.allowWithheld() {
		if route, ok := c.search(now, servers, q, requirements{room: true, pauses: true}); ok {
			return c.pickWithinLimits(now, servers, q, route)
		}
	}
	if _, ok := c.search(now, servers, q, requirements{pauses: true}); ok {
		return model.Route{}, Busy
	}
	if _, ok := c.search(now, servers, q, requirements{}); ok {
		return model.Route{}, Paused
	}
	return model.Route{}, NoChain
}

// pickWithinLimits returns the cheapest route, or another one if its first server's limit allows no more
// requests of this daemon.
func (c *Chains) pickWithinLimits(now time.Time, servers *table.Servers, q Query, cheapest model.Route) (model.Route, Result) {
	first := cheapest.Hops[0].Server
	c.countDemand(now, servers, q, first)
	if servers.Limits.HasRoom(now, first) {
		return cheapest, Found
	}
	withinLimits := requirements{room: true, pauses: true, limits: true}
	route, ok := c.search(now, servers, q, withinLimits)
	if !ok && c.allowWithheld() {
		route, ok = c.search(now, servers, q, withinLimits)
	}
	if ok {
		c.countDemand(now, servers, q, route.Hops[0].Server)
		return route, Found
	}
	for _, s := range c.usable {
		if s.Report.Span.From == 0 && s.ID != first && allowed(q, s.ID, 0) {
			c.countDemand(now, servers, q, s.ID)
		}
	}
	q.Request.LimitDemandCounted = true
	if _, ok := c.search(now, servers, q, requirements{pauses: true, limits: true}); ok {
		return model.Route{}, Busy
	}
	return model.Route{}, Limited
}

// countDemand counts a request in the demand for a server with a limit, unless it was counted in an
// earlier search for the same stream.
func (c *Chains) countDemand(now time.Time, servers *table.Servers, q Query, id model.ServerID) {
	if !q.Request.LimitDemandCounted {
		servers.Limits.CountDemand(now, id)
	}
}

// requirements are what servers and pipes must meet for a search to use them.
type requirements struct {
	// room is set if they must have room for the request.
	room bool
	// pauses is set if servers must not have asked for a pause.
	pauses bool
	// limits is set if the limit of the first server must allow the request.
	limits bool
}

// admits reports whether a server meets the requirements for a stage that starts at a layer.
func (c *Chains) admits(now time.Time, servers *table.Servers, need requirements, index, layer, daemons int, tokens float64) bool {
	s := c.usable[index]
	switch {
	case need.pauses && now.Before(s.PausedUntil):
		return false
	case need.limits && layer == 0 && !servers.Limits.HasRoom(now, s.ID):
		return false
	}
	return !need.room || c.hasRoom(now, servers, index, daemons, tokens)
}

// refresh updates the usable servers of a model if the server table changed or an
// unusable server may have become usable.
func (c *Chains) refresh(now time.Time, servers *table.Servers, modelName string) {
	if c.version == servers.Version && c.model == modelName && (c.expires.IsZero() || now.Before(c.expires)) {
		return
	}
	c.version, c.model, c.expires, c.usable = servers.Version, modelName, time.Time{}, nil
	c.collected++
	for _, id := range servers.IDs() {
		s := servers.Get(id)
		if s.Report.Model != modelName || s.Report.Span.To <= s.Report.Span.From {
			continue
		}
		if s.Usable(now) {
			c.usable = append(c.usable, s)
			continue
		}
		for _, at := range []time.Time{s.ReturnAt, s.AvoidUntil} {
			if at.After(now) && (c.expires.IsZero() || at.Before(c.expires)) {
				c.expires = at
			}
		}
	}
}

// search finds the cheapest chain by dynamic programming over the layers, in ascending
// order so that each is visited once, and the zones.
func (c *Chains) search(now time.Time, servers *table.Servers, q Query, need requirements) (model.Route, bool) {
	zones := c.zones()
	layers := max(1, q.Layers)
	tokens := q.Request.Tokens(usualAnswerTokens)
	c.lengthSpread = q.Request.Expected.Spread
	pipeOpen := c.findOpenPipes(now, servers, zones, q.Request.TransferTokens(tokens), q.Daemons, need.room)
	best := make([][]partialChain, layers+1)
	for i := range best {
		best[i] = make([]partialChain, len(zones))
		for z := range best[i] {
			best[i][z].cost = math.Inf(1)
		}
	}
	for layer := range layers {
		if layer > 0 && !isReached(best[layer]) {
			continue
		}
		for i, s := range c.usable {
			span := s.Report.Span
			if span.From > layer || span.To <= layer || span.To > layers || !c.admits(now, servers, need, i, layer, q.Daemons, float64(tokens)) ||
				!allowed(q, s.ID, layer) || c.isWithheld(i) {
				continue
			}
			c.extend(best, layer, i, slices.Index(zones, s.Zone), zones, pipeOpen, q)
		}
	}
	return backtrack(best, layers)
}

// allowed reports whether a request may use a server for a stage that starts at a layer.
// If q.FirstServers limits the first stage, its servers are allowed there even if they failed
// the request before.
func allowed(q Query, id model.ServerID, layer int) bool {
	if layer == 0 && len(q.FirstServers) > 0 {
		return slices.Contains(q.FirstServers, id) && id != q.Request.StalledOn
	}
	return !q.Request.Avoids(id)
}

// extend extends the cheapest partial chains that end at a layer by a stage on a server
// that runs from this layer to the end of the server's span.
func (c *Chains) extend(best [][]partialChain, layer, serverIndex, zoneIndex int, zones []string, pipeOpen [][]bool, q Query) {
	s := c.usable[serverIndex]
	cost := c.stageCost(serverIndex, layer, q) * c.jitter[serverIndex] * c.slowness(serverIndex) * c.partPenalty(serverIndex, layer)
	to := &best[s.Report.Span.To][zoneIndex]
	if layer == 0 {
		if zones[zoneIndex] != c.Zone {
			cost += float64(remoteZonePenalty)
		}
		if cost < to.cost {
			*to = partialChain{cost: cost, server: s, fromLayer: 0, fromZone: -1, stages: 1}
		}
		return
	}
	for z := range best[layer] {
		from := &best[layer][z]
		if math.IsInf(from.cost, 1) || from.stages >= maxStages || !pipeOpen[z][zoneIndex] {
			continue
		}
		total := from.cost + cost
		if z != zoneIndex {
			total += float64(crossZonePenalty)
		}
		if total < to.cost {
			*to = partialChain{cost: total, server: s, fromLayer: layer, fromZone: z, stages: from.stages + 1}
		}
	}
}

// stageCost estimates what a stage from a layer on adds to the time between two tokens, in
// nanoseconds. The cost rises steeply as the server's cache fills up, and with each
// failure of the server.
func (c *Chains) stageCost(index, layer int, q Query) float64 {
	s := c.usable[index]
	r := s.Report
	share := float64(r.Span.To-layer) / float64(r.Span.To-r.Span.From)
	streams, tokens := s.Load(c.othersKnown, q.Daemons)
	cost := share*(float64(r.StepTime)+(streams+1)*float64(r.SequenceTime)+promptWeight*float64(q.Request.PromptTokens)*float64(r.PrefillTimePerToken)) + float64(stageOverhead)
	if r.CacheTokens > 0 {
		cacheUse := min(0.98, c.costingUse(index, tokens/r.CacheTokens))
		cost /= 1 - cacheUse
	}
	for range min(s.Failures, 3) {
		cost *= failurePenalty
	}
	return cost
}

// hasRoom reports whether a server has a free slot, and room in its cache for a number of
// tokens.
func (c *Chains) hasRoom(now time.Time, servers *table.Servers, index, daemons int, tokens float64) bool {
	s := c.usable[index]
	r := s.Report
	if now.Before(s.FullUntil) {
		return false
	}
	streams, usedTokens := s.Load(c.othersKnown, daemons)
	streams, usedTokens = c.loadNow(now, servers, index, streams, usedTokens)
	if r.CacheTokens > 0 && usedTokens+tokens > c.usableCache(r.CacheTokens, streams)*(1-c.reserve) {
		return false
	}
	return r.Slots == 0 || streams < float64(r.Slots)*(1-c.reserve)
}

// findOpenPipes returns, for each pair of zones, whether the pipe between them has room
// for a request's tokens. If the load of the other daemons is not known, each daemon may
// use an even share of the pipe.
func (c *Chains) findOpenPipes(now time.Time, servers *table.Servers, zones []string, tokens, daemons int, needRoom bool) [][]bool {
	pipeRate := 0.0
	for _, s := range c.usable {
		pipeRate = max(pipeRate, s.Report.CrossZoneTokenRate)
	}
	pipeOpen := make([][]bool, len(zones))
	for a := range zones {
		pipeOpen[a] = make([]bool, len(zones))
		for b := range zones {
			pipeOpen[a][b] = a == b || !needRoom || pipeRate == 0
			if pipeOpen[a][b] {
				continue
			}
			pipe := board.PipeBetween(zones[a], zones[b])
			if !c.othersKnown {
				ownTokens, _ := servers.Pipes.Load(now, pipe)
				pipeOpen[a][b] = float64((ownTokens+tokens)*max(1, daemons)) <= maxPipeUse*pipeRate*(1-c.reserve)
				continue
			}
			if c.reserve > 0 && c.pipeReserved(now, servers, pipe, pipeRate, tokens) {
				continue
			}
			pipeOpen[a][b] = servers.Pipes.Remaining(now, pipe, maxPipeUse*pipeRate, tokens, daemons, c.rng.Float64) >= float64(tokens)
		}
	}
	return pipeOpen
}

// zones returns the availability zones of the usable servers.
func (c *Chains) zones() []string {
	var zones []string
	for _, s := range c.usable {
		if !slices.Contains(zones, s.Zone) {
			zones = append(zones, s.Zone)
		}
	}
	return zones
}

// Observe implements Picker.
func (c *Chains) Observe(model.Route, time.Duration) {}

// Learn implements Picker.
func (c *Chains) Learn(uint64, model.Route) {}

// ReportOf derives an engine's report from its list entry and the profile of its kind.
// Without a profile, the engine counts as a single layer.
func ReportOf(now time.Time, m model.Member, p *setts.EngineProfile) model.Report {
	r := model.Report{Server: model.ServerID(m.ID), Model: m.Service, Span: m.Span, Slots: m.Slots, TokensPerSecond: 1, ReportedAt: now}
	if p != nil {
		r.AnswerTokens, r.TokensPerEvent = p.MeanAnswerTokens, p.TokensPerEvent
	}
	if p == nil || p.Layers == 0 {
		r.Span = model.Span{From: 0, To: 1}
		return r
	}
	layers := m.Span.To - m.Span.From
	if layers <= 0 {
		return r
	}
	layerCount := time.Duration(layers)
	r.CacheTokens = p.CacheTokens(m.Kind, layers)
	r.StepTime = p.LayerStepTime(m.Kind, 0) * layerCount
	r.SequenceTime = p.LayerStepTime(m.Kind, 1)*layerCount - r.StepTime
	r.PrefillTimePerToken = p.LayerPrefillTime(m.Kind, 1) * layerCount
	r.CrossZoneTokenRate = p.CrossZoneTokenRate()
	if r.StepTime > 0 {
		r.TokensPerSecond = float64(time.Second) / float64(r.StepTime)
	}
	return r
}
