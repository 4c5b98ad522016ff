package ranks

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// floorEarned is what a request earns for its rank's floor, as a share of the service rate of all. It is more
	// than the quarter under which no rank is to fall, since some of the requests that use the floor are refused
	// in the end or left by their callers.
	floorEarned = 0.3
	// starvedCredit is the credit from which on requests that use the floor go before all others: those that
	// did not were refused.
	starvedCredit = 1.5
	// maxFloorCredit bounds how many requests of a rank use its floor at once.
	maxFloorCredit = 2
	// reserveHorizon is the time in which other daemons learn about requests of more important ranks. Room is
	// kept for those that may come within it in excess of what becomes free.
	reserveHorizon = 250 * time.Millisecond
)

// State is what a daemon knows about the ranks of requests.
type State struct {
	// services holds the services whose requests have different ranks.
	services map[string]*service
	// othersUntil is the time until which the loads of the other daemons are valid, and othersSince the time
	// at which they came.
	othersSince, othersUntil time.Time
	rng                      *rand.Rand
}

// service is one service whose requests have different ranks.
type service struct {
	// own holds the ranks of this daemon's requests, sorted by rank.
	own []*rank
	// others holds the loads of the other daemons, sorted by rank.
	others []Load
	// gatesAt is when the gates were last adjusted, and gatesFromOthers whether the loads of other daemons counted then.
	gatesAt         time.Time
	gatesFromOthers bool
}

// rank is one rank of a service's requests of this daemon.
type rank struct {
	rank    int
	waiting int
	// running is the number of open streams as of lateAt, and late that of those without a token though it is due.
	running, late    int
	lateAt           time.Time
	started, refused window
	// credit grows by the floor's part of each arriving request that is not started without it, and falls by one with
	// each that uses the floor. It is at most maxFloorCredit.
	credit float64
	// gate holds the rank back while more important ones are short of room.
	gate   gate
	totals totals
}

// totals counts the requests of a rank since the daemon's start.
type totals struct{ started, refused, floor uint64 }

// New returns the state of a daemon whose services have no ranks. The seed spreads what the daemons of a
// fleet do at the same time.
func New(seed uint64) *State {
	return &State{services: map[string]*service{}, rng: rand.New(rand.NewPCG(seed, 17))}
}

// SetServices sets the services whose requests have different ranks, with the ranks of each.
func (st *State) SetServices(services map[string][]int) {
	maps.DeleteFunc(st.services, func(name string, _ *service) bool { return len(services[name]) == 0 })
	for _, name := range slices.Sorted(maps.Keys(services)) {
		if len(services[name]) == 0 {
			continue
		}
		s := st.services[name]
		if s == nil {
			s = &service{}
			st.services[name] = s
		}
		s.own = slices.DeleteFunc(s.own, func(r *rank) bool { return r.waiting == 0 && !slices.Contains(services[name], r.rank) })
		for _, r := range services[name] {
			st.of(s, r)
		}
	}
}

// On reports whether the requests to a service have different ranks.
func (st *State) On(name string) bool { return st.services[name] != nil }

// Any reports whether the requests to any service have different ranks.
func (st *State) Any() bool { return len(st.services) > 0 }

// of returns a rank, and adds it if it is missing. Its first credits are random, so that of many daemons with
// few requests each, some admit one at any time.
func (st *State) of(s *service, number int) *rank {
	i, found := slices.BinarySearchFunc(s.own, number, func(r *rank, n int) int { return cmp.Compare(r.rank, n) })
	if !found {
		s.own = slices.Insert(s.own, i, &rank{rank: number, credit: st.rng.Float64(), gate: gate{credit: st.rng.Float64(), budget: math.Inf(1)}})
	}
	return s.own[i]
}

// SetOthers sets the loads of the other daemons, which are valid until the given time.
func (st *State) SetOthers(now, until time.Time, others []ServiceLoads) {
	st.othersSince, st.othersUntil = now, until
	for _, s := range st.services {
		s.others = nil
	}
	for _, o := range others {
		if s := st.services[o.Service]; s != nil {
			s.others = o.Loads
		}
	}
	for _, s := range st.services {
		st.adjustGates(now, s)
	}
}

// sums are the loads of some ranks of a service, of all daemons.
type sums struct{ waiting, started, refused int }

func (a sums) plus(b sums) sums {
	return sums{waiting: a.waiting + b.waiting, started: a.started + b.started, refused: a.refused + b.refused}
}

// offered is the number of requests of late whose fate is known.
func (a sums) offered() int { return a.started + a.refused }

// serviceRate returns the share of the requests of late that were started, in 0..1.
func (a sums) serviceRate() float64 {
	if a.offered() == 0 {
		return 1
	}
	return float64(a.started) / float64(a.offered())
}

