// Package board sums up the load that the daemons have in progress on each engine, and
// the tokens that they sent between availability zones. The engines' own reports lag and
// are costly to read, and a daemon's own load says little about that of the others. One
// daemon keeps the board; the others report to it and get the sums back.
package board

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/internal/core/crash"
	"bulrushpond.example/bulrushpond/internal/core/even"
	"bulrushpond.example/bulrushpond/internal/core/length"
	"bulrushpond.example/bulrushpond/internal/core/limit"
	"bulrushpond.example/bulrushpond/internal/core/ranks"
	"bulrushpond.example/bulrushpond/internal/core/retry"
	"bulrushpond.example/bulrushpond/pkg/model"
)

const (
	// StatusTTL is how long a daemon's report counts, and how long a sum may be used.
	StatusTTL = 1500 * time.Millisecond
	// sweepInterval is the interval at which expired reports are removed.
	sweepInterval = 100 * time.Millisecond
)

// Load is the load that one or more daemons have in progress on one engine.
type Load struct {
	Server model.ServerID `cbor:"1,keyasint"`
	// Tokens is the sum of the cache tokens that the requests are charged with.
	Tokens  int `cbor:"2,keyasint"`
	Streams int `cbor:"3,keyasint"`
}

// idle reports whether the load is none.
func (l Load) idle() bool { return l.Tokens == 0 && l.Streams == 0 }

// Pipe identifies the connection between the engines of two availability zones.
type Pipe struct {
	// From sorts before To, as both directions share the pipe.
	From string `cbor:"1,keyasint"`
	To   string `cbor:"2,keyasint"`
}

// PipeBetween returns the pipe between two availability zones, in either order.
func PipeBetween(a, b string) Pipe { return Pipe{From: min(a, b), To: max(a, b)} }

func (p Pipe) compare(other Pipe) int {
	return cmp.Or(cmp.Compare(p.From, other.From), cmp.Compare(p.To, other.To))
}

// PipeLoad is the number of tokens that one or more daemons sent over a pipe within the
// last second.
type PipeLoad struct {
	Pipe   Pipe `cbor:"1,keyasint"`
	Tokens int  `cbor:"2,keyasint"`
}

// DaemonStatus is what one daemon reports to the board.
type DaemonStatus struct {
	// Address is where the daemon serves its peers.
	Address string `cbor:"1,keyasint"`
	// Loads is the daemon's load in progress on each engine.
	Loads []Load `cbor:"2,keyasint,omitempty"`
	// Suspects are the engines that the daemon suspects to be dead.
	Suspects []model.ServerID `cbor:"3,keyasint,omitempty"`
	// Pipes is what the daemon sent between availability zones.
	Pipes []PipeLoad `cbor:"4,keyasint,omitempty"`
	// Full are the engines that recently declined its requests for lack of capacity.
	Full []model.ServerID `cbor:"5,keyasint,omitempty"`
	// Leaving are the servers whose answers said that they will stop.
	Leaving []model.ServerID `cbor:"6,keyasint,omitempty"`
	// Limits are the limits that servers named, and the daemon's demand for these servers.
	Limits []limit.Report `cbor:"7,keyasint,omitempty"`
	// CutOff are the services whose servers the daemon does not reach, sorted.
	CutOff []string `cbor:"8,keyasint,omitempty"`
	// ServesProxied is set if the daemon serves requests of others. Daemons of earlier versions do not.
	ServesProxied bool `cbor:"9,keyasint,omitempty"`
	// Ranks are the loads of the services whose requests have different ranks, sorted by service.
	Ranks []ranks.ServiceLoads `cbor:"10,keyasint,omitempty"`
	// Retries are the daemon's demands for the services' retry budgets. Daemons of earlier versions report
	// none, and use even shares.
	Retries retry.Report `cbor:"11,keyasint,omitzero"`
	// Lengths are the lengths of the answers of late, sorted by service.
	Lengths []length.Sketch `cbor:"12,keyasint,omitempty"`
	// Slow are the engines that the daemon saw to be slow, or to be sound although others report them.
	Slow []even.Pace `cbor:"13,keyasint,omitempty"`
	PromptParts
	RequestCrashes
}

