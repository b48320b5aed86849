package pace

import (
	"math"
	"slices"
	"time"
)

// SlowdownEstimator estimates the slowdowns of requests, that is, by what factor they take longer
// than they would on an unloaded engine, from the latest ones. It calls UnloadedTime again for all
// kept requests each time it sorts their slowdowns, so that a better estimate applies to earlier
// requests too. It is not safe for concurrent use.
type SlowdownEstimator struct {
	// UnloadedTime returns how long a request with the given number of tokens to prefill takes on an
	// unloaded engine.
	UnloadedTime func(tokens int) time.Duration

	latest []observation
	next   int
	// sorted holds the slowdowns as last sorted; added counts the requests added since.
	sorted []float64
	added  int
	// logMean is the mean of the logarithms of sorted.
	logMean float64
}

// observation is the number of tokens to prefill of one request and the time that it took.
type observation struct {
	tokens int
	took   time.Duration
}

// slowdownWindow is how many requests are kept: some seconds of a pool's traffic.
const slowdownWindow = 256

// Record adds the time that a request with the given number of tokens to prefill took.
func (s *SlowdownEstimator) Record(tokens int, took time.Duration) {
	o := observation{
		tokens: tokens,
		took:   took,
	}
	s.added++
	if len(s.latest) < slowdownWindow {
		s.latest = append(s.latest, o)
		return
	}
	s.latest[s.next] = o
	s.next = (s.next + 1) % slowdownWindow
}

// Len returns the number of requests that are kept.
func (s *SlowdownEstimator) Len() int {
	return len(s.latest)
}

// Quantile returns the time that a share, from 0 to 1, of requests with the given number of tokens to
// prefill are expected not to exceed: their unloaded time, multiplied by that quantile of all kept
// slowdowns, which may lack the latest few. It is 0 without observations.
func (s *SlowdownEstimator) Quantile(share float64, tokens int) time.Duration {
	if len(s.latest) == 0 {
		return 0
	}
	if len(s.sorted) == 0 || s.added*resortDivisor >= len(s.latest) {
		s.sort()
	}
	last := len(s.sorted) - 1
	slowdown := s.sorted[min(int(share*float64(len(s.sorted))), last)]
	return time.Duration(slowdown * float64(s.UnloadedTime(tokens)))
}

// Usual returns the time that a request with the given number of tokens to prefill usually takes:
// its unloaded time, multiplied by the geometric mean of all kept slowdowns, which may lack the latest
// few. It is 0 without observations.
func (s *SlowdownEstimator) Usual(tokens int) time.Duration {
	if len(s.latest) == 0 {
		return 0
	}
	if len(s.sorted) == 0 || s.added*resortDivisor >= len(s.latest) {
		s.sort()
	}
	return time.Duration(math.Exp(s.logMean) * float64(s.UnloadedTime(tokens)))
}

func (s *SlowdownEstimator) sort() {
	s.sorted = s.sorted[:0]
	sum := 0.0
	for _, o := range s.latest {
		slowdown := float64(max(o.took, 1)) / float64(max(s.UnloadedTime(o.tokens), 1))
		s.sorted = append(s.sorted, slowdown)
		sum += math.Log(slowdown)
	}
	slices.Sort(s.sorted)
	s.logMean = sum / float64(max(len(s.latest), 1))
	s.added = 0
}
