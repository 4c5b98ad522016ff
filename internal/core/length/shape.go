package length

import "math"

const (
	// shapeClasses is the number of classes of the ratio of a length to the usual estimate. Their lower
	// bounds go from 1/8 to 8, a factor of the square root of two each; the first has none.
	shapeClasses = 14
	// estimateClass is the class of the answers that are as long as usually estimated.
	estimateClass = 7
)

// shape is the distribution of the ratios of lengths to the usual estimate, with halved weights after
// maxAnswers answers. It starts as if priorAnswers answers had been as long as estimated.
type shape struct {
	counts [shapeClasses]float64
	total  float64
}

func newShape() shape {
	s := shape{total: priorAnswers}
	s.counts[estimateClass] = priorAnswers
	return s
}

// lowerBound returns the lower bound of a class from 1 on.
func lowerBound(class int) float64 { return math.Exp2(float64(class-estimateClass) / 2) }

func (s *shape) add(ratio float64) {
	class := 0
	for class < shapeClasses-1 && ratio >= lowerBound(class+1) {
		class++
	}
	s.counts[class]++
	if s.total++; s.total >= maxAnswers {
		for i := range s.counts {
			s.counts[i] /= 2
		}
		s.total /= 2
	}
}

// peak returns the maximum over time of the tokens that a request with a prompt is expected to hold, given
// what it has written and the usual estimate: the size that it has at a time, times the probability that it
// lasts until then.
func (s *shape) peak(prompt, written, estimate float64) float64 {
	peak := prompt + written
	now := s.surviving(written / estimate)
	if now <= 0 {
		return peak
	}
	for class := shapeClasses - 1; class >= 1; class-- {
		at := lowerBound(class) * estimate
		if at <= written {
			break
		}
		peak = max(peak, s.surviving(lowerBound(class))/now*(prompt+at))
	}
	return peak
}

// surviving returns the weight of the answers with at least a ratio, interpolated within its class.
func (s *shape) surviving(ratio float64) float64 {
	weight := 0.0
	for class := shapeClasses - 1; class >= 0; class-- {
		low := 0.0
		if class > 0 {
			low = lowerBound(class)
		}
		if ratio <= low {
			weight += s.counts[class]
			continue
		}
		if class < shapeClasses-1 {
			high := lowerBound(class + 1)
			weight += s.counts[class] * max(0, high-ratio) / (high - low)
		} else {
			weight += s.counts[class] * low / ratio
		}
		break
	}
	return weight
}
