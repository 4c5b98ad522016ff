// Package place plans which layers of the model each engine holds. Each availability zone
// gets whole chains of its own, so that tokens need not cross the slow links between
// zones. Spare memory holds second copies of layers, so that a chain survives the loss of
// one engine. An engine keeps its layers unless other layers are missing, or far scarcer,
// and the zone can spare the engine from its current ones.
package place

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
)

const (
	// targetCopies is how many copies of the model a zone should hold: one whole
	// chain, and spare engines that take over the layers of a failed one. More
	// copies leave less room for the caches of requests, which limit the throughput.
	targetCopies = 1.2
	// minCopies is the least number of copies that makes a chain. It is above 1 because
	// the engines' numbers of layers need not add up to exactly the model's.
	minCopies = 1.05
	// minStreams is how many requests of the usual length a chain must have room for at
	// once to be worth placing.
	minStreams = 16
	// settleDelay is how long no new engine may have appeared before the first orders are
	// given. At a start, engines appear one by one within about one heartbeat.
	settleDelay = 1500 * time.Millisecond
	// maxSettleDelay bounds the delay of the first orders, counted from the first engine.
	maxSettleDelay = 5 * time.Second
	// orderTimeoutSlack is how much longer than loading the layers it may take until the
	// engine's list entry shows that an order was carried out.
	orderTimeoutSlack = 4 * time.Second
	// entryDelay is how long after the layers were loaded the engine's list entry may show them.
	entryDelay = 500 * time.Millisecond
	// rebalanceInterval is how often the planner looks for moves that only gain room.
	rebalanceInterval = 500 * time.Millisecond
	// maxScarcityAfterMove bounds the group's scarcity after a move that only gains room,
	// relative to the scarcity before it. The gain must be worth the cost of a move: the
	// engine serves less for seconds and has to load the layers.
	maxScarcityAfterMove = 0.9
	// maxScarcityDuringMove bounds the group's scarcity, relative to the scarcity before
	// the move, while the engine serves neither its old layers nor its new ones.
	maxScarcityDuringMove = 1.1
	// scarcityExponent weights a few very scarce layers above many less scarce ones, since
	// a stream needs room on every layer.
	scarcityExponent = 6
	// refusalBackoff is how long an engine gets no orders after it refused one.
	refusalBackoff = time.Second
)

// Order tells an engine which layers to hold.
type Order struct {
	Server  model.ServerID
	Address string
	Span    model.Span
	// MissingLayers is how many layers of Span no other engine of the group holds; 0 for a move
	// that only gains room.
	MissingLayers int
}

// pendingOrder is an order that the engine's list entry does not show as carried out yet.
type pendingOrder struct {
	span model.Span
	// replacesLayers is set if the engine unloads other layers for the new ones.
	replacesLayers bool
	// loadedAt is when the layers are expected to be loaded.
	loadedAt time.Time
	// expiresAt is when the order counts as lost and another may be given.
	expiresAt time.Time
}

// State is the planner's state between ticks.
type State struct {
	// LimitLoads makes Tick order only as many loads at once as run at full speed, those of missing layers first. It is
	// set once callers wait: before, it only counts when all engines have loaded.
	LimitLoads bool

	orders map[model.ServerID]pendingOrder
	// loading is the number of orders whose layers were expected to load at the latest tick, its own orders included.
	loading int
	// refusedUntil is when the backoff of an engine that refused an order ends.
	refusedUntil map[model.ServerID]time.Time
	// firstAppearance and latestAppearance are when the first and the most recent engine
	// were first listed.
	firstAppearance, latestAppearance time.Time
	seen                              map[model.ServerID]struct{}
	// nextRebalance is when the planner next looks for moves that only gain room.
	nextRebalance time.Time
}

// New returns a planner without pending orders.
func New() *State {
	return &State{orders: map[model.ServerID]pendingOrder{}, refusedUntil: map[model.ServerID]time.Time{}, seen: map[model.ServerID]struct{}{}}
}

// ReplacingLayers returns the engines with a pending order to replace the layers that they hold.
func (st *State) ReplacingLayers() []model.ServerID {
	var ids []model.ServerID
	for _, id := range slices.Sorted(maps.Keys(st.orders)) {
		if st.orders[id].replacesLayers {
			ids = append(ids, id)
		}
	}
	return ids
}

// DropPendingOrders drops the pending orders. It is called when the daemon takes over the placement,
// since another daemon may have given other orders in the meantime.
func (st *State) DropPendingOrders() { clear(st.orders) }

