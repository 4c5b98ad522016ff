// Package even keeps the load of engines even: it finds the engines that are slower than their kind should
// be, and estimates the load that an engine has by now from news that are already old.
package even

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bulrushpond.example/bulrushpond/pkg/model"
)

const (
	// slowFactor is the factor on an engine's expected time from which it counts as slow. Prefill of other
	// requests and a load that is not known yet delay the tokens of a sound engine, too.
	slowFactor = 2.5
	// soundFactor is the factor below which a daemon contradicts reports that an engine is slow.
	soundFactor = 1.5
	// maxFactor bounds a factor, so that a slow engine is sent some requests.
	maxFactor = 16.0
	// evidenceTTL is how long an engine's factor counts after the last token that passed through it.
	evidenceTTL = 1500 * time.Millisecond
	// correction is the part of the difference between the expected and the observed gap that one token
	// corrects.
	correction = 0.5
	// priorWeight is the weight with which an engine that was never slow takes part in a correction. Engines
	// that seemed slow before take a larger part, so that a slow engine soon takes all of it.
	priorWeight = 0.1
	// MaxReported is the number of engines that a daemon reports, so that reports stay small.
	MaxReported = 16
	// minCompared is the number of engines from which on a daemon checks whether most of them seem slow.
	minCompared = 4
	// maxSlowShare is the share of the engines above which the daemon itself or the whole service is slow
	// rather than these engines.
	maxSlowShare = 0.75
)

// Pace is how much slower an engine is than its kind should be.
type Pace struct {
	Server model.ServerID `cbor:"1,keyasint" json:"server"`
	// Factor is at least 1. A daemon that contradicts others' reports reports 1.
	Factor float64 `cbor:"2,keyasint" json:"factor"`
}

// Stage is one engine of a chain with the time that it should take for a token.
type Stage struct {
	Server   model.ServerID
	Expected time.Duration
}

// pace is what this daemon knows of the pace of one engine.
type pace struct {
	// factor is in 1..maxFactor.
	factor float64
	// until is the time until which factor counts.
	until time.Time
}

// reference is the usual ratio of observed to expected gaps of a model.
type reference struct {
	ratio        float64
	observations int
	updatedAt    time.Time
}

// Paces finds slow engines from the gaps between the tokens of streams. One gap says only that some
// engine of its chain is slow; many chains over the same engines tell which one. The state is one row an
// engine and a model.
type Paces struct {
	own map[model.ServerID]pace
	// ownSlow holds the engines whose factor in own is at least slowFactor. They are few, so most engines are found
	// to be sound by one look into a small map.
	ownSlow    map[model.ServerID]struct{}
	references map[string]reference
	// others holds the factors that the daemons agreed on of the engines that any of them calls slow, valid
	// until othersUntil.
	others      map[model.ServerID]float64
	othersUntil time.Time
	// ownIgnored is set while most engines seem slow, until checkAt.
	ownIgnored bool
	checkAt    time.Time
}

// NewPaces returns a state in which no engine is slow.
func NewPaces() *Paces {
	return &Paces{own: map[model.ServerID]pace{}, ownSlow: map[model.ServerID]struct{}{}, references: map[string]reference{}}
}

const (
	// referenceQuantile is the quantile of the ratios that is the reference. It is low, so that
	// engines that turn slow don't raise it.
	referenceQuantile = 0.25
	// referenceSpeed is the largest change of the reference in a second, as a share of it, before its quantile.
	referenceSpeed = 0.12
	// referenceStart is the number of observations with which a new reference is found.
	referenceStart = 32
)

// observe updates the reference with a ratio and returns it.
func (r reference) observe(now time.Time, ratio float64) reference {
	if r.observations == 0 {
		return reference{ratio: ratio, observations: 1, updatedAt: now}
	}
	// The clock may be set back.
	step := min(max(0, referenceSpeed*now.Sub(r.updatedAt).Seconds()), 0.1)
	if r.observations < referenceStart {
		r.observations++
		step = max(step, 1/float64(r.observations))
	}
	if ratio < r.ratio {
		r.ratio *= math.Exp(-step * (1 - referenceQuantile))
	} else {
		r.ratio *= math.Exp(step * referenceQuantile)
	}
	r.updatedAt = now
	return r
}

// ObserveGap records the gap between two tokens of a stream over a chain.
func (p *Paces) ObserveGap(now time.Time, modelName string, stages []Stage, gap time.Duration) {
	expected := 0.0
	for _, s := range stages {
		expected += float64(s.Expected)
	}
	if expected <= 0 || gap <= 0 {
		return
	}
	ref := p.references[modelName].observe(now, float64(gap)/expected)
	p.references[modelName] = ref
	if ref.observations < referenceStart {
		return
	}
	p.attribute(now, stages, float64(gap)/ref.ratio)
}

