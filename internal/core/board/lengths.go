package board

import (
	"cmp"
	"slices"

	"bulrushpond.example/bulrushpond/internal/core/length"
)

// maxSketches bounds the services of which a daemon's sketches are summed up.
const maxSketches = 64

// lengthSums holds the sums of all daemons' sketches by service, without empty ones. Its size depends on the
// number of services only.
type lengthSums map[string]length.Sketch

// add adds a daemon's sketches if sign is 1, or subtracts them if sign is -1.
func (s lengthSums) add(sketches []length.Sketch, sign int) {
	for _, sketch := range accepted(sketches) {
		sum := s[sketch.Service]
		sum.Service = sketch.Service
		sum.Add(sketch, sign)
		if s[sketch.Service] = sum; sum.Answers == 0 {
			delete(s, sketch.Service)
		}
	}
}

// others returns the sums without a daemon's own sketches, sorted by service.
func (s lengthSums) others(own []length.Sketch) []length.Sketch {
	var rest []length.Sketch
	for service, all := range s {
		sum := length.Sketch{Service: service}
		sum.Add(all, 1)
		for _, sketch := range accepted(own) {
			if sketch.Service == service {
				sum.Add(sketch, -1)
			}
		}
		if sum.Answers > 0 {
			rest = append(rest, sum)
		}
	}
	slices.SortFunc(rest, func(a, b length.Sketch) int { return cmp.Compare(a.Service, b.Service) })
	return rest
}

// accepted returns the sketches of a report that count.
func accepted(sketches []length.Sketch) []length.Sketch {
	var valid []length.Sketch
	for _, sketch := range sketches[:min(len(sketches), maxSketches)] {
		if sketch.Answers > 0 && sketch.Valid() {
			valid = append(valid, sketch)
		}
	}
	return valid
}