// PromptParts is what one or more daemons know about prompt parts that crash engines; see
// crash.Report.
type PromptParts struct {
	CrashEvidence []crash.Evidence `cbor:"16,keyasint,omitempty"`
	SoundParts    []uint64         `cbor:"17,keyasint,omitempty"`
	BlockedParts  []crash.Block    `cbor:"18,keyasint,omitempty"`
}

// Report returns what the daemons know, as a report.
func (p PromptParts) Report() crash.Report {
	return crash.Report{Evidence: p.CrashEvidence, Sound: p.SoundParts, Blocks: p.BlockedParts}
}

// PromptPartsOf returns the content of a report.
func PromptPartsOf(r crash.Report) PromptParts {
	return PromptParts{CrashEvidence: r.Evidence, SoundParts: r.Sound, BlockedParts: r.Blocks}
}

// RequestCrashes is what one or more daemons know about whole requests that crash servers; see
// crash.Report.
type RequestCrashes struct {
	// ModelRequests are requests to model engines, PlainRequests those to plain services.
	ModelRequests crash.Report `cbor:"19,keyasint,omitzero"`
	PlainRequests crash.Report `cbor:"20,keyasint,omitzero"`
}

// crashSums counts the daemons that report each entry.
type crashSums struct {
	evidence map[crash.Evidence]int
	sound    map[uint64]int
	blocks   map[crash.Block]int
}

func newCrashSums() crashSums {
	return crashSums{evidence: map[crash.Evidence]int{}, sound: map[uint64]int{}, blocks: map[crash.Block]int{}}
}

// add adds a report if sign is 1, or subtracts it if sign is -1.
func (c crashSums) add(r crash.Report, sign int) {
	addToCounts(c.evidence, r.Evidence, sign)
	addToCounts(c.sound, r.Sound, sign)
	addToCounts(c.blocks, r.Blocks, sign)
}

// union returns what any daemon reported, sorted.
func (c crashSums) union() crash.Report {
	return crash.Report{
		Evidence: slices.SortedFunc(maps.Keys(c.evidence), crash.Evidence.Compare), Sound: slices.Sorted(maps.Keys(c.sound)),
		Blocks: slices.SortedFunc(maps.Keys(c.blocks), crash.Block.Compare),
	}
}

// View is the summary of the other daemons' reports that a daemon gets.
type View struct {
	Loads []Load     `cbor:"1,keyasint,omitempty"`
	Pipes []PipeLoad `cbor:"2,keyasint,omitempty"`
	// Suspects are the engines that any daemon suspects to be dead.
	Suspects []model.ServerID `cbor:"3,keyasint,omitempty"`
	// ReplacingLayers are the engines that change their layers: they decline requests that need
	// the layers that they give up.
	ReplacingLayers []model.ServerID `cbor:"4,keyasint,omitempty"`
	// Full are the engines that recently declined any daemon's requests.
	Full []model.ServerID `cbor:"5,keyasint,omitempty"`
	// Leaving are the servers that told any daemon that they will stop.
	Leaving []model.ServerID `cbor:"6,keyasint,omitempty"`
	// Limits are the daemon's shares of the limits that servers named.
	Limits []limit.Grant `cbor:"7,keyasint,omitempty"`
	// CutOff are the services that any daemon does not reach.
	CutOff []string `cbor:"8,keyasint,omitempty"`
	// Outages are the services whose model no chain of live engines covers and whose end is known.
	Outages []Outage `cbor:"9,keyasint,omitempty"`
	// Ranks and Lengths are the sums over the other daemons, sorted by service.
	Ranks   []ranks.ServiceLoads `cbor:"10,keyasint,omitempty"`
	Lengths []length.Sketch      `cbor:"12,keyasint,omitempty"`
	// Retries are the daemon's shares of the services' retry budgets.
	Retries retry.Grants `cbor:"11,keyasint,omitzero"`
	// Slow are the engines that any daemon reported as slow, with the factor that the daemons agree on.
	Slow []even.Pace `cbor:"13,keyasint,omitempty"`
	// PromptParts and RequestCrashes are the unions over all daemons.
	PromptParts
	RequestCrashes
}

// Outage says when a service's missing layers are expected to be loaded.
type Outage struct {
	Service string `cbor:"1,keyasint"`
	// Left is the time until then, since daemons' clocks differ.
	Left time.Duration `cbor:"2,keyasint"`
}

