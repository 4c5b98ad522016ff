// Package burn counts what the service-level objectives are held against, and
// reports how fast each team burns its error budget.
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

// Objective is one thing that the users measure.
type Objective uint8

const (
	// FirstToken is the time from a request's arrival to its first token.
	FirstToken Objective = iota
	// Gap is the time between two tokens.
	Gap
	// Refused is the share of requests that were refused as not run.
	Refused
	// Lost is the share of requests that started and were not answered whole.
	Lost
)

const (
	// slotLength is the length of one slot of the windows.
	slotLength = time.Minute
	// slots cover the longest window.
	slots = 60
	// HistUnit is the unit of the histograms' values.
	HistUnit = 100 * time.Microsecond
	// histMax is the longest time recorded, in units.
	histMax = int64(time.Minute / HistUnit)
	// histDigits is the precision of the histograms. One digit keeps a team
	// below 10 KB, so that thousands of teams fit.
	histDigits = 1
	// maxTeams bounds the memory; further teams are counted together.
	maxTeams = 4096
	// OtherTeams is the name under which they are counted.
	OtherTeams = model.Team("/other")
)

// Limits are a team's objectives.
type Limits struct {
	FirstToken time.Duration
	Gap        time.Duration
	// Share is the part of requests that must meet them.
	Share float64
}

// Count is how many were good and bad.
type Count struct {
	Good uint64 `cbor:"1,keyasint"`
	Bad  uint64 `cbor:"2,keyasint"`
}

// slot is one stretch of time.
type slot struct {
	number int64
	counts [Lost + 1]Count
}

type teamRow struct {
	slots [slots]slot
	// first and gap hold the times since the process started, in units.
	first, gap *hdrhistogram.Histogram
}

// Recorder counts for one daemon. It implements drive.Observer.
type Recorder struct {
	limits func(model.Team) Limits

	mu    sync.Mutex
	teams map[model.Team]*teamRow
}

// NewRecorder returns a recorder that asks for each team's objectives.
func NewRecorder(limits func(model.Team) Limits) *Recorder {
	return &Recorder{limits: limits, teams: map[model.Team]*teamRow{}}
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

// Ended implements drive.Observer.
func (r *Recorder) Ended(team model.Team, f *verdt.Error) {
	refused := f != nil && f.Verdict == verdt.NotRun
	r.record(team, Refused, !refused, 0)
	if !refused {
		gone := f != nil && f.Reason == verdt.CallerGone
		r.record(team, Lost, f == nil || gone, 0)
	}
}

func (r *Recorder) record(team model.Team, o Objective, good bool, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row := r.row(team)
	c := &row.at(time.Now()).counts[o]
	if good {
		c.Good++
	} else {
		c.Bad++
	}
	units := min(int64(d/HistUnit), histMax)
	switch o {
	case FirstToken:
		_ = row.first.RecordValue(units)
	case Gap:
		_ = row.gap.RecordValue(units)
	case Refused, Lost:
	}
}

// row returns a team's counts. The caller holds mu.
func (r *Recorder) row(team model.Team) *teamRow {
	if row := r.teams[team]; row != nil {
		return row
	}
	if len(r.teams) >= maxTeams && team != OtherTeams {
		return r.row(OtherTeams)
	}
	row := &teamRow{first: hdrhistogram.New(1, histMax, histDigits), gap: hdrhistogram.New(1, histMax, histDigits)}
	r.teams[team] = row
	return row
}

// at returns the slot of a moment, emptied where it held an older stretch.
func (t *teamRow) at(now time.Time) *slot {
	number := now.UnixNano() / int64(slotLength)
	s := &t.slots[number%slots]
	if s.number != number {
		*s = slot{number: number}
	}
	return s
}

// Snapshot is one daemon's counts, for merging.
type Snapshot struct {
	Daemon model.DaemonID              `cbor:"1,keyasint"`
	Teams  map[model.Team]TeamSnapshot `cbor:"2,keyasint"`
	Limits map[model.Team]Limits       `cbor:"3,keyasint"`
}

// TeamSnapshot is one team's counts at one daemon.
type TeamSnapshot struct {
	// Counts hold, for each window of Windows, each objective.
	Counts [][]Count `cbor:"1,keyasint"`
	// First and Gap are encoded histograms, in units of HistUnit.
	First []byte `cbor:"2,keyasint"`
	Gap   []byte `cbor:"3,keyasint"`
}

// Windows are the stretches of time that a report covers, shortest first.
func Windows() []time.Duration {
	return []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour}
}

// Snapshot returns the counts so far.
func (r *Recorder) Snapshot(self model.DaemonID) (Snapshot, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	s := Snapshot{Daemon: self, Teams: map[model.Team]TeamSnapshot{}, Limits: map[model.Team]Limits{}}
	for team, row := range r.teams {
		first, err := row.first.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
		if err != nil {
			return s, trace.Wrap(err)
		}
		gap, err := row.gap.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
		if err != nil {
			return s, trace.Wrap(err)
		}
		s.Teams[team] = TeamSnapshot{Counts: row.windows(now), First: first, Gap: gap}
		s.Limits[team] = r.limits(team)
	}
	return s, nil
}

func (t *teamRow) windows(now time.Time) [][]Count {
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

// Encode returns a snapshot's bytes.
func (s Snapshot) Encode() ([]byte, error) {
	raw, err := cbor.Marshal(s)
	return raw, trace.Wrap(err)
}

// DecodeSnapshot reads a snapshot.
func DecodeSnapshot(raw []byte) (Snapshot, error) {
	var s Snapshot
	return s, trace.Wrap(cbor.Unmarshal(raw, &s))
}
