// Package burn counts the requests and tokens that meet or miss each team's
// service-level objectives, and reports the burn rates of the error budgets.
package burn

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

//go:generate enumer -type=Objective -transform=snake -text -output=objective_enumer.go

// Objective is a quantity for which there is a service-level objective.
type Objective uint8

const (
	// FirstToken is the time from a request's arrival to its first token.
	FirstToken Objective = iota
	// Gap is the time between two tokens.
	Gap
	// Refused is the share of requests that were rejected without being run.
	Refused
	// Lost is the share of requests that may have run but got no complete answer.
	Lost
)

const (
	// slotLength is the time that one slot covers.
	slotLength = time.Minute
	// slotCount is the number of slots per team; they cover the longest of Windows.
	slotCount = 60
	// HistUnit is the unit of the values in the histograms.
	HistUnit = 100 * time.Microsecond
	// histMax is the largest value recorded, in units of HistUnit; longer times are
	// recorded as this value.
	histMax = int64(time.Minute / HistUnit)
	// histDigits is the number of significant digits of the histograms. One digit keeps
	// a team below 10 KB, so that thousands of teams fit in memory.
	histDigits = 1
	// maxTeams is the maximum number of teams counted separately, to limit memory use.
	maxTeams = 4096
	// OtherTeams is the name under which all teams beyond maxTeams are counted together.
	OtherTeams = model.Team("/other")
)

// Limits are the service-level objectives of a team.
type Limits struct {
	FirstToken time.Duration
	Gap        time.Duration
	// Share is the share of requests and tokens that must meet the objectives.
	Share float64
}

// Count is the number of events that met (Good) and missed (Bad) an objective.
type Count struct {
	Good uint64 `cbor:"1,keyasint"`
	Bad  uint64 `cbor:"2,keyasint"`
}

// slot holds the counts of one interval of slotLength.
type slot struct {
	// number is the time since the Unix epoch in units of slotLength.
	number int64
	counts [Lost + 1]Count
}

// teamCounts holds the counts of one team.
type teamCounts struct {
	// slots is a ring buffer; a slot is reused after slotCount intervals.
	slots [slotCount]slot
	// firstToken and gap are the histograms of the times to the first token and between
	// two tokens since the process started, in units of HistUnit.
	firstToken, gap *hdrhistogram.Histogram
}

// Recorder counts the requests and tokens of one daemon. It implements drive.Observer.
type Recorder struct {
	limits func(model.Team) Limits

	mu    sync.Mutex
	teams map[model.Team]*teamCounts
}

// NewRecorder returns a Recorder. limits returns the objectives in force for a team.
func NewRecorder(limits func(model.Team) Limits) *Recorder {
	return &Recorder{limits: limits, teams: map[model.Team]*teamCounts{}}
}

// FirstToken implements drive.Observer.
func (r *Recorder) FirstToken(team model.Team, wait time.Duration) {
	good := wait <= r.limits(team).FirstToken
	r.record(team, FirstToken, good, wait)
}

// Gap implements drive.Observer.
func (r *Recorder) Gap(team model.Team, gap time.Duration) {
	good := gap <= r.limits(team).Gap
	r.record(team, Gap, good, gap)
}

// RequestEnded implements drive.Observer.
func (r *Recorder) RequestEnded(team model.Team, failure *verdt.Error) {
	refused := failure != nil && failure.Verdict == verdt.NotRun
	r.record(team, Refused, !refused, 0)
	if !refused {
		callerGone := failure != nil && failure.Reason == verdt.CallerGone
		r.record(team, Lost, failure == nil || callerGone, 0)
	}
}

// record counts one event for an objective, and d in its histogram if it has one.
func (r *Recorder) record(team model.Team, o Objective, good bool, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := r.countsOf(team)
	count := &counts.slotAt(time.Now()).counts[o]
	if good {
		count.Good++
	} else {
		count.Bad++
	}
	units := min(int64(d/HistUnit), histMax)
	switch o {
	case FirstToken:
		_ = counts.firstToken.RecordValue(units)
	case Gap:
		_ = counts.gap.RecordValue(units)
	case Refused, Lost:
	}
}

// countsOf returns the counts of a team and creates them if needed. The caller holds mu.
func (r *Recorder) countsOf(team model.Team) *teamCounts {
	if counts := r.teams[team]; counts != nil {
		return counts
	}
	if len(r.teams) >= maxTeams && team != OtherTeams {
		return r.countsOf(OtherTeams)
	}
	counts := &teamCounts{firstToken: hdrhistogram.New(1, histMax, histDigits), gap: hdrhistogram.New(1, histMax, histDigits)}
	r.teams[team] = counts
	return counts
}

// slotAt returns the slot of the interval that contains now. It clears the slot if it holds
// the counts of an older interval.
func (t *teamCounts) slotAt(now time.Time) *slot {
	number := now.UnixNano() / int64(slotLength)
	s := &t.slots[number%slotCount]
	if s.number != number {
		*s = slot{number: number}
	}
	return s
}

// Snapshot is the counts of one daemon, to be merged with those of others.
type Snapshot struct {
	Daemon model.DaemonID              `cbor:"1,keyasint"`
	Teams  map[model.Team]TeamSnapshot `cbor:"2,keyasint"`
	Limits map[model.Team]Limits       `cbor:"3,keyasint"`
}

// TeamSnapshot is the counts of one team at one daemon.
type TeamSnapshot struct {
	// Counts holds the counts by window, in the order of Windows, and by Objective.
	Counts [][]Count `cbor:"1,keyasint"`
	// First and Gap are encoded histograms with values in units of HistUnit.
	First []byte `cbor:"2,keyasint"`
	Gap   []byte `cbor:"3,keyasint"`
}

// Windows returns the lengths of the time windows of a report, shortest first.
func Windows() []time.Duration {
	return []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour}
}

// Snapshot returns the current counts as those of the daemon self.
func (r *Recorder) Snapshot(self model.DaemonID) (Snapshot, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	s := Snapshot{Daemon: self, Teams: map[model.Team]TeamSnapshot{}, Limits: map[model.Team]Limits{}}
	for team, counts := range r.teams {
		first, err := counts.firstToken.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
		if err != nil {
			return s, trace.Wrap(err)
		}
		gap, err := counts.gap.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
		if err != nil {
			return s, trace.Wrap(err)
		}
		s.Teams[team] = TeamSnapshot{Counts: counts.windows(now), First: first, Gap: gap}
		s.Limits[team] = r.limits(team)
	}
	return s, nil
}

// windows returns the counts by window, in the order of Windows, and by Objective.
func (t *teamCounts) windows(now time.Time) [][]Count {
	newest := now.UnixNano() / int64(slotLength)
	var all [][]Count
	for _, w := range Windows() {
		counts := make([]Count, Lost+1)
		oldest := newest - int64(w/slotLength)
		for i := range t.slots {
			s := &t.slots[i]
			if s.number <= oldest || s.number > newest {
				continue
			}
			for o := range s.counts {
				counts[o].Good += s.counts[o].Good
				counts[o].Bad += s.counts[o].Bad
			}
		}
		all = append(all, counts)
	}
	return all
}

// Encode encodes a snapshot as CBOR.
func (s Snapshot) Encode() ([]byte, error) {
	raw, err := cbor.Marshal(s)
	return raw, trace.Wrap(err)
}

// DecodeSnapshot decodes a snapshot from CBOR.
func DecodeSnapshot(raw []byte) (Snapshot, error) {
	var s Snapshot
	return s, trace.Wrap(cbor.Unmarshal(raw, &s))
}
