// Package relay routes requests to plain services that have no idempotency key: it
// chooses the backend server, decides whether a failed request may be retried, and
// determines the verdict that the caller gets.
package relay

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/crash"
	"bulrushpond.example/bulrushpond/internal/core/limit"
	"bulrushpond.example/bulrushpond/internal/core/reach"
	"bulrushpond.example/bulrushpond/internal/core/retry"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

const (
	// unreachableCooldown is how long a server is avoided after it refused or reset a
	// connection.
	unreachableCooldown = time.Second
	// retryDelay is the delay after which a caller may retry a request that did not run.
	retryDelay = 200 * time.Millisecond
	// smoothingFactor is the weight of one response in a server's moving averages.
	smoothingFactor = 0.1
	// crossZonePenalty multiplies the cost of servers outside the daemon's own
	// availability zone.
	crossZonePenalty = 1.2
	// minSuccessRate bounds the cost of a failing server, so that it still gets requests
	// and its recovery is noticed.
	minSuccessRate = 0.05
	// defaultLatency is assumed for servers before the first response of one of them.
	defaultLatency = 20 * time.Millisecond
)

// server is one backend server of a plain service.
type server struct {
	member     model.Member
	inFlight   int
	avoidUntil time.Time
	// pausedUntil is the time until which the server wants no requests from this daemon.
	pausedUntil time.Time
	// latency is the moving average of the response time; 0 before the first response.
	latency time.Duration
	// successRate is the moving average of the share of requests that the server
	// answered without a fault of its own.
	successRate float64
	// measuredAt is when the averages were updated last.
	measuredAt time.Time
}

// Request is a caller's request and the state of its attempts.
type Request struct {
	Service string
	// Repeatable is set if the request may run more than once.
	Repeatable bool
	Deadline   time.Time
	// MaxAttempts is how often the request may be sent.
	MaxAttempts int
	// Attempts is how often the request was sent; Tried names the servers.
	Attempts int
	Tried    []string
	// Verdict is the combined verdict of the attempts that have ended.
	Verdict verdt.Verdict
	// Digest identifies what was asked, for requests that come again.
	Digest uint64
	// Crashes counts the servers that ended when they ran the request.
	Crashes int
	// retryTaken is set while a retry that the retry budget has counted was not sent.
	retryTaken bool
	// Proxied is set for a request of another daemon, which cannot reach the servers itself and has counted it
	// towards the retry budget.
	Proxied bool
}

// Attempt is one attempt to send a request to a backend server.
type Attempt struct {
	Server model.Member
	Began  time.Time
	// InProgress is how many requests this daemon had in flight at the server before.
	InProgress int
}

// Outcome is the outcome of an attempt.
type Outcome struct {
	// Failure is nil if the server responded, whatever the status.
	Failure *verdt.Error
	// Faulty is set for a response that indicates a fault of the server itself.
	Faulty bool
	// ConnectionLost is set if the server ended the connection before its response was complete.
	ConnectionLost bool
	// NotConnected is set if no connection to the server could be made.
	NotConnected bool
}

// State holds the known backend servers and their statistics.
type State struct {
	// Zone is the daemon's own availability zone.
	Zone    string
	budget  *retry.Budget
	servers map[string]*server
	limits  *limit.State
	// crash holds what is known of requests that crash servers, and blocked counts those that were refused.
	crash   *crash.State
	blocked uint64
	reach   *reach.State
	// heardAt is when a server of each service last answered, or when the oldest attempt began since none
	// was in progress, if that is later.
	heardAt map[string]time.Time
	// HasProxies is set while other daemons serve the services that this one does not reach.
	HasProxies bool
	rng        *rand.Rand
}

// New returns a state without servers.
func New(zone string, budget *retry.Budget, seed uint64) *State {
	return &State{
		Zone: zone, budget: budget, servers: map[string]*server{}, limits: limit.New(seed), crash: crash.New(crash.Requests()),
		reach: reach.New(seed), heardAt: map[string]time.Time{}, rng: rand.New(rand.NewPCG(seed, 1)),
	}
}

