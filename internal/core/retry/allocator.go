package retry

import (
	"maps"
	"math"
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/pkg/model"
)

const (
	// reportTTL is how long a daemon counts as reporting after its last report.
	reportTTL = 1500 * time.Millisecond
	// settleTime is how long a new hub leaves the daemons what they hold, until most have reported.
	settleTime = time.Second
	// sumInterval is the interval at which the sums over all daemons are renewed.
	sumInterval = 250 * time.Millisecond
)

// run identifies one run of a daemon. What a run has sent counts on after a restart.
type run struct {
	daemon model.DaemonID
	start  uint64
}

// member is a daemon's run that has reported.
type member struct {
	seq uint64
	// since is when the run began to report to no other hub.
	since, reportedAt time.Time
}

// settled reports whether no other hub's grants to the member count any more.
func (m *member) settled(now time.Time, window time.Duration) bool {
	return now.Sub(m.since) >= settledAfter(window)
}

// share is one member's share of a service's burst.
type share struct {
	wanted, inUse, held float64
	// told is the last grant, which the member may not have got yet.
	told float64
	// brought is what the member held when it began to report.
	brought float64
	// silent is set if the account's sums leave the share out, since its member did not report of late.
	silent bool
}

// reserved returns the most that the member may have in use until its next report.
func (s *share) reserved() float64 { return max(s.held, s.told, s.inUse) }

// need returns what the member is to be granted if there is enough.
func (s *share) need() float64 { return max(s.wanted, s.inUse) }

// account is one service's burst, as it is shared out.
type account struct {
	shares map[run]*share
	// reserved and needed are the sums over the shares of reporting members.
	reserved, needed float64
	// pool is what the reporting members with shares may hold together as of the last sum, and reporting is their
	// number. The others keep their even shares.
	pool      float64
	reporting int
}

// Allocator shares out the bursts of the retry budgets among the daemons that report to it. What daemons hold
// together never exceeds the burst: a share is lowered first, and given to others when the next report confirms it.
type Allocator struct {
	// id identifies the hub's run.
	id       uint64
	burst    float64
	window   time.Duration
	members  map[run]*member
	accounts map[string]*account
	// startedAt is when reports came after a time without any, and exchangedAt when the last came.
	startedAt, exchangedAt time.Time
	nextSum                time.Time
	// even is an even share of what is granted of a burst.
	even float64
}

// NewAllocator returns an allocator of a burst in each window that nobody has reported to. id identifies the hub's run.
func NewAllocator(id uint64, burst float64, window time.Duration) *Allocator {
	return &Allocator{id: id, burst: burst, window: window, members: map[run]*member{}, accounts: map[string]*account{}}
}

// Exchange records a daemon's report and returns its shares. daemons is the number of all daemons: those that do not
// report use their even shares.
func (al *Allocator) Exchange(now time.Time, from model.DaemonID, r Report, daemons int) Grants {
	if r.Start == 0 {
		return Grants{}
	}
	if now.Sub(al.exchangedAt) >= reportTTL {
		al.startedAt = now
	}
	al.exchangedAt = now
	id := run{daemon: from, start: r.Start}
	m := al.members[id]
	switch {
	case m == nil:
		// A run's first report follows none to another hub.
		m = &member{since: now}
		if r.Seq == 1 {
			m.since = time.Time{}
		}
		al.members[id] = m
	case r.Seq <= m.seq:
		return Grants{Shared: true, Hub: al.id}
	case r.Hub != 0 && r.Hub != al.id:
		m.since = now
	}
	m.seq, m.reportedAt = r.Seq, now
	for _, d := range r.Demands {
		al.record(id, d, m.since.Equal(now))
	}
	if !now.Before(al.nextSum) {
		al.sum(now, daemons)
	}
	g := Grants{Shared: true, Hub: al.id}
	if now.Sub(al.startedAt) < settleTime {
		return g
	}
	g.Renewed = true
	if m.settled(now, al.window) {
		g.Unnamed = al.even
	}
	for _, d := range r.Demands {
		g.Grants = append(g.Grants, Grant{Service: d.Service, Burst: al.accounts[d.Service].grant(id)})
	}
	return g
}

// record records a member's demand for one service; arrived is set if the member begins to report.
func (al *Allocator) record(id run, d Demand, arrived bool) {
	a := al.accounts[d.Service]
	if a == nil {
		a = &account{shares: map[run]*share{}}
		al.accounts[d.Service] = a
	}
	s := a.shares[id]
	if s == nil {
		s = &share{brought: upTo(al.burst, d.Held), silent: true}
		a.shares[id] = s
	}
	if arrived {
		s.brought = upTo(al.burst, d.Held)
	}
	if !s.silent {
		a.reserved -= s.reserved()
		a.needed -= s.need()
	}
	s.silent = false
	s.wanted, s.inUse, s.held, s.told = upTo(al.burst, d.Wanted), upTo(al.burst, d.InUse), upTo(al.burst, d.Held), 0
	a.reserved += s.reserved()
	a.needed += s.need()
}

// grant decides a member's share, which must have reported. A share that grows takes only what no other may use.
func (a *account) grant(id run) float64 {
	s := a.shares[id]
	target := s.need() + max(0, a.pool-a.needed)/float64(max(1, a.reporting))
	if a.needed > a.pool {
		target = s.need() * a.pool / a.needed
		if whole := math.Floor(s.inUse) + 1; s.wanted >= whole {
			// A part of a retry is of no use.
			target = max(target, whole)
		}
	}
	others := a.reserved - s.reserved()
	if target > s.held {
		target = min(target, max(s.held, a.pool-others))
	}
	a.reserved -= s.reserved()
	s.told = target
	a.reserved += s.reserved()
	return target
}

// sum forgets runs that no longer count, and renews the sums over the others.
func (al *Allocator) sum(now time.Time, daemons int) {
	al.nextSum = now.Add(sumInterval)
	maps.DeleteFunc(al.members, func(_ run, m *member) bool { return now.Sub(m.reportedAt) >= settledAfter(al.window) })
	reporting := 0
	for _, m := range al.members {
		if now.Sub(m.reportedAt) < reportTTL {
			reporting++
		}
	}
	al.even = grantedShare * al.burst / float64(max(1, daemons, reporting))
	for _, service := range slices.Sorted(maps.Keys(al.accounts)) {
		a := al.accounts[service]
		a.reserved, a.needed, a.reporting = 0, 0, 0
		silent, contributed := 0.0, 0.0
		maps.DeleteFunc(a.shares, func(id run, _ *share) bool { return al.members[id] == nil })
		for id, s := range a.shares {
			m := al.members[id]
			if s.silent = now.Sub(m.reportedAt) >= reportTTL; s.silent {
				// The others do not use the silent member's even share either.
				silent += max(0, s.reserved()-al.even)
				continue
			}
			a.reporting++
			a.reserved += s.reserved()
			a.needed += s.need()
			if m.settled(now, al.window) {
				contributed += al.even
			} else {
				contributed += s.brought
			}
		}
		a.pool = max(0, min(contributed, al.even*float64(a.reporting))-silent)
		if len(a.shares) == 0 {
			delete(al.accounts, service)
		}
	}
}
