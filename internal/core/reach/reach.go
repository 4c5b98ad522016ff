// Package reach decides which services this daemon cannot reach, although their servers may be sound: its
// network paths to them are cut. What a daemon sees of its own requests raises a suspicion, and attempts to connect
// to some of the servers decide.
package reach

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/pkg/model"
)

const (
	// silenceTimeout is how long a service with several requests in progress must have sent nothing to be
	// suspected.
	silenceTimeout = 250 * time.Millisecond
	// fewRequestsSilenceTimeout is the silenceTimeout for fewer than minRequests requests. A sound server may be
	// silent for about a second.
	fewRequestsSilenceTimeout = 600 * time.Millisecond
	// minRequests is how many requests in progress are several.
	minRequests = 3
	// DetectionTime is the time from the start of a cut within which it is found: a silence or a failed connection, and
	// a probe. What connections to the service suggested meanwhile is due to the cut.
	DetectionTime = 1500 * time.Millisecond
	// probeInterval is the time between two probes of a service that is reachable as far as is known, and
	// cutOffProbeInterval of one that is not.
	probeInterval       = time.Second
	cutOffProbeInterval = 500 * time.Millisecond
	// maxProbedServers is how many servers a probe connects to.
	maxProbedServers = 8
	// maxCutOffShare is the share of the probed servers that may be reached for a service to count as cut off.
	maxCutOffShare = 0.125
	// minReachableShare is the share that must be reached for a service to be reachable again.
	minReachableShare = 0.5
)

// Probe is a request to connect to servers of a service.
type Probe struct {
	Service string
	// Addresses are those of the servers, at least one.
	Addresses []string
}

// Result is the result of a Probe.
type Result struct {
	Service string
	// Tried is the number of servers, and Reached how many of them accepted a connection.
	Tried, Reached int
	// Void is set if the result says nothing, as this process stood still meanwhile.
	Void bool
}

// path is what is known of the way to one service.
type path struct {
	cutOff bool
	// suspect is set until the next probe is made.
	suspect bool
	// probing is set from Probes until Apply.
	probing bool
	probeAt time.Time
}

// State holds what this daemon knows about its paths to services.
type State struct {
	paths map[string]*path
	rng   *rand.Rand
}

// New returns a state in which all services are reachable.
func New(seed uint64) *State {
	return &State{paths: map[string]*path{}, rng: rand.New(rand.NewPCG(seed, 5))}
}

func (st *State) path(service string) *path {
	p := st.paths[service]
	if p == nil {
		p = &path{}
		st.paths[service] = p
	}
	return p
}

// Suspect records a sign that a service may be cut off, such as a server that accepts no connection.
func (st *State) Suspect(service string) { st.path(service).suspect = true }

// SuspectIfSilent suspects a service with requests in progress of which none has got anything since a time.
func (st *State) SuspectIfSilent(now time.Time, service string, requests int, since time.Time) {
	timeout := fewRequestsSilenceTimeout
	if requests >= minRequests {
		timeout = silenceTimeout
	}
	if requests > 0 && now.Sub(since) >= timeout {
		st.Suspect(service)
	}
}

// Probes returns the probes that are due. servers returns the live servers of a service.
func (st *State) Probes(now time.Time, servers func(service string) []model.Member) []Probe {
	var probes []Probe
	for _, service := range slices.Sorted(maps.Keys(st.paths)) {
		p := st.paths[service]
		if p.probing || now.Before(p.probeAt) || !p.suspect && !p.cutOff {
			continue
		}
		p.suspect = false
		addresses := st.sample(servers(service))
		if len(addresses) == 0 {
			// Nobody reaches a service without servers.
			p.cutOff = false
			continue
		}
		p.probing = true
		probes = append(probes, Probe{Service: service, Addresses: addresses})
	}
	return probes
}

// sample returns the addresses of up to maxProbedServers servers, chosen at random.
func (st *State) sample(members []model.Member) []string {
	var addresses []string
	for _, i := range st.rng.Perm(len(members)) {
		if len(addresses) == maxProbedServers {
			break
		}
		addresses = append(addresses, members[i].Address)
	}
	return addresses
}

// Apply applies the result of a probe and reports whether the service became cut off or reachable.
func (st *State) Apply(now time.Time, r Result) (changed bool) {
	p := st.path(r.Service)
	before := p.cutOff
	p.probing = false
	if r.Void {
		p.suspect = true
		return false
	}
	share := float64(r.Reached) / float64(max(1, r.Tried))
	switch {
	case share <= maxCutOffShare:
		p.cutOff = true
	case share > minReachableShare:
		p.cutOff = false
	}
	p.probeAt = now.Add(probeInterval)
	if p.cutOff {
		p.probeAt = now.Add(cutOffProbeInterval)
	}
	return p.cutOff != before
}

// CutOff reports whether a service is cut off.
func (st *State) CutOff(service string) bool {
	p := st.paths[service]
	return p != nil && p.cutOff
}

// Services returns the services that are cut off, sorted.
func (st *State) Services() []string {
	var services []string
	for service, p := range st.paths {
		if p.cutOff {
			services = append(services, service)
		}
	}
	slices.Sort(services)
	return services
}