// daemonReport is a daemon's last report and when it expires.
type daemonReport struct {
	DaemonStatus
	expiresAt time.Time
}

// State is the board of the daemon that keeps it.
type State struct {
	reports map[model.DaemonID]daemonReport
	// loads, pipes, suspects, full, leaving and cutOff are the sums over reports, without zero
	// entries but for those of loads that the next sweep removes.
	loads map[model.ServerID]Load
	// loadIDs holds the keys of loads, sorted.
	loadIDs                                   []model.ServerID
	pipes                                     map[Pipe]int
	suspects                                  map[model.ServerID]int
	full                                      map[model.ServerID]int
	leaving                                   map[model.ServerID]int
	cutOff                                    map[string]int
	promptParts, modelRequests, plainRequests crashSums
	slow                                      paceSums
	ranks                                     rankSums
	// daemons holds the keys of reports, sorted.
	daemons   []model.DaemonID
	lengths   lengthSums
	nextSweep time.Time
	// nextPeer and nextProxy index daemons, so that Peers and Proxies return them round robin.
	nextPeer, nextProxy int
}

// New returns an empty board.
func New() *State {
	return &State{
		reports: map[model.DaemonID]daemonReport{}, loads: map[model.ServerID]Load{}, pipes: map[Pipe]int{}, suspects: map[model.ServerID]int{}, full: map[model.ServerID]int{}, leaving: map[model.ServerID]int{}, cutOff: map[string]int{},
		promptParts: newCrashSums(), modelRequests: newCrashSums(), plainRequests: newCrashSums(),
		slow: paceSums{}, ranks: rankSums{},
		lengths: lengthSums{},
	}
}

// Put replaces a daemon's report.
func (st *State) Put(now time.Time, from model.DaemonID, status DaemonStatus) {
	st.sweep(now)
	if previous, known := st.reports[from]; known {
		st.addToSums(previous.DaemonStatus, -1)
	} else {
		index, _ := slices.BinarySearch(st.daemons, from)
		st.daemons = slices.Insert(st.daemons, index, from)
	}
	st.reports[from] = daemonReport{DaemonStatus: status, expiresAt: now.Add(StatusTTL)}
	st.addToSums(status, 1)
}

// addToSums adds a report to the sums if sign is 1, or subtracts it if sign is -1.
func (st *State) addToSums(status DaemonStatus, sign int) {
	for _, l := range status.Loads {
		sum, known := st.loads[l.Server]
		if !known {
			index, _ := slices.BinarySearch(st.loadIDs, l.Server)
			st.loadIDs = slices.Insert(st.loadIDs, index, l.Server)
		}
		st.loads[l.Server] = Load{Server: l.Server, Tokens: sum.Tokens + sign*l.Tokens, Streams: sum.Streams + sign*l.Streams}
	}
	for _, p := range status.Pipes {
		if st.pipes[p.Pipe] += sign * p.Tokens; st.pipes[p.Pipe] == 0 {
			delete(st.pipes, p.Pipe)
		}
	}
	addToCounts(st.suspects, status.Suspects, sign)
	addToCounts(st.full, status.Full, sign)
	addToCounts(st.leaving, status.Leaving, sign)
	addToCounts(st.cutOff, status.CutOff, sign)
	st.slow.add(status.Slow, sign)
	st.ranks.add(status.Ranks, sign)
	st.promptParts.add(status.Report(), sign)
	st.modelRequests.add(status.ModelRequests, sign)
	st.plainRequests.add(status.PlainRequests, sign)
	st.lengths.add(status.Lengths, sign)
}

// addToCounts adds sign to the count of each ID and removes counts that become 0.
func addToCounts[K comparable](counts map[K]int, ids []K, sign int) {
	for _, id := range ids {
		if counts[id] += sign; counts[id] == 0 {
			delete(counts, id)
		}
	}
}

