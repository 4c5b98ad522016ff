package even

import (
	"math"
	"time"
)

const (
	// minMeanUse is the mean use of the engines that hold the same layers up to which the fastest chain is
	// chosen, and fullMeanUse the use from which on the load is kept even. In between both count.
	minMeanUse  = 0.2
	fullMeanUse = 0.5
	// minWeight is the weight of an engine that has far more load than others, so that callers far from other
	// engines still use it. maxWeight is that of an engine with far less, which is not to be rushed by all daemons.
	minWeight, maxWeight = 0.1, 2.0
	// reserveShare is how far the free room of an engine follows the square root of its room, rather than the room.
	reserveShare = 0.5
	// newsWorth is the part of a request's stay after which news of an engine's use are worth little: by then
	// other daemons have evened it out, and chance has changed it.
	newsWorth = 0.5
	// usualInterval and usualStay are the interval between news and the time that a request stays at an engine,
	// until they are known.
	usualInterval = 250 * time.Millisecond
	usualStay     = 2 * time.Second
	// maxInterval bounds one interval between news.
	maxInterval = 2 * time.Second
	// minStay and maxStay bound the estimate of that time.
	minStay, maxStay = 500 * time.Millisecond, 30 * time.Second
	// intervalSmoothing is the weight of one interval between news in the smoothed one, and staySmoothing that in
	// the smoothed numbers from which the stay is estimated: a daemon may send few requests in an interval.
	intervalSmoothing = 0.3
	staySmoothing     = 0.05
)

// Row is the use of one engine as of the latest news. Uses are shares of its room.
type Row struct {
	// From and To are the layers that the engine holds.
	From, To int
	// Room is the number of requests that the engine has room for, above 0.
	Room float64
	// Others and Own are the parts of the use that other daemons and this one account for.
	Others, Own float64
	// Cost is what the engine adds to the time of a token.
	Cost time.Duration
	// Zone is the availability zone, and Streams the number of requests of this daemon.
	Zone    string
	Streams int
	// mean is the mean use of the engines that hold the same layers.
	mean float64
	// target is the use that the engine should have: a small engine keeps a larger part of its room free, since
	// chance changes its use more.
	target float64
	// expected is the number of requests of this daemon if those in the zone were spread by room.
	expected float64
	// usualWeight is the mean weight of the engines that hold the same layers, as of the latest news.
	usualWeight float64
	// byRoom is the factor that turns a choice by cost into one by room.
	byRoom float64
}

// Balance estimates the use of engines by now from news of some age. It assumes that all daemons decide alike:
// whatever one of them sees, the others saw, and they even it out over the same horizon.
type Balance struct {
	rows []Row
	// newsAt is the time of the latest news, interval the smoothed time between two.
	newsAt   time.Time
	interval time.Duration
	// stay is the time that a request stays at an engine, from inFlight and startRate, the smoothed numbers of this
	// daemon's requests in progress and of those that it sent a second. started is how many it sent since the news.
	stay                time.Duration
	inFlight, startRate float64
	started             int
	// othersPart is the part of the whole load that other daemons account for, in 0..1.
	othersPart float64
	// decay is the part of the differences as of the latest news that is left by decayAt.
	decay   float64
	decayAt time.Time
}

// NewBalance returns a Balance without news.
func NewBalance() *Balance { return &Balance{interval: usualInterval, stay: usualStay} }

// SetNews replaces the rows. News that come again, as the engines have changed meanwhile, have the same newsAt.
func (b *Balance) SetNews(newsAt time.Time, layers int, rows []Row) {
	b.rows, b.decayAt = rows, time.Time{}
	own, others := b.setMeans(layers)
	streams := b.setExpected(layers)
	b.setByRoom()
	if own+others > 0 {
		b.othersPart = others / (own + others)
	}
	if newsAt.Equal(b.newsAt) {
		b.setUsualWeights(layers)
		return
	}
	if passed := newsAt.Sub(b.newsAt); !b.newsAt.IsZero() && passed > 0 {
		b.interval += time.Duration(intervalSmoothing * float64(min(passed, maxInterval)-b.interval))
		b.startRate += staySmoothing * (float64(b.started)/passed.Seconds() - b.startRate)
		b.inFlight += staySmoothing * (streams - b.inFlight)
		if b.startRate > 0 {
			stay := time.Duration(b.inFlight / b.startRate * float64(time.Second))
			b.stay = min(max(minStay, stay), maxStay)
		}
	}
	b.newsAt, b.started = newsAt, 0
	b.setUsualWeights(layers)
}

// setMeans sets the mean uses of the rows, and returns the mean number of requests of this daemon and of the
// others that pass through a layer.
func (b *Balance) setMeans(layers int) (own, others float64) {
	use, room, roots := make([]float64, layers), make([]float64, layers), make([]float64, layers)
	for _, r := range b.rows {
		for layer := max(0, r.From); layer < min(r.To, layers); layer++ {
			use[layer] += (r.Others + r.Own) * r.Room
			room[layer] += r.Room
			roots[layer] += math.Sqrt(r.Room)
			own += r.Own * r.Room / float64(layers)
			others += r.Others * r.Room / float64(layers)
		}
	}
	for i := range b.rows {
		r := &b.rows[i]
		sum, free, held := 0.0, 0.0, 0
		for layer := max(0, r.From); layer < min(r.To, layers); layer++ {
			sum += use[layer] / room[layer]
			free += (room[layer] - use[layer]) / roots[layer]
			held++
		}
		r.mean = sum / float64(max(1, held))
		r.target = (1-reserveShare)*r.mean + reserveShare*max(r.mean/2, 1-free/float64(max(1, held))/math.Sqrt(r.Room))
	}
	return own, others
}

