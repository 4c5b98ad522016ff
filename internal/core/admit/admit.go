// Package admit decides which requests are taken in: who may call what, the
// teams' limits, and whether a request can still be served in time.
package admit

import (
	"fmt"
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/msgs"
	"bulrushpond.example/bulrushpond/internal/core/table"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

const (
	// quickRetry is when a caller refused for a passing reason should come back.
	quickRetry = time.Second
	// leastRetry keeps a time to come back in the future.
	leastRetry = time.Millisecond
	// daemonsHeld is how long a lower number of daemons must last before a
	// daemon's part of the limits grows.
	daemonsHeld = time.Minute
	// expectedWait, in parts of the objective for the first token, is the longest
	// expected wait of a request that is taken in. The rest is for the prompt
	// and for waits that turn out longer.
	expectedWait = 4
	// longestWait, in the same parts, is when a request that still waits is
	// given up: its first token could not come in time any more.
	longestWait = 8
	inParts     = 10
	// outageHold is how long a request waits while no chain of live servers covers its
	// model. Another server takes over lost layers within about that time, and a late
	// answer is worth more to a caller than none.
	outageHold = 3 * time.Second
	// leastBurst is the least number of requests that a rate limit lets
	// through at once.
	leastBurst = 1
)

// bucket is a token bucket.
type bucket struct {
	tokens float64
	filled time.Time
}

// State is what the system remembers between ticks.
type State struct {
	// Daemons divides the limits: the highest number of daemons seen lately,
	// so that the parts of all daemons never exceed the whole.
	Daemons int
	lowered time.Time
	buckets map[model.Team]*bucket
	running map[model.Team]int
	// Queues hold the waiting requests by model.
	Queues map[string]*table.Queue
	// backlog are the models whose queue may hold requests, in the order in
	// which they got their first.
	backlog []string
	// Waiting is the number of requests in all queues.
	Waiting  int
	Stopping bool
}

// NewState returns the state of a daemon alone.
func NewState() *State {
	return &State{Daemons: 1, buckets: map[model.Team]*bucket{}, running: map[model.Team]int{}, Queues: map[string]*table.Queue{}}
}

// ApplyDaemons takes in how many daemons there are. A higher number counts at
// once, a lower one only when it has lasted.
func (st *State) ApplyDaemons(now time.Time, n int) {
	switch {
	case n >= st.Daemons:
		st.Daemons, st.lowered = n, time.Time{}
	case st.lowered.IsZero():
		st.lowered = now
	case now.Sub(st.lowered) >= daemonsHeld:
		st.Daemons, st.lowered = max(1, n), time.Time{}
	}
}

// Arrive takes in a request, or returns why it is refused.
func (st *State) Arrive(now time.Time, a msgs.Arrival, f *setts.Force, requests *table.Requests) *verdt.Error {
	if st.Stopping {
		return refuse(now, verdt.Stopping, "this daemon is stopping", quickRetry)
	}
	if f == nil {
		return refuse(now, verdt.SettingsStale, "this daemon has no settings yet", quickRetry)
	}
	p := f.At(string(a.Team))
	root := f.At(setts.Root)
	if fail := st.mayCall(now, a, p, root); fail != nil {
		return fail
	}
	q := st.queue(a.Model)
	if fail := st.inTime(now, a, p, root, q); fail != nil {
		return fail
	}
	if fail := st.withinLimits(now, a.Team, p); fail != nil {
		return fail
	}
	r := &table.Request{Arrival: a, Next: a.From, Priority: p.Priority, MaxRecoveries: p.MaxRecoveries}
	r.QueueUntil = earlier(a.Deadline, now.Add(firstWithin(now, a, p)*longestWait/inParts))
	r.HoldUntil = earlier(a.Deadline, now.Add(outageHold))
	requests.Add(r)
	if q.Length == 0 && !slices.Contains(st.backlog, a.Model) {
		st.backlog = append(st.backlog, a.Model)
	}
	q.Push(a.Team, p.Weight, a.ID)
	st.Waiting++
	st.running[a.Team]++
	return nil
}

// Hold reports whether a request that has waited long enough for room waits on,
// because its model's servers are lost for the moment.
func (st *State) Hold(now time.Time, r *table.Request) bool {
	if !st.queue(r.Model).Outage || !now.Before(r.HoldUntil) {
		return false
	}
	r.QueueUntil = r.HoldUntil
	return true
}

// firstWithin is how soon the first token of a request should come.
func firstWithin(now time.Time, a msgs.Arrival, p setts.Policy) time.Duration {
	if a.FirstBy.IsZero() {
		return p.FirstToken
	}
	return max(0, a.FirstBy.Sub(now))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func refuse(now time.Time, reason verdt.Reason, message string, wait time.Duration) *verdt.Error {
	return verdt.New(verdt.NotRun, reason, message, verdt.RetryAt(now.Add(wait)))
}

// mayCall checks what no waiting would change.
func (st *State) mayCall(now time.Time, a msgs.Arrival, p, root setts.Policy) *verdt.Error {
	switch {
	case root.Models[a.Model] == 0:
		return verdt.New(verdt.NotRun, verdt.UnknownModel, "unknown model "+a.Model)
	case len(p.AllowedModels) > 0 && !slices.Contains(p.AllowedModels, a.Model):
		return verdt.New(verdt.NotRun, verdt.Forbidden, "this team may not use model "+a.Model)
	case !a.Deadline.After(now):
		return verdt.New(verdt.NotRun, verdt.DeadlinePassed, "the deadline has passed")
	}
	return nil
}

// inTime refuses a request whose turn would come too late for its first token
// or its deadline. The wait is that of the team's own share, so a team that
// floods the queue does not make others wait.
func (st *State) inTime(now time.Time, a msgs.Arrival, p, root setts.Policy, q *table.Queue) *verdt.Error {
	if st.Waiting >= root.QueueLength {
		return refuse(now, verdt.Overloaded, "too many requests wait", max(quickRetry, q.Interval*time.Duration(q.Length)))
	}
	ahead, share := q.Behind(a.Team, p.Weight)
	if ahead == 0 || q.Outage {
		return nil
	}
	wait := time.Duration(float64(q.Interval) * float64(ahead) / share)
	patience := min(firstWithin(now, a, p)*expectedWait/inParts, a.Deadline.Sub(now))
	if wait <= patience {
		return nil
	}
	return refuse(now, verdt.Overloaded, fmt.Sprintf("%d requests of this team wait already", ahead), wait-patience+q.Interval)
}

// withinLimits applies the team's own limits, divided by the daemons.
func (st *State) withinLimits(now time.Time, team model.Team, p setts.Policy) *verdt.Error {
	if p.MaxRunning > 0 && st.running[team] >= max(1, p.MaxRunning/st.Daemons) {
		return refuse(now, verdt.RateLimited, "this team has too many requests in progress", quickRetry)
	}
	if p.RequestsPerSecond <= 0 {
		return nil
	}
	rate := p.RequestsPerSecond / float64(st.Daemons)
	b := st.buckets[team]
	if b == nil {
		b = &bucket{tokens: max(leastBurst, rate), filled: now}
		st.buckets[team] = b
	}
	b.tokens = min(max(leastBurst, rate), b.tokens+rate*now.Sub(b.filled).Seconds())
	b.filled = now
	if b.tokens < 1 {
		wait := time.Duration((1 - b.tokens) / rate * float64(time.Second))
		return refuse(now, verdt.RateLimited, "this team is over its rate", max(wait, leastRetry))
	}
	b.tokens--
	return nil
}

func (st *State) queue(name string) *table.Queue {
	q := st.Queues[name]
	if q == nil {
		q = table.NewQueue()
		st.Queues[name] = q
	}
	return q
}

// Backlog returns the models whose requests wait, so that a tick costs nothing
// for models without any.
func (st *State) Backlog() []string {
	st.backlog = slices.DeleteFunc(st.backlog, func(name string) bool { return st.Queues[name].Length == 0 })
	return st.backlog
}

// Dispatched takes in that the head of a queue got its route.
func (st *State) Dispatched(now time.Time, q *table.Queue, cost float64) {
	q.Pop(cost)
	st.Waiting--
	if q.Length > 0 {
		q.Observe(now)
	} else {
		q.Idle()
	}
}

// Withdraw takes a request that still waits out of its queue.
func (st *State) Withdraw(r *table.Request) {
	q := st.queue(r.Model)
	before := q.Length
	q.Drop(r.Team, r.ID)
	st.Waiting -= before - q.Length
}

// Left takes in that a request ended.
func (st *State) Left(team model.Team) {
	if st.running[team]--; st.running[team] <= 0 {
		delete(st.running, team)
	}
}

// Check returns the first broken invariant.
func (st *State) Check(requests *table.Requests) error {
	total := 0
	for name, q := range st.Queues {
		if err := q.Check(requests); err != nil {
			return fmt.Errorf("queue of %s: %w", name, err)
		}
		total += q.Length
	}
	if total != st.Waiting {
		return fmt.Errorf("%d requests wait in the queues, but %d are counted", total, st.Waiting)
	}
	running := 0
	for _, n := range st.running {
		running += n
	}
	if running != requests.Len() {
		return fmt.Errorf("%d requests are counted by team, but %d exist", running, requests.Len())
	}
	return nil
}