// sums returns the loads of the ranks more important than a rank, of the rank itself, and of the others.
func (st *State) sums(now time.Time, s *service, of int) (higher, same, lower sums) {
	add := func(number int, load sums) {
		switch {
		case number < of:
			higher = higher.plus(load)
		case number == of:
			same = same.plus(load)
		default:
			lower = lower.plus(load)
		}
	}
	for _, r := range s.own {
		add(r.rank, sums{waiting: r.waiting + r.lateNow(now), started: r.started.sum(now), refused: r.refused.sum(now)})
	}
	if now.Before(st.othersUntil) {
		for _, l := range s.others {
			add(l.Rank, sums{waiting: l.Waiting, started: l.Started, refused: l.Refused})
		}
	}
	return higher, same, lower
}

// lateNow returns the number of late streams, as far as it is still known.
func (r *rank) lateNow(now time.Time) int {
	if now.Sub(r.lateAt) >= windowSize {
		return 0
	}
	return r.late
}

// short reports whether requests wait for room or were refused for lack of it.
func (a sums) short() bool { return a.waiting+a.refused > 0 }

// Place is the place of an admitted request among those that need room.
type Place struct {
	// Order is the rank that the request is treated as; 0 if the service's requests have no ranks.
	Order int
	// Floor is set if the request uses its rank's floor: it is admitted and leaves no room free although more
	// important ones lack it.
	Floor bool
}

// Admit decides whether a new request is admitted, and returns its place.
func (st *State) Admit(now time.Time, name string, number int) (place Place, admitted bool) {
	s := st.services[name]
	if s == nil {
		return Place{}, true
	}
	r := st.of(s, number)
	st.adjustGates(now, s)
	passes := r.gate.pass(st.openShare(now, s, number))
	higher, same, lower := st.sums(now, s, number)
	r.credit = min(maxFloorCredit, r.credit+floorEarned*higher.plus(same).plus(lower).serviceRate())
	if r.credit < 1 || passes && !higher.short() {
		return Place{Order: number}, passes
	}
	place = Place{Order: number, Floor: true}
	if r.credit >= starvedCredit {
		place.Order = s.own[0].rank
	}
	r.credit--
	r.totals.floor++
	return place, true
}

// Queued records that a request of a rank waits for its first route.
func (st *State) Queued(name string, number int) {
	if s := st.services[name]; s != nil {
		st.of(s, number).waiting++
	}
}

// Started records that a waiting request got its first route.
func (st *State) Started(now time.Time, name string, number int, place Place) {
	s := st.services[name]
	if s == nil {
		return
	}
	r := st.of(s, number)
	r.waiting = max(0, r.waiting-1)
	r.started.add(now)
	r.totals.started++
	if !place.Floor {
		// It earned no credit.
		higher, same, lower := st.sums(now, s, number)
		r.credit = max(0, r.credit-floorEarned*higher.plus(same).plus(lower).serviceRate())
	}
}

// Withdrawn records that a waiting request ended without a route.
func (st *State) Withdrawn(name string, number int, place Place) {
	if s := st.services[name]; s != nil {
		r := st.of(s, number)
		r.waiting = max(0, r.waiting-1)
		r.giveBack(place)
	}
}

// Refused records that a request was refused for lack of room, after Withdrawn if it waited.
func (st *State) Refused(now time.Time, name string, number int) {
	if s := st.services[name]; s != nil {
		r := st.of(s, number)
		r.refused.add(now)
		r.totals.refused++
	}
}

// GiveBack undoes an Admit whose request was not queued.
func (st *State) GiveBack(name string, number int, place Place) {
	if s := st.services[name]; s != nil {
		st.of(s, number).giveBack(place)
	}
}

// giveBack returns the credit of a request that used the floor and was not started.
func (r *rank) giveBack(place Place) {
	if place.Floor {
		r.credit = min(maxFloorCredit, r.credit+1)
	}
}

// Streams are the open streams of one rank of a service.
type Streams struct {
	Open int
	// Late is the number of those whose first token is late for lack of room.
	Late int
}

// Report returns this daemon's loads, sorted by service. streams holds its open streams by service and rank.
func (st *State) Report(now time.Time, streams map[string]map[int]Streams) []ServiceLoads {
	var report []ServiceLoads
	for _, name := range slices.Sorted(maps.Keys(st.services)) {
		var loads []Load
		for _, r := range st.services[name].own {
			open := streams[name][r.rank]
			r.running, r.late, r.lateAt = open.Open, open.Late, now
			l := Load{Rank: r.rank, Running: open.Open, Waiting: r.waiting + open.Late, Started: r.started.sum(now), Refused: r.refused.sum(now)}
			if l != (Load{Rank: r.rank}) {
				loads = append(loads, l)
			}
		}
		if len(loads) > 0 {
			report = append(report, ServiceLoads{Service: name, Loads: loads})
		}
	}
	return report
}
