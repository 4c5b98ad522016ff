package relay

import (
	"maps"
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/reach"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// cutOffRetryDelay is the retry delay given to callers of requests that no daemon takes.
const cutOffRetryDelay = time.Second

// inProgress returns the number of attempts in progress at the servers of a service.
func (st *State) inProgress(service string) int {
	n := 0
	for _, s := range st.servers {
		if s.member.Service == service {
			n += s.inFlight
		}
	}
	return n
}

// recordReach records what the outcome of an attempt says about the way to the service.
func (st *State) recordReach(now time.Time, r *Request, o Outcome) {
	switch {
	case o.NotConnected || o.ConnectionLost || o.Failure != nil && o.Failure.Reason == verdt.DeadlinePassed:
		st.reach.Suspect(r.Service)
	case o.Failure == nil || o.Failure.Verdict == verdt.NotRun:
		st.heardAt[r.Service] = now
	}
}

// UsesProxy reports whether another daemon has to serve a request, since its service is cut off here.
func (st *State) UsesProxy(r *Request) bool {
	return !r.Proxied && st.HasProxies && st.reach.CutOff(r.Service)
}

// TakeProxyRetry takes the retry that sends a request in progress to another daemon from the retry budget, and reports
// whether there is room. Next does not take it again.
func (st *State) TakeProxyRetry(now time.Time, r *Request) bool {
	r.retryTaken = r.retryTaken || st.budget.TryTake(now, r.Service, 1)
	return r.retryTaken
}

// refuseCutOff returns the failure Unreachable for a request whose service is cut off and that another daemon has to
// serve, or that came from another daemon; nil for others. A request that may have run draws on the retry budget.
func (st *State) refuseCutOff(now time.Time, r *Request) *verdt.Error {
	if !st.UsesProxy(r) && (!r.Proxied || !st.reach.CutOff(r.Service)) {
		return nil
	}
	if !r.Proxied && r.Verdict != verdt.NotRun && !st.TakeProxyRetry(now, r) {
		return verdt.New(r.Verdict, verdt.Overloaded, "too many requests are being sent again", verdt.RetryAt(now.Add(retryDelay)))
	}
	r.retryTaken = false
	return verdt.New(r.Verdict, verdt.Unreachable, "this daemon has no connection to the servers", verdt.RetryAt(now.Add(cutOffRetryDelay)))
}

// ReachProbes returns the probes that are due of services that may be cut off.
func (st *State) ReachProbes(now time.Time) []reach.Probe {
	for service, heardAt := range st.heardAt {
		st.reach.SuspectIfSilent(now, service, st.inProgress(service), heardAt)
	}
	return st.reach.Probes(now, func(service string) []model.Member {
		var members []model.Member
		for _, id := range slices.Sorted(maps.Keys(st.servers)) {
			if s := st.servers[id]; s.member.Service == service && s.member.State == model.Live {
				members = append(members, s.member)
			}
		}
		return members
	})
}

// ApplyReach applies the result of a probe and reports whether the service became cut off or reachable.
func (st *State) ApplyReach(now time.Time, r reach.Result) bool {
	changed := st.reach.Apply(now, r)
	if changed && st.reach.CutOff(r.Service) {
		st.crash.WithdrawSince(now.Add(-reach.DetectionTime))
	}
	return changed
}

// SuspectCutOff makes the next ReachProbes probe the servers of a service.
func (st *State) SuspectCutOff(service string) { st.reach.Suspect(service) }

// CutOff returns the services that this daemon does not reach, sorted.
func (st *State) CutOff() []string { return st.reach.Services() }

// TakeRetry takes one retry of a request from the retry budget, for a request that another daemon did not serve to
// its end, and reports whether there is room.
func (st *State) TakeRetry(now time.Time, r *Request) bool {
	return st.budget.TryTake(now, r.Service, 1)
}