// RetainServers removes the servers whose IDs are not in ids.
func (st *State) RetainServers(ids map[string]bool) {
	for id := range st.servers {
		if !ids[id] {
			delete(st.servers, id)
			st.limits.Forget(model.ServerID(id))
		}
	}
}

// UpsertServer adds or updates a backend server.
func (st *State) UpsertServer(m model.Member) {
	if s := st.servers[m.ID]; s != nil {
		s.member = m
		return
	}
	st.servers[m.ID] = &server{member: m, successRate: 1}
}

// SetDaemons sets how many daemons share the retry budget and the servers' limits.
func (st *State) SetDaemons(now time.Time, n int) {
	st.budget.SetDaemons(now, n)
	st.limits.SetDaemons(st.budget.Daemons())
}

// CountRequest counts a new request towards the retry budget.
func (st *State) CountRequest(now time.Time, r *Request) {
	if !r.Proxied {
		st.budget.CountRequest(now, r.Service)
	}
}

// Next starts a request's next attempt on the best server, or returns why there is none.
// Only retries draw on the retry budget.
func (st *State) Next(now time.Time, r *Request) (Attempt, *verdt.Error) {
	if !now.Before(r.Deadline) {
		return Attempt{}, verdt.New(r.Verdict, verdt.DeadlinePassed, "the deadline passed")
	}
	if until, blocked := st.blockedUntil(now, r); blocked {
		st.blocked++
		return Attempt{}, verdt.New(r.Verdict, verdt.RequestBlocked, crash.RequestBlockedMessage, verdt.RetryAt(until))
	}
	if f := st.refuseCutOff(now, r); f != nil {
		return Attempt{}, f
	}
	best, wanted := st.chooseServer(now, r)
	for _, s := range wanted {
		st.limits.CountDemand(now, s.id())
	}
	if best == nil && len(wanted) > 0 {
		return Attempt{}, verdt.New(r.Verdict, verdt.Overloaded, "all backend servers of the service are at the limit that they named", verdt.RetryAt(st.RetryAt(now, r.Service)))
	}
	if best == nil {
		return Attempt{}, verdt.New(r.Verdict, verdt.NoRoute, "no backend server of the service takes requests", verdt.RetryAt(st.RetryAt(now, r.Service)))
	}
	if r.Attempts > 0 && !st.budget.TryTake(now, r.Service, 1) {
		return Attempt{}, verdt.New(r.Verdict, verdt.Overloaded, "too many requests are being sent again", verdt.RetryAt(now.Add(retryDelay)))
	}
	if st.inProgress(r.Service) == 0 {
		st.heardAt[r.Service] = now
	}
	r.Attempts++
	r.Tried = append(r.Tried, best.member.ID)
	best.inFlight++
	st.limits.Take(now, best.id())
	return Attempt{Server: best.member, Began: now, InProgress: best.inFlight - 1}, nil
}

// CanRetry reports whether a request in progress can be sent to a server that it has not been sent to, or to
// another daemon.
func (st *State) CanRetry(now time.Time, r *Request) bool {
	if st.mayCrash(now, r) || !st.budget.HasRoom(now, r.Service, 1) {
		return false
	}
	if st.UsesProxy(r) {
		return true
	}
	if r.Attempts >= r.MaxAttempts {
		return false
	}
	s, _ := st.chooseServer(now, r)
	return s != nil && !slices.Contains(r.Tried, s.member.ID)
}

// Withdraw takes back an attempt that was not sent. Its part of the retry budget stays used.
func (st *State) Withdraw(r *Request, attempt Attempt) {
	r.Attempts--
	r.Tried = r.Tried[:len(r.Tried)-1]
	if s := st.servers[attempt.Server.ID]; s != nil {
		s.inFlight = max(0, s.inFlight-1)
	}
}