// RecordRefusal records that an engine refused an order.
func (st *State) RecordRefusal(now time.Time, id model.ServerID) {
	delete(st.orders, id)
	st.refusedUntil[id] = now.Add(refusalBackoff)
}

// engine is an engine as the planner sees it in one tick.
type engine struct {
	member model.Member
	id     model.ServerID
	// span is what the engine holds or was ordered to hold; empty for none.
	span model.Span
	// orderPending is set while the engine has a pending order.
	orderPending bool
	stepPace     float64
}

func (e engine) empty() bool { return e.span.To == e.span.From }

// Tick returns the new orders for the engines of one service, and records them as pending. Members with layers that
// the model does not have are ignored.
func (st *State) Tick(now time.Time, p *setts.EngineProfile, members []model.Member) []Order {
	if p == nil || p.Layers == 0 {
		return nil
	}
	engines := st.liveEngines(now, p, members)
	st.loading = st.countLoading(now)
	if !st.settled(now, engines) {
		return nil
	}
	var orders []Order
	groups := groupByZone(p, engines)
	// Missing layers come first, in one group after the other, so that a first chain is whole as soon as possible.
	for _, group := range groups {
		orders = append(orders, st.assignEmpty(now, p, group, true)...)
		orders = append(orders, st.coverMissing(now, p, group)...)
	}
	for _, group := range groups {
		orders = append(orders, st.assignEmpty(now, p, group, false)...)
		orders = append(orders, st.rebalance(now, p, group)...)
	}
	if !now.Before(st.nextRebalance) {
		st.nextRebalance = now.Add(rebalanceInterval)
	}
	return orders
}

// liveEngines returns the live engines of a known kind whose layers the model has, fastest first, and drops the pending
// orders that were carried out or expired.
func (st *State) liveEngines(now time.Time, p *setts.EngineProfile, members []model.Member) []engine {
	var engines []engine
	for _, m := range members {
		id := model.ServerID(m.ID)
		kind, knownKind := p.Kinds[m.Kind]
		if m.State != model.Live || !knownKind || !p.HasLayers(m.Span) {
			delete(st.orders, id)
			continue
		}
		if _, ok := st.seen[id]; !ok {
			st.seen[id] = struct{}{}
			st.latestAppearance = now
			if st.firstAppearance.IsZero() {
				st.firstAppearance = now
			}
		}
		e := engine{member: m, id: id, span: m.Span, stepPace: kind.StepTimeFactor}
		if o, ok := st.orders[id]; ok {
			if o.span == m.Span || !now.Before(o.expiresAt) || !p.HasLayers(o.span) {
				delete(st.orders, id)
			} else {
				e.span, e.orderPending = o.span, true
			}
		}
		engines = append(engines, e)
	}
	slices.SortFunc(engines, func(a, b engine) int { return cmp.Or(cmp.Compare(a.stepPace, b.stepPace), cmp.Compare(a.id, b.id)) })
	return engines
}

// settled reports whether orders may be given: at once if any engine holds layers, else
// once no further engine is expected to appear.
func (st *State) settled(now time.Time, engines []engine) bool {
	if len(engines) == 0 {
		return false
	}
	if slices.ContainsFunc(engines, func(e engine) bool { return !e.empty() }) {
		return true
	}
	return now.Sub(st.latestAppearance) >= settleDelay || now.Sub(st.firstAppearance) >= maxSettleDelay
}

// groupByZone returns one group for each zone that can hold a chain of its own, and one
// group of the engines of all other zones.
func groupByZone(p *setts.EngineProfile, engines []engine) [][]engine {
	zones := map[string][]engine{}
	for _, e := range engines {
		zones[e.member.Zone] = append(zones[e.member.Zone], e)
	}
	var names []string
	for name := range zones {
		names = append(names, name)
	}
	slices.Sort(names)
	var groups [][]engine
	var remaining []engine
	minRoom := float64(minStreams * (p.MeanPromptTokens + p.MeanAnswerTokens))
	for _, name := range names {
		if modelCopies(p, zones[name], minRoom) >= minCopies {
			groups = append(groups, zones[name])
		} else {
			remaining = append(remaining, zones[name]...)
		}
	}
	if len(remaining) > 0 {
		groups = append(groups, remaining)
	}
	return groups
}