// sweep removes expired reports, at most once per sweepInterval.
func (st *State) sweep(now time.Time) {
	if now.Before(st.nextSweep) {
		return
	}
	st.nextSweep = now.Add(sweepInterval)
	st.daemons = slices.DeleteFunc(st.daemons, func(id model.DaemonID) bool {
		r := st.reports[id]
		if now.Before(r.expiresAt) {
			return false
		}
		st.addToSums(r.DaemonStatus, -1)
		delete(st.reports, id)
		return true
	})
	st.loadIDs = slices.DeleteFunc(st.loadIDs, func(id model.ServerID) bool {
		idle := st.loads[id].idle()
		if idle {
			delete(st.loads, id)
		}
		return idle
	})
}

// Suspects returns the engines that any daemon suspects to be dead, sorted by ID.
func (st *State) Suspects(now time.Time) []model.ServerID {
	st.sweep(now)
	return slices.Sorted(maps.Keys(st.suspects))
}

// Daemons returns the number of daemons with a current report.
func (st *State) Daemons(now time.Time) int {
	st.sweep(now)
	return len(st.reports)
}

// Peers returns the sorted addresses of up to n daemons, chosen round robin and without
// the daemon except.
func (st *State) Peers(except model.DaemonID, n int) []string {
	var peers []string
	for range len(st.daemons) {
		if len(peers) == n {
			break
		}
		st.nextPeer = (st.nextPeer + 1) % len(st.daemons)
		if id := st.daemons[st.nextPeer]; id != except {
			peers = append(peers, st.reports[id].Address)
		}
	}
	slices.Sort(peers)
	return slices.Compact(peers)
}

// Proxies returns the sorted addresses of up to n daemons that reach all services which a daemon does not
// reach, chosen round robin. If the daemon reaches all services, so do the ones returned.
func (st *State) Proxies(of model.DaemonID, n int) []string {
	cutOff := st.reports[of].CutOff
	var proxies []string
	for range len(st.daemons) {
		if len(proxies) == n {
			break
		}
		st.nextProxy = (st.nextProxy + 1) % len(st.daemons)
		id := st.daemons[st.nextProxy]
		report := st.reports[id]
		reaches := len(report.CutOff) == 0
		if len(cutOff) > 0 {
			reaches = !slices.ContainsFunc(cutOff, func(service string) bool { return slices.Contains(report.CutOff, service) })
		}
		if id != of && reaches && report.ServesProxied {
			proxies = append(proxies, report.Address)
		}
	}
	slices.Sort(proxies)
	return slices.Compact(proxies)
}

// Others returns the sums over all daemons but one, sorted. Suspects, Full, Leaving, CutOff,
// PromptParts and RequestCrashes include that daemon's own.
func (st *State) Others(now time.Time, except model.DaemonID) View {
	st.sweep(now)
	own := st.reports[except]
	ownLoads := make(map[model.ServerID]Load, len(own.Loads))
	for _, l := range own.Loads {
		ownLoads[l.Server] = l
	}
	ownPipes := make(map[Pipe]int, len(own.Pipes))
	for _, p := range own.Pipes {
		ownPipes[p.Pipe] = p.Tokens
	}
	v := View{
		Lengths:  st.lengths.others(own.Lengths),
		Suspects: st.Suspects(now), Full: slices.Sorted(maps.Keys(st.full)), Leaving: slices.Sorted(maps.Keys(st.leaving)), CutOff: slices.Sorted(maps.Keys(st.cutOff)),
		PromptParts:    PromptPartsOf(st.promptParts.union()),
		Ranks:          st.ranks.without(own.Ranks),
		RequestCrashes: RequestCrashes{ModelRequests: st.modelRequests.union(), PlainRequests: st.plainRequests.union()},
		Slow:           st.slow.agreed(),
	}
	for _, id := range st.loadIDs {
		sum, ownLoad := st.loads[id], ownLoads[id]
		if remaining := (Load{Server: id, Tokens: sum.Tokens - ownLoad.Tokens, Streams: sum.Streams - ownLoad.Streams}); !remaining.idle() {
			v.Loads = append(v.Loads, remaining)
		}
	}
	for p, sum := range st.pipes {
		if remaining := sum - ownPipes[p]; remaining != 0 {
			v.Pipes = append(v.Pipes, PipeLoad{Pipe: p, Tokens: remaining})
		}
	}
	slices.SortFunc(v.Pipes, func(a, b PipeLoad) int { return a.Pipe.compare(b.Pipe) })
	return v
}