// RetryAt returns when a caller may retry a request to a service that did not run: when the first
// of its live servers takes requests again.
func (st *State) RetryAt(now time.Time, service string) time.Time {
	var next time.Time
	var limited []model.ServerID
	for _, s := range st.servers {
		if s.member.Service != service || s.member.State != model.Live {
			continue
		}
		if !now.Before(s.pausedUntil) && !st.limits.HasRoom(now, s.id()) {
			limited = append(limited, s.id())
			continue
		}
		if next.IsZero() || s.pausedUntil.Before(next) {
			next = s.pausedUntil
		}
	}
	soonest := now.Add(retryDelay)
	if len(limited) > 0 && (next.IsZero() || next.After(soonest)) {
		if at := st.limits.RetryAt(now, service, limited); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	if next.Before(soonest) {
		return soonest
	}
	return next
}

// Pause keeps all requests from a server until the given time, and reports whether that is news.
func (st *State) Pause(now time.Time, id string, until time.Time) bool {
	until = retry.PauseEnd(now, until)
	s := st.servers[id]
	if s == nil || !until.After(s.pausedUntil) {
		return false
	}
	s.pausedUntil = until
	return true
}

// chooseServer returns the live server of the service with the lowest cost, or nil, and the servers with
// limits for which there is demand. Paused servers and those whose limits allow no request now are left out.
// Servers that are in cooldown come after the others, and servers that were tried before come last.
func (st *State) chooseServer(now time.Time, r *Request) (best *server, wanted []*server) {
	lowestCost, lowestLimitedCost := math.Inf(1), math.Inf(1)
	var limited []*server
	var cheapestLimited *server
	fastest := st.fastest(r.Service)
	for _, s := range st.servers {
		if s.member.Service != r.Service || s.member.State != model.Live || now.Before(s.pausedUntil) {
			continue
		}
		cost := st.estimatedCost(now, s, fastest)
		if now.Before(s.avoidUntil) {
			cost += 1e9
		}
		for _, tried := range r.Tried {
			if tried == s.member.ID {
				cost += 1e12
			}
		}
		if st.limits.Limited(s.id()) {
			limited = append(limited, s)
			if cost < lowestLimitedCost {
				cheapestLimited, lowestLimitedCost = s, cost
			}
		}
		if cost < lowestCost && st.limits.HasRoom(now, s.id()) {
			best, lowestCost = s, cost
		}
	}
	switch {
	case best == nil:
		return nil, limited
	case lowestLimitedCost <= lowestCost:
		return best, []*server{cheapestLimited}
	}
	return best, nil
}

// id returns the ID of a server.
func (s *server) id() model.ServerID { return model.ServerID(s.member.ID) }

// estimatedCost estimates the time to a successful response. Jitter of 5 % keeps daemons
// with the same view from choosing the same server.
func (st *State) estimatedCost(now time.Time, s *server, fastest time.Duration) float64 {
	queue := 1 + float64(s.inFlight)
	successRate := s.currentSuccessRate(now)
	cost := float64(s.currentLatency(now, fastest)) * queue / max(minSuccessRate, successRate*successRate)
	if s.member.Zone != st.Zone {
		cost *= crossZonePenalty
	}
	return cost * (0.95 + 0.1*st.rng.Float64())
}

// RecordOutcome records the outcome of an attempt. It returns true if the request should be
// retried; otherwise the outcome is final.
func (st *State) RecordOutcome(now time.Time, r *Request, attempt Attempt, o Outcome) bool {
	st.updateStats(now, attempt, o)
	st.recordReach(now, r, o)
	if o.NotConnected && r.Attempts > 1 {
		st.budget.GiveBack(now, r.Service, attempt.Began)
	}
	st.recordCrash(now, r, attempt, o)
	if o.Failure == nil {
		r.Verdict = verdt.Ran
		return o.Faulty && r.Repeatable && r.Attempts < r.MaxAttempts
	}
	r.Verdict = r.Verdict.Merge(o.Failure.Verdict)
	return (r.Attempts < r.MaxAttempts || st.UsesProxy(r)) && r.Verdict.Retryable(r.Repeatable) && o.Failure.Reason != verdt.DeadlinePassed &&
		o.Failure.Reason != verdt.CallerGone && !st.mayCrash(now, r)
}
