package connlimit

import (
	"context"
	"sync"
	"time"
)

const (
	// Interval is the time between two updates.
	Interval = 50 * time.Millisecond
	// highLag is the mean lateness of updates from which the router counts as overloaded, lowLag the
	// one below which the limit rises again. maxLateness bounds one update's, so that a single long
	// pause of the process is no overload.
	highLag     = 30 * time.Millisecond
	lowLag      = 15 * time.Millisecond
	maxLateness = 200 * time.Millisecond
	lagWeight   = 0.125
	// The usual rate of connections is averaged over usualPeriod; it counts as known after
	// learningTime. Connections are never limited to less than usualFactor times that rate, nor to less
	// than minRate a second: a router without processor time for its usual load does not close its
	// connections, as the others may lack it too.
	usualPeriod  = 20 * time.Second
	learningTime = 5 * time.Second
	usualFactor  = 2
	minRate      = 20
	// offeredWeight is the weight of the last interval in the rate at which connections arrive.
	offeredWeight = 0.2
	// decrease and increase change the limit at each update.
	decrease = 0.85
	increase = 1.05
)

// Limiter decides which new connections to accept. Its methods are safe for concurrent use. Set the
// exported field before use.
type Limiter struct {
	// OnChange is called, unless nil, when connections begin or cease to be limited, with the usual rate
	// per second, that of the moment, and the number refused since the start. It must not call back into
	// the limiter.
	OnChange func(limited bool, usual, offered float64, refused int)

	mu sync.Mutex
	// lag is the mean lateness of updates, usual and offered are rates of connections per second.
	lag            time.Duration
	usual, offered float64
	// limit is the highest rate accepted, 0 without a limit. tokens are connections that may be accepted
	// now.
	limit, tokens float64
	// arrived counts the connections since the last update, refused those since the start.
	arrived, refused int
	// learned is for how long the usual rate has been observed.
	learned time.Duration
}

// Run updates the limiter until ctx ends. A timer that fires late shows that the process gets no
// processor time.
func (l *Limiter) Run(ctx context.Context) {
	timer := time.NewTimer(Interval)
	defer timer.Stop()
	for {
		due := time.Now().Add(Interval)
		timer.Reset(Interval)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		l.Update(Interval, time.Since(due))
	}
}

// Allow reports whether to accept a connection that has arrived.
func (l *Limiter) Allow() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrived++
	if l.limit == 0 {
		return true
	}
	if l.tokens < 1 {
		l.refused++
		return false
	}
	l.tokens--
	return true
}

// IsOverloaded reports whether connections are limited and the router still lacks processor time, so
// that callers should take their next requests elsewhere.
func (l *Limiter) IsOverloaded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit > 0 && l.lag > highLag
}

// Refused returns the number of connections refused since the start.
func (l *Limiter) Refused() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refused
}

// Update adjusts the limit after an interval; lateness is by how much the update came late.
func (l *Limiter) Update(interval, lateness time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lateness = min(max(lateness, 0), maxLateness)
	l.lag += time.Duration(lagWeight * float64(lateness-l.lag))
	elapsed := (interval + lateness).Seconds()
	rate := float64(l.arrived) / elapsed
	l.arrived = 0
	l.offered += offeredWeight * (rate - l.offered)
	if l.limit == 0 && l.lag < lowLag {
		l.usual += min(elapsed/usualPeriod.Seconds(), 1) * (rate - l.usual)
		l.learned += interval
	}
	wasLimited := l.limit > 0
	l.adjust()
	if isLimited := l.limit > 0; isLimited != wasLimited && l.OnChange != nil {
		l.OnChange(isLimited, l.usual, l.offered, l.refused)
	}
	l.tokens = min(l.tokens+l.limit*elapsed, max(l.limit*elapsed, 1))
}

// adjust lowers the limit while the router is overloaded by more connections than usual, and raises it
// afterwards until it limits nothing.
func (l *Limiter) adjust() {
	floor := max(usualFactor*l.usual, minRate)
	switch {
	case l.lag > highLag && l.limit > 0:
		l.limit = max(decrease*l.limit, floor)
	case l.lag > highLag && l.learned >= learningTime && l.offered > floor:
		l.limit = max(decrease*l.offered, floor)
	case l.lag < lowLag && l.limit > 0:
		l.limit *= increase
		if l.limit > usualFactor*max(l.offered, floor) {
			l.limit, l.tokens = 0, 0
		}
	}
}
