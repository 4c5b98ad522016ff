package ranks

import (
	"math"
	"slices"
	"time"
)

const (
	// returnDelay is the shortest time after which a refused request may come back.
	returnDelay = 500 * time.Millisecond
	// returnSpread is the time over which the requests of one rank come back. The next rank follows it.
	returnSpread = time.Second
	// maxReturnDelay bounds how much longer a shortage is expected to last, since callers need time for the answer
	// itself. A wait that follows from a queue is not bounded.
	maxReturnDelay = 5 * time.Second
)

// Level is what holds less important requests to a service back.
type Level struct {
	// Rank is the most important rank with requests that wait for room or were refused for lack of it.
	// Those behind it get only the room that it leaves.
	Rank int
	// Since is when the loads of the other daemons came; zero if only this daemon's own are known.
	Since time.Time
}

// Age returns the age of the news that a level follows; 0 if only this daemon's own requests are known.
func (l Level) Age(now time.Time) time.Duration {
	if l.Since.IsZero() {
		return 0
	}
	return now.Sub(l.Since)
}

// Level returns the level in force for a service; false if there is none.
func (st *State) Level(now time.Time, name string) (Level, bool) {
	s := st.services[name]
	if s == nil {
		return Level{}, false
	}
	var level Level
	if now.Before(st.othersUntil) {
		level.Since = st.othersSince
	}
	for _, number := range s.ranks(now, st) {
		if _, same, _ := st.sums(now, s, number); same.short() {
			level.Rank = number
			return level, true
		}
	}
	return Level{}, false
}

// ranks returns the ranks of this daemon's and the others' requests, sorted.
func (s *service) ranks(now time.Time, st *State) []int {
	var numbers []int
	for _, r := range s.own {
		numbers = append(numbers, r.rank)
	}
	if now.Before(st.othersUntil) {
		for _, l := range s.others {
			numbers = append(numbers, l.Rank)
		}
	}
	slices.Sort(numbers)
	return slices.Compact(numbers)
}

// Reserve returns for how many requests room has to stay free when a request is sent that is treated as a
// rank: for those of more important ranks that wait, and that are about to come while there are any.
func (st *State) Reserve(now time.Time, name string, order int) float64 {
	s := st.services[name]
	if s == nil {
		return 0
	}
	higher, _, _ := st.sums(now, s, order)
	if !higher.short() {
		return 0
	}
	perHorizon := reserveHorizon.Seconds() / windowSize.Seconds()
	// Room becomes free as fast as it was taken. Arrivals vary by the square root of their number.
	return float64(higher.waiting) + float64(higher.refused)*perHorizon + math.Sqrt(float64(higher.started)*perHorizon)
}

// RetryAt returns when the caller of a refused request may come back, given how long it would have to wait. A shortage
// is expected to last as long again as it has lasted so far.
func (st *State) RetryAt(now time.Time, name string, number int, wait time.Duration) time.Time {
	if s := st.services[name]; s != nil {
		wait = max(wait, min(maxReturnDelay, st.of(s, number).gate.closedFor(now)))
	}
	return st.ReturnAt(now.Add(max(returnDelay, wait)), name, number)
}

// ReturnAt returns when the caller of a refused request may come back if there is room from a time on: the most
// important first, and those of one rank one after the other. It is that time if the requests have no ranks.
func (st *State) ReturnAt(from time.Time, name string, number int) time.Time {
	s := st.services[name]
	if s == nil {
		return from
	}
	index := slices.IndexFunc(s.own, func(r *rank) bool { return r.rank >= number })
	if index < 0 {
		index = len(s.own)
	}
	return from.Add(time.Duration((float64(index) + st.rng.Float64()) * float64(returnSpread)))
}
