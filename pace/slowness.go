package pace

import (
	"slices"
	"time"
)

// Slowness keeps by how much longer the latest requests took than they would
// have undisturbed. What was undisturbed is asked for anew whenever the order
// is: what is learnt of it later holds for earlier requests too. It is not safe
// for concurrent use.
type Slowness struct {
	// Undisturbed is how long a request with so many tokens to read takes alone.
	Undisturbed func(tokens int) time.Duration

	seen   []request
	next   int
	sorted []float64
	added  int
}

// request is one that was seen.
type request struct {
	tokens int
	took   time.Duration
}

// slownessWindow is how many requests are remembered: some seconds of a pool's.
const slownessWindow = 256

// Seen takes a request's time.
func (s *Slowness) Seen(tokens int, took time.Duration) {
	latest := request{
		tokens: tokens,
		took:   took,
	}
	s.added++
	if len(s.seen) < slownessWindow {
		s.seen = append(s.seen, latest)
		return
	}
	s.seen[s.next] = latest
	s.next = (s.next + 1) % slownessWindow
}

// Len counts the requests that are remembered.
func (s *Slowness) Len() int {
	return len(s.seen)
}

// Within is the time that a share of requests with so many tokens to read do not
// exceed; 0 without any request.
func (s *Slowness) Within(share float64, tokens int) time.Duration {
	if len(s.seen) == 0 {
		return 0
	}
	if len(s.sorted) == 0 || s.added*staleShare >= len(s.seen) {
		s.sort()
	}
	last := len(s.sorted) - 1
	times := s.sorted[min(int(share*float64(len(s.sorted))), last)]
	return time.Duration(times * float64(s.Undisturbed(tokens)))
}

func (s *Slowness) sort() {
	s.sorted = s.sorted[:0]
	for _, r := range s.seen {
		s.sorted = append(s.sorted, float64(r.took)/float64(max(s.Undisturbed(r.tokens), 1)))
	}
	slices.Sort(s.sorted)
	s.added = 0
}