// modelCopies returns how many copies of the model the engines can hold if each keeps
// room for the caches of a number of tokens.
func modelCopies(p *setts.EngineProfile, engines []engine, tokens float64) float64 {
	layers := 0
	for _, e := range engines {
		layers += p.MaxLayers(e.member.Kind, tokens)
	}
	return float64(layers) / float64(p.Layers)
}

// targetRoom returns the cache room, in tokens, that each engine of a group should keep:
// as much as targetCopies leaves, or minCopies if the group has too little memory, but no
// more than the engine's slots can use. It is found by bisection, to within one usual
// request.
func targetRoom(p *setts.EngineProfile, engines []engine) float64 {
	requestTokens := float64(p.MeanPromptTokens + p.MeanAnswerTokens)
	low, high := minStreams*requestTokens, max(minStreams, float64(p.Slots))*requestTokens
	copies := targetCopies
	if modelCopies(p, engines, low) < targetCopies {
		copies = minCopies
	}
	for high-low > requestTokens {
		mid := (low + high) / 2
		if modelCopies(p, engines, mid) >= copies {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// assignEmpty orders layers for the engines that hold none, fastest first. With missingOnly, only engines that are to hold
// missing layers get an order.
func (st *State) assignEmpty(now time.Time, p *setts.EngineProfile, engines []engine, missingOnly bool) []Order {
	mayTakeOrder := func(e engine) bool { return e.empty() && !e.orderPending && !now.Before(st.refusedUntil[e.id]) }
	if !slices.ContainsFunc(engines, mayTakeOrder) {
		return nil
	}
	var orders []Order
	room := targetRoom(p, engines)
	missing := missingLayers(holdersByLayer(p, engines))
	for i := range engines {
		e := &engines[i]
		if !mayTakeOrder(*e) {
			continue
		}
		if !st.mayLoad(p) || missingOnly && missing == 0 {
			break
		}
		if o, ok := st.orderBestSpan(now, p, engines, e, room); ok {
			orders = append(orders, o)
			missing -= o.MissingLayers
		}
	}
	return orders
}

// coverMissing moves one engine whose layers all have another holder to layers that no
// engine holds.
func (st *State) coverMissing(now time.Time, p *setts.EngineProfile, engines []engine) []Order {
	holders := holdersByLayer(p, engines)
	if !slices.Contains(holders, 0) || !st.mayLoad(p) {
		return nil
	}
	room := targetRoom(p, engines)
	// Prefer the slowest engine, since it serves the least.
	for i := len(engines) - 1; i >= 0; i-- {
		e := &engines[i]
		if e.orderPending || e.empty() || now.Before(st.refusedUntil[e.id]) || !heldElsewhere(holders, e.span) {
			continue
		}
		if o, ok := st.orderBestSpan(now, p, engines, e, room); ok && o.MissingLayers > 0 {
			return []Order{o}
		}
	}
	return nil
}

// missingLayers counts the layers without a holder.
func missingLayers(holders []int) int {
	missing := 0
	for _, n := range holders {
		if n == 0 {
			missing++
		}
	}
	return missing
}

// heldElsewhere reports whether every layer of an engine's span has another holder.
func heldElsewhere(holders []int, span model.Span) bool {
	for layer := span.From; layer < span.To; layer++ {
		if holders[layer] < 2 {
			return false
		}
	}
	return true
}

// orderBestSpan orders an engine to hold the layers where its room reduces the group's
// scarcity most. It reports false if the engine has room for no layer or already holds
// these layers.
func (st *State) orderBestSpan(now time.Time, p *setts.EngineProfile, engines []engine, e *engine, room float64) (Order, bool) {
	n := p.MaxLayers(e.member.Kind, room)
	if n == 0 {
		return Order{}, false
	}
	span, missing, _ := bestSpan(p, roomByLayer(p, engines, e), e.member.Kind, n)
	if span == e.span {
		return Order{}, false
	}
	return st.recordOrder(now, p, e, span, missing), true
}

// recordOrder records a pending order and returns the order.
func (st *State) recordOrder(now time.Time, p *setts.EngineProfile, e *engine, span model.Span, missing int) Order {
	loadTime := time.Duration(float64(p.LoadTime) * float64(span.To-span.From) / float64(p.Layers))
	st.loading++
	if p.LoadsAtOnce > 0 && st.loading > p.LoadsAtOnce {
		loadTime = loadTime * time.Duration(st.loading) / time.Duration(p.LoadsAtOnce)
	}
	// The timeout allows three times the load time, because other owners' loads may slow this one down too.
	st.orders[e.id] = pendingOrder{span: span, replacesLayers: !e.empty(), loadedAt: now.Add(loadTime), expiresAt: now.Add(3*loadTime + orderTimeoutSlack)}
	e.span, e.orderPending = span, true
	return Order{Server: e.id, Address: e.member.Address, Span: span, MissingLayers: missing}
}

// rebalance moves one engine of a group to layers with little room if that reduces the
// group's scarcity enough. Streams need room on every layer, so the scarcest layers limit
// what the group serves.
func (st *State) rebalance(now time.Time, p *setts.EngineProfile, engines []engine) []Order {
	room := targetRoom(p, engines)
	if now.Before(st.nextRebalance) || !st.mayLoad(p) || slices.ContainsFunc(engines, func(e engine) bool {
		return e.orderPending || e.empty() && p.MaxLayers(e.member.Kind, room) > 0
	}) {
		return nil
	}
	current := scarcity(p, roomByLayer(p, engines, nil))
	lowest := current * maxScarcityAfterMove
	var best *engine
	var span model.Span
	for i := range engines {
		e := &engines[i]
		n := p.MaxLayers(e.member.Kind, room)
		roomWithout := roomByLayer(p, engines, e)
		if n == 0 || now.Before(st.refusedUntil[e.id]) || scarcity(p, roomWithout) > current*maxScarcityDuringMove {
			continue
		}
		candidate, _, reduction := bestSpan(p, roomWithout, e.member.Kind, n)
		if after := scarcity(p, roomWithout) - reduction; after < lowest && candidate != e.span {
			best, span, lowest = e, candidate, after
		}
	}
	if best == nil {
		return nil
	}
	return []Order{st.recordOrder(now, p, best, span, 0)}
}

// roomByLayer returns for how many tokens' caches the engines have room on each layer,
// leaving out the engine except unless it is nil.
func roomByLayer(p *setts.EngineProfile, engines []engine, except *engine) []float64 {
	room := make([]float64, p.Layers)
	for i := range engines {
		if except != nil && engines[i].id == except.id {
			continue
		}
		ownRoom := p.CacheTokens(engines[i].member.Kind, engines[i].span.To-engines[i].span.From)
		for layer := engines[i].span.From; layer < min(engines[i].span.To, p.Layers); layer++ {
			// An engine without room for caches still holds its layers: a room of 0
			// would mark them as missing.
			room[layer] += max(1, ownRoom)
		}
	}
	return room
}

// holdersByLayer counts the engines that hold each layer.
func holdersByLayer(p *setts.EngineProfile, engines []engine) []int {
	holders := make([]int, p.Layers)
	for _, e := range engines {
		for layer := e.span.From; layer < min(e.span.To, p.Layers); layer++ {
			holders[layer]++
		}
	}
	return holders
}

// layerScarcity rates how much a layer with room for a number of tokens needs more: 1 for
// a missing layer, and far less with each request that fits.
func layerScarcity(p *setts.EngineProfile, tokens float64) float64 {
	requestTokens := max(1, float64(p.MeanPromptTokens+p.MeanAnswerTokens))
	ratio := requestTokens / (requestTokens + tokens)
	return math.Pow(ratio, scarcityExponent)
}

// scarcity returns the sum of the layers' scarcities.
func scarcity(p *setts.EngineProfile, room []float64) float64 {
	sum := 0.0
	for _, tokens := range room {
		sum += layerScarcity(p, tokens)
	}
	return sum
}

// bestSpan returns the span of n layers on which an engine of a kind reduces the scarcity
// most, the first of equal ones, with the number of its layers that no engine holds and
// the reduction. room is the other engines' room by layer.
func bestSpan(p *setts.EngineProfile, room []float64, kind string, n int) (span model.Span, missing int, reduction float64) {
	ownRoom := p.CacheTokens(kind, n)
	reduction = -1.0
	for from := 0; from+n <= len(room); from++ {
		spanReduction, spanMissing := 0.0, 0
		for layer := from; layer < from+n; layer++ {
			spanReduction += layerScarcity(p, room[layer]) - layerScarcity(p, room[layer]+max(1, ownRoom))
			if room[layer] == 0 {
				spanMissing++
			}
		}
		if spanReduction > reduction*(1+1e-9) {
			reduction, span, missing = spanReduction, model.Span{From: from, To: from + n}, spanMissing
		}
	}
	return span, missing, reduction
}
