package limit

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"bulrushpond.example/bulrushpond/pkg/model"
)

const (
	// reportTTL is how long the demand of a daemon counts after its last report.
	reportTTL = 1500 * time.Millisecond
	// maxShareInterval bounds the time between two reports of a daemon for which it gets shares.
	maxShareInterval = time.Second
	// burstPeriod is the time for which unused requests of a limit are kept.
	burstPeriod = 250 * time.Millisecond
)

// daemonDemand is one daemon's demand for a server.
type daemonDemand struct {
	// perSecond is the demand in requests a second, as reported at reportedAt.
	perSecond  float64
	reportedAt time.Time
	// credit is the part of a request that the daemon is owed, at least 0.
	credit float64
}

// account is the limit of one server, as it is shared out.
type account struct {
	serverLimit
	daemons map[model.DaemonID]*daemonDemand
	// total is the sum of the daemons' demands.
	total float64
	// available bounds the requests that are granted.
	available *rate.Limiter
	nextSweep time.Time
}

// Allocator shares out the limits of servers among the daemons that report to it.
type Allocator struct {
	accounts map[model.ServerID]*account
	rng      *rand.Rand
}

// NewAllocator returns an allocator that knows no limits.
func NewAllocator(seed uint64) *Allocator {
	return &Allocator{accounts: map[model.ServerID]*account{}, rng: rand.New(rand.NewPCG(seed, 5))}
}

// Exchange records the reports of a daemon and returns its shares, sorted by server. part is the part of
// all daemons that report to this allocator, in 0..1: the others use their parts of the limits
// without it.
func (al *Allocator) Exchange(now time.Time, from model.DaemonID, reports []Report, part float64) []Grant {
	for _, r := range reports {
		al.record(now, from, r)
	}
	var grants []Grant
	for _, id := range slices.Sorted(maps.Keys(al.accounts)) {
		a := al.accounts[id]
		if a.sweep(now); len(a.daemons) == 0 {
			delete(al.accounts, id)
			continue
		}
		g := Grant{Statement: a.latest, Age: now.Sub(a.saidAt)}
		if d := a.daemons[from]; d != nil && a.latest.Limited && d.perSecond > 0 {
			g.Rate = a.latest.rate() * part * d.perSecond / a.total
			g.Requests = a.take(now, d, g.Rate, part)
		}
		if d := a.daemons[from]; d != nil {
			d.reportedAt = now
		}
		grants = append(grants, g)
	}
	return grants
}

// record records one report of a daemon.
func (al *Allocator) record(now time.Time, from model.DaemonID, r Report) {
	a := al.accounts[r.Server]
	if a == nil {
		a = &account{daemons: map[model.DaemonID]*daemonDemand{}, available: rate.NewLimiter(0, 1)}
		a.latest, a.saidAt = r.Statement, now.Add(-r.Age)
		al.accounts[r.Server] = a
	}
	if saidAt := now.Add(-r.Age); a.contradictedBy(saidAt, r.Statement) {
		a.set(saidAt, r.Statement)
	}
	d := a.daemons[from]
	if d == nil {
		// A random credit spreads the requests of daemons whose shares are far below one.
		d = &daemonDemand{reportedAt: now, credit: al.rng.Float64()}
		a.daemons[from] = d
	}
	a.total += r.Demand - d.perSecond
	d.perSecond = r.Demand
}

// take returns the number of requests that a daemon is granted since its last report, at a rate in
// requests a second.
func (a *account) take(now time.Time, d *daemonDemand, perSecond, part float64) int {
	limit := rate.Limit(a.latest.rate() * part)
	if a.available.Limit() != limit {
		a.available.SetLimitAt(now, limit)
		a.available.SetBurstAt(now, max(1, int(float64(limit)*burstPeriod.Seconds())))
	}
	owed := perSecond * min(now.Sub(d.reportedAt), maxShareInterval).Seconds()
	d.credit += owed
	n := min(int(d.credit), int(a.available.TokensAt(now)))
	if n <= 0 || !a.available.AllowN(now, n) {
		n = 0
	}
	d.credit = min(d.credit-float64(n), max(1, owed))
	return n
}

// sweep removes the daemons that have not reported for reportTTL.
func (a *account) sweep(now time.Time) {
	if now.Before(a.nextSweep) {
		return
	}
	a.nextSweep = now.Add(reportTTL / 2)
	a.total = 0
	maps.DeleteFunc(a.daemons, func(_ model.DaemonID, d *daemonDemand) bool { return now.Sub(d.reportedAt) >= reportTTL })
	for _, d := range a.daemons {
		a.total += d.perSecond
	}
}

func compareServers(a, b Statement) int { return cmp.Compare(a.Server, b.Server) }