// zoneLayer is a layer as held by the engines of one availability zone.
type zoneLayer struct {
	zone  string
	layer int
}

// setExpected sets how many requests of this daemon the rows would have if those in each availability zone were
// spread by room. It returns the mean number that pass through a layer.
func (b *Balance) setExpected(layers int) float64 {
	streams, room := map[zoneLayer]float64{}, map[zoneLayer]float64{}
	each := func(r *Row, visit func(zoneLayer)) int {
		for layer := max(0, r.From); layer < min(r.To, layers); layer++ {
			visit(zoneLayer{zone: r.Zone, layer: layer})
		}
		return max(1, min(r.To, layers)-max(0, r.From))
	}
	for i := range b.rows {
		r := &b.rows[i]
		each(r, func(l zoneLayer) {
			streams[l] += float64(r.Streams)
			room[l] += r.Room
		})
	}
	for i := range b.rows {
		r := &b.rows[i]
		sum := 0.0
		held := each(r, func(l zoneLayer) { sum += streams[l] / room[l] })
		r.expected = sum / float64(held) * r.Room
		if r.mean > 0 {
			r.expected *= r.target / r.mean
		}
	}
	total := 0.0
	for _, n := range streams {
		total += n
	}
	return total / float64(layers)
}

// setUsualWeights sets the rows' usualWeight.
func (b *Balance) setUsualWeights(layers int) {
	weight, room := make([]float64, layers), make([]float64, layers)
	for i := range b.rows {
		r := &b.rows[i]
		for layer := max(0, r.From); layer < min(r.To, layers); layer++ {
			weight[layer] += b.weightOfUse(r, r.Others+r.Own) * r.Room
			room[layer] += r.Room
		}
	}
	for i := range b.rows {
		r := &b.rows[i]
		sum, held := 0.0, 0
		for layer := max(0, r.From); layer < min(r.To, layers); layer++ {
			sum += weight[layer] / room[layer]
			held++
		}
		r.usualWeight = sum / float64(max(1, held))
	}
}

// weightOfUse returns the weight of an engine with a use, before it is related to that of others.
func (b *Balance) weightOfUse(r *Row, use float64) float64 {
	if r.mean <= 0 {
		return 1
	}
	share := float64(b.interval) / float64(b.stay)
	return min(max(minWeight, 1+(r.target-use)/(r.mean*share)), maxWeight)
}

// setByRoom sets the rows' byRoom.
func (b *Balance) setByRoom() {
	cost, room, layers := 0.0, 0.0, 0.0
	for _, r := range b.rows {
		cost, room, layers = cost+float64(r.Cost), room+r.Room, layers+float64(max(1, r.To-r.From))
	}
	for i := range b.rows {
		if r := &b.rows[i]; r.Cost > 0 {
			r.byRoom = cost / layers * float64(max(1, r.To-r.From)) / float64(r.Cost) * room / float64(len(b.rows)) / r.Room
			if r.mean > 0 && r.target > 0 {
				r.byRoom *= r.mean / r.target
			}
		} else {
			r.byRoom = 1
		}
	}
}

// CountStart records that this daemon sent a request.
func (b *Balance) CountStart() { b.started++ }

// ByRoom returns the factor on an engine's cost that turns a choice by cost into one by room.
func (b *Balance) ByRoom(index int) float64 { return b.rows[index].byRoom }

// Evenness returns how much an even load counts for a row, in 0..1, rather than the fastest chain.
func (b *Balance) Evenness(index int) float64 {
	return min(max(0, (b.rows[index].mean-minMeanUse)/(fullMeanUse-minMeanUse)), 1)
}

// MeanUse returns the mean use of the engines that hold the same layers as a row, as of the latest news.
func (b *Balance) MeanUse(index int) float64 { return b.rows[index].mean }

// Correction estimates by how much the other daemons have changed the use of an engine since the latest news:
// they even out differences over the horizon, and requests that end do so, too. What the news say of other
// daemons was half an interval old.
func (b *Balance) Correction(now time.Time, index int) float64 {
	if !b.decayAt.Equal(now) {
		age := float64(now.Sub(b.newsAt)+b.interval/2) / (newsWorth * float64(b.stay))
		b.decay, b.decayAt = math.Exp(-age*age), now
	}
	r := &b.rows[index]
	return -b.othersPart * (r.Others + r.Own - r.target) * (1 - b.decay)
}

// UseNow estimates the use of an engine by now; own is the part of its room that this daemon uses now.
func (b *Balance) UseNow(now time.Time, index int, own float64) float64 {
	return b.rows[index].Others + own + b.Correction(now, index)
}

// Weight returns the weight of an engine in the choice among those that hold the same layers, relative to its
// room. It is 1 at the mean use, and such that the requests of one horizon even out the difference. This daemon's
// own requests are known without delay, so they are spread evenly at once. own and streams are what this daemon
// has on the engine now.
func (b *Balance) Weight(now time.Time, index int, own float64, streams int) float64 {
	r := &b.rows[index]
	if r.mean <= 0 {
		return 1
	}
	weight := b.weightOfUse(r, b.UseNow(now, index, own)) / r.usualWeight
	weight *= max(minWeight, 1-(float64(streams)-r.expected)/math.Sqrt(r.expected+1))
	return min(max(minWeight, weight), maxWeight)
}
