package pace

import "time"

// Reading learns how long the engines of a pool take to the first token of an
// answer: a base, and the time in which they read what is not cached of the
// prompt. Requests that wait behind others take longer than both, so that low
// quantiles of what is seen are taken. It is not safe for concurrent use.
type Reading struct {
	// tokens are the sizes of what was read, short the times of requests with
	// little to read, long the milliseconds a token of those with much.
	tokens, short, long *Window
}

const (
	// readingWindow and longWindow are how many requests are remembered: some
	// seconds of a pool's. Few have much to read.
	readingWindow = 128
	longWindow    = 48
	// readingLeast and longLeast are how many have to be seen before the start
	// values are left.
	readingLeast = 24
	longLeast    = 8
	// shortShare of the sizes seen is little to read, longFactor times that and
	// longTokens at least is much: the base matters little beside it.
	shortShare = 0.5
	longFactor = 8
	longTokens = 500
	// undisturbed is the quantile of what an engine takes that has nothing else
	// to read.
	undisturbed = 0.25
)

// Start values, floors and ceilings of what is learnt. The start is a large
// model on current hardware; the bounds are ten times slower than the slowest
// and some times faster than the fastest engine that is known.
const (
	StartPace = 100.0
	leastPace = 2.0
	mostPace  = 2000.0

	StartBase = 55 * time.Millisecond
	leastBase = time.Millisecond
	mostBase  = 2 * time.Second
)

// NewReading makes one with the start values.
func NewReading() *Reading {
	return &Reading{
		tokens: NewWindow(readingWindow),
		short:  NewWindow(readingWindow),
		long:   NewWindow(longWindow),
	}
}

// Seen takes the time to the first token of a request that had so many tokens
// to read.
func (r *Reading) Seen(tokens int, took time.Duration) {
	if took <= 0 || tokens < 0 {
		return
	}
	r.tokens.Add(float64(tokens))
	usual := r.tokens.Quantile(shortShare)
	switch {
	case float64(tokens) <= usual:
		r.short.Add(milliseconds(took))
	case float64(tokens) >= max(longFactor*usual, longTokens):
		r.long.Add(max(milliseconds(took)-milliseconds(r.Base()), 0) / float64(tokens))
	}
}

// Base is the time to the first token of a request with nothing to read.
func (r *Reading) Base() time.Duration {
	if r.short.Len() < readingLeast {
		return StartBase
	}
	base := time.Duration(r.short.Quantile(undisturbed) * float64(time.Millisecond))
	return min(max(base, leastBase), mostBase)
}

// Pace is how many tokens an engine reads in a millisecond.
func (r *Reading) Pace() float64 {
	if r.long.Len() < longLeast {
		return StartPace
	}
	each := r.long.Quantile(undisturbed)
	if each <= 0 {
		return mostPace
	}
	return min(max(1/each, leastPace), mostPace)
}

// Time is how long an engine takes to the first token with so many tokens to
// read, undisturbed.
func (r *Reading) Time(tokens int) time.Duration {
	return r.Base() + time.Duration(float64(tokens)/r.Pace()*float64(time.Millisecond))
}

// Tokens is what an engine reads within the time.
func (r *Reading) Tokens(within time.Duration) int {
	return int(r.Pace() * milliseconds(within))
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
