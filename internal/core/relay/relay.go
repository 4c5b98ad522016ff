// Package relay decides about requests to plain services that have no idempotency
// key: which backend server gets one, whether it may be sent again, and what its
// caller is told.
package relay

import (
	"math"
	"math/rand/v2"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/retry"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

const (
	// avoidUnreachable is how long a server gets no work after it refused a
	// connection or broke one off.
	avoidUnreachable = time.Second
	// comeBack is when a caller whose request did not run should come back.
	comeBack = 200 * time.Millisecond
	// smoothing is the weight of one answer in a server's smoothed figures.
	smoothing = 0.1
	// farPrice is how much longer than a server of the daemon's own availability
	// zone another one may take before it is the better choice.
	farPrice = 1.2
	// leastSuccess keeps a server with failures in the choice, so that its recovery
	// is seen.
	leastSuccess = 0.05
	// usualLatency is assumed of a server before its first answer.
	usualLatency = 20 * time.Millisecond
)

// server is one backend server of a plain service.
type server struct {
	member     model.Member
	inFlight   int
	avoidUntil time.Time
	// latency is the smoothed time to an answer.
	latency time.Duration
	// success is the smoothed share of requests with an answer that is no fault of
	// the server.
	success float64
}

// Request is one caller's request on its way.
type Request struct {
	Service string
	// Repeatable requests may run more than once.
	Repeatable bool
	Deadline   time.Time
	// MaxAttempts is how many servers it may be sent to.
	MaxAttempts int
	// Attempts is how many it was sent to; Tried names them.
	Attempts int
	Tried    []string
	// Verdict is what is known of the sends that have ended.
	Verdict verdt.Verdict
}

// Send is one send of a request.
type Send struct {
	Server model.Member
	Began  time.Time
	// InProgress is how many requests this daemon had at the server before.
	InProgress int
}

// Outcome is how a send ended.
type Outcome struct {
	// Failure is nil for an answer of the server, whatever its status.
	Failure *verdt.Error
	// Faulty is an answer that blames the server itself.
	Faulty bool
}

// State is what the system remembers between requests.
type State struct {
	// Zone is the daemon's own availability zone.
	Zone    string
	budget  *retry.Budget
	servers map[string]*server
	rng     *rand.Rand
}

// New returns a state that knows no server.
func New(zone string, budget *retry.Budget, seed uint64) *State {
	return &State{Zone: zone, budget: budget, servers: map[string]*server{}, rng: rand.New(rand.NewPCG(seed, 1))}
}

// Keep forgets the servers that are not named.
func (st *State) Keep(ids map[string]bool) {
	for id := range st.servers {
		if !ids[id] {
			delete(st.servers, id)
		}
	}
}

// Apply takes in one backend server.
func (st *State) Apply(m model.Member) {
	if s := st.servers[m.ID]; s != nil {
		s.member = m
		return
	}
	st.servers[m.ID] = &server{member: m, success: 1}
}

// SetDaemons takes in how many daemons share the budget.
func (st *State) SetDaemons(now time.Time, n int) { st.budget.SetDaemons(now, n) }

// Arrive counts a request for the budget.
func (st *State) Arrive(now time.Time, r *Request) { st.budget.Request(now, r.Service) }

// Next chooses the server for a request's next send, or says why there is none. The
// first send draws on no budget.
func (st *State) Next(now time.Time, r *Request) (Send, *verdt.Error) {
	if !now.Before(r.Deadline) {
		return Send{}, verdt.New(r.Verdict, verdt.DeadlinePassed, "the deadline passed")
	}
	best := st.choose(now, r)
	if best == nil {
		return Send{}, verdt.New(r.Verdict, verdt.NoRoute, "no backend server of the service takes requests", verdt.RetryAt(now.Add(comeBack)))
	}
	if r.Attempts > 0 && !st.budget.Take(now, r.Service, 1) {
		return Send{}, verdt.New(r.Verdict, verdt.Overloaded, "too many requests are being sent again", verdt.RetryAt(now.Add(comeBack)))
	}
	r.Attempts++
	r.Tried = append(r.Tried, best.member.ID)
	best.inFlight++
	return Send{Server: best.member, Began: now, InProgress: best.inFlight - 1}, nil
}

// choose returns the server that should answer first. Servers that were tried
// before, or that failed just now, come last.
func (st *State) choose(now time.Time, r *Request) *server {
	var best *server
	lowest := math.Inf(1)
	for _, s := range st.servers {
		if s.member.Service != r.Service || s.member.State != model.Live {
			continue
		}
		price := st.price(s)
		if now.Before(s.avoidUntil) {
			price += 1e9
		}
		for _, tried := range r.Tried {
			if tried == s.member.ID {
				price += 1e12
			}
		}
		if price < lowest {
			best, lowest = s, price
		}
	}
	return best
}

// price estimates the time to a good answer. A little chance keeps daemons with the
// same view from choosing alike.
func (st *State) price(s *server) float64 {
	latency := s.latency
	if latency == 0 {
		latency = usualLatency
	}
	queue := 1 + float64(s.inFlight)
	p := float64(latency) * queue / max(leastSuccess, s.success*s.success)
	if s.member.Zone != st.Zone {
		p *= farPrice
	}
	return p * (0.95 + 0.1*st.rng.Float64())
}

// Ended takes in how a send ended. It returns true where the request should be sent
// again; otherwise the outcome is final.
func (st *State) Ended(now time.Time, r *Request, send Send, o Outcome) bool {
	st.learn(now, send, o)
	if o.Failure == nil {
		r.Verdict = verdt.Ran
		return o.Faulty && r.Repeatable && r.Attempts < r.MaxAttempts
	}
	r.Verdict = r.Verdict.Worse(o.Failure.Verdict)
	return r.Attempts < r.MaxAttempts && r.Verdict.Retryable(r.Repeatable) && o.Failure.Reason != verdt.DeadlinePassed &&
		o.Failure.Reason != verdt.CallerGone
}

func (st *State) learn(now time.Time, send Send, o Outcome) {
	s := st.servers[send.Server.ID]
	if s == nil {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	if o.Failure != nil && o.Failure.Reason == verdt.CallerGone {
		return
	}
	good := 1.0
	if o.Faulty || o.Failure != nil {
		good = 0
	}
	s.success += (good - s.success) * smoothing
	if o.Failure != nil && o.Failure.Reason == verdt.StageFailed {
		s.avoidUntil = now.Add(avoidUnreachable)
		return
	}
	took := now.Sub(send.Began)
	if s.latency == 0 {
		s.latency = took
	}
	s.latency += time.Duration(float64(took-s.latency) * smoothing)
}