// attribute corrects the factors of a chain's engines towards an observed time.
func (p *Paces) attribute(now time.Time, stages []Stage, observed float64) {
	difference, weights := observed, 0.0
	for _, s := range stages {
		factor := p.fresh(now, s.Server)
		difference -= factor * float64(s.Expected)
		weights += weight(factor) * float64(s.Expected) * float64(s.Expected)
	}
	for _, s := range stages {
		factor := p.fresh(now, s.Server)
		factor += correction * difference * weight(factor) * float64(s.Expected) / weights
		p.setOwn(s.Server, pace{factor: min(max(1, factor), maxFactor), until: now.Add(evidenceTTL)})
	}
}

// setOwn sets what this daemon knows of an engine.
func (p *Paces) setOwn(id model.ServerID, own pace) {
	p.own[id] = own
	if own.factor >= slowFactor {
		p.ownSlow[id] = struct{}{}
	} else {
		delete(p.ownSlow, id)
	}
}

func weight(factor float64) float64 { return factor - 1 + priorWeight }

// fresh returns this daemon's factor of an engine. Without evidence of late it is what the daemons agreed on,
// or else 1.
func (p *Paces) fresh(now time.Time, id model.ServerID) float64 {
	if own, known := p.own[id]; known && now.Before(own.until) {
		return own.factor
	}
	if agreed, known := p.others[id]; known && now.Before(p.othersUntil) {
		return agreed
	}
	return 1
}

// ApplyOthers sets the factors that the daemons agreed on.
func (p *Paces) ApplyOthers(until time.Time, agreed []Pace) {
	p.othersUntil = until
	p.others = make(map[model.ServerID]float64, len(agreed))
	for _, a := range agreed {
		if a.Factor >= 1 {
			p.others[a.Server] = min(a.Factor, maxFactor)
		}
	}
}

// Factor returns how many times slower an engine is than it should be; 1 unless it is clearly slow. What
// this daemon saw and what the daemons agreed on must both call it slow, where both are known.
func (p *Paces) Factor(now time.Time, id model.ServerID) float64 {
	agreed, agreedKnown := p.others[id]
	if _, slow := p.ownSlow[id]; !slow && !agreedKnown {
		return 1
	}
	own, ownKnown := p.own[id]
	ownKnown = ownKnown && now.Before(own.until) && !p.mostSeemSlow(now)
	agreedKnown = agreedKnown && now.Before(p.othersUntil)
	factor := 1.0
	switch {
	case ownKnown && agreedKnown:
		factor = min(own.factor, agreed)
	case ownKnown:
		factor = own.factor
	case agreedKnown:
		factor = agreed
	}
	if factor < slowFactor {
		return 1
	}
	return factor
}

// mostSeemSlow reports whether so many engines seem slow that this daemon itself is slow, or all are.
func (p *Paces) mostSeemSlow(now time.Time) bool {
	if now.Before(p.checkAt) {
		return p.ownIgnored
	}
	known, slow := 0, 0
	for id, own := range p.own {
		switch {
		case !now.Before(own.until):
			delete(p.own, id)
			delete(p.ownSlow, id)
			continue
		case own.factor >= slowFactor:
			slow++
		}
		known++
	}
	p.ownIgnored = known >= minCompared && float64(slow) > maxSlowShare*float64(known)
	p.checkAt = now.Add(checkInterval)
	return p.ownIgnored
}

// checkInterval is the time between two checks whether most engines seem slow.
const checkInterval = 50 * time.Millisecond

// Report returns the engines that this daemon saw to be slow, and those that others call slow and that it
// saw to be sound, sorted by engine. The slowest are reported if there are many.
func (p *Paces) Report(now time.Time) []Pace {
	if p.mostSeemSlow(now) {
		return nil
	}
	var report []Pace
	for id, own := range p.own {
		switch {
		case !now.Before(own.until):
		case own.factor >= slowFactor:
			report = append(report, Pace{Server: id, Factor: own.factor})
		case own.factor < soundFactor && p.others[id] > 0:
			report = append(report, Pace{Server: id, Factor: 1})
		}
	}
	slices.SortFunc(report, func(a, b Pace) int {
		return cmp.Or(cmp.Compare(b.Factor, a.Factor), cmp.Compare(a.Server, b.Server))
	})
	report = report[:min(len(report), MaxReported)]
	slices.SortFunc(report, func(a, b Pace) int { return cmp.Compare(a.Server, b.Server) })
	return report
}

// Slow returns the engines that count as slow, sorted.
func (p *Paces) Slow(now time.Time) []Pace {
	ids := make([]model.ServerID, 0, len(p.own)+len(p.others))
	for id := range p.own {
		ids = append(ids, id)
	}
	for id := range p.others {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	var slow []Pace
	for _, id := range slices.Compact(ids) {
		if factor := p.Factor(now, id); factor > 1 {
			slow = append(slow, Pace{Server: id, Factor: factor})
		}
	}
	return slow
}
