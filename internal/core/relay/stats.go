package relay

import (
	"math"
	"time"

	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// statsTTL is the time constant with which what a server's answers said fades. Without newer answers, the server
// counts more and more as one that works like the fastest of its service, so that its recovery is noticed; the
// slower it was, the later it is tried.
const statsTTL = 5 * time.Second

// fading returns the weight of a server's averages, in 0..1.
func (s *server) fading(now time.Time) float64 {
	return math.Exp(-max(0, now.Sub(s.measuredAt).Seconds()) / statsTTL.Seconds())
}

// currentLatency returns the expected response time of a server; fastest is that of the fastest server of the service,
// as which a server counts before its first answer.
func (s *server) currentLatency(now time.Time, fastest time.Duration) time.Duration {
	if s.latency == 0 {
		return fastest
	}
	return fastest + time.Duration(float64(s.latency-fastest)*s.fading(now))
}

// currentSuccessRate returns the expected share of requests that a server answers without a fault of its own.
func (s *server) currentSuccessRate(now time.Time) float64 {
	return 1 - (1-s.successRate)*s.fading(now)
}

// fastest returns the lowest average response time of the live servers of a service, or defaultLatency before the first
// answer.
func (st *State) fastest(service string) time.Duration {
	var lowest time.Duration
	for _, s := range st.servers {
		if s.member.Service == service && s.member.State == model.Live && s.latency > 0 && (lowest == 0 || s.latency < lowest) {
			lowest = s.latency
		}
	}
	if lowest == 0 {
		return defaultLatency
	}
	return lowest
}

// updateStats updates a server's statistics after an attempt. An attempt that the caller
// abandoned says nothing about the server.
func (st *State) updateStats(now time.Time, attempt Attempt, o Outcome) {
	s := st.servers[attempt.Server.ID]
	if s == nil {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	if o.Failure != nil && o.Failure.Reason == verdt.CallerGone {
		return
	}
	succeeded := 1.0
	if o.Faulty || o.Failure != nil {
		succeeded = 0
	}
	weight := 1 - (1-smoothingFactor)*s.fading(now)
	s.successRate += (succeeded - s.successRate) * weight
	s.measuredAt = now
	if o.Failure != nil && o.Failure.Reason == verdt.StageFailed {
		s.avoidUntil = now.Add(unreachableCooldown)
		return
	}
	elapsed := now.Sub(attempt.Began)
	if s.latency == 0 {
		s.latency = elapsed
	}
	s.latency += time.Duration(float64(elapsed-s.latency) * weight)
}
