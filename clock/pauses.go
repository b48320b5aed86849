package clock

import (
	"sync"
	"time"
)

const (
	// PauseCheckInterval is the interval at which Pauses.Check has to be called.
	PauseCheckInterval = 100 * time.Millisecond
	// minPause is the shortest pause that is detected: more than a check is delayed on a busy box.
	minPause = 300 * time.Millisecond
	// backlogTime is for how long after a pause a process may read what arrived during the pause.
	backlogTime = time.Second
)

// Pauses detects pauses of the process: times in which it was stopped or had no processor, while the
// kernel went on to receive data for it. The methods may be called concurrently.
type Pauses struct {
	mu sync.Mutex
	// checkedAt is the time of the last check; zero before the first.
	checkedAt time.Time
	// pausedAt is when the process ran last before the latest pause, resumedAt when it ran again. Pauses so
	// close to each other that the process may still have had a backlog count as one.
	pausedAt, resumedAt time.Time
}

// Check returns how long the process has paused since the last call; 0 if it ran.
func (p *Pauses) Check() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := Now()
	last := p.checkedAt
	p.checkedAt = now
	if !isPause(last, now) {
		return 0
	}
	p.pausedAt, p.resumedAt = p.beginning(last), now
	return now.Sub(last)
}

// EarliestArrival returns the earliest time, by Now, at which data that the process reads at this moment can have
// arrived: the present, or after a pause its beginning.
func (p *Pauses) EarliestArrival() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := Now()
	if isPause(p.checkedAt, now) {
		// The process has just gone on, and the next check is still due.
		return p.beginning(p.checkedAt)
	}
	return p.beginning(now)
}

// isPause reports whether the process can't have run all the time between a check and another time.
func isPause(checked, at time.Time) bool {
	return !checked.IsZero() && at.Sub(checked) >= minPause
}

// beginning returns the beginning of the latest pause if the process may still have had a backlog from it at the given
// time; otherwise that time.
func (p *Pauses) beginning(at time.Time) time.Time {
	if p.hasBacklog(at) {
		return p.pausedAt
	}
	return at
}

// hasBacklog reports whether the process may have read at the given time what arrived during the latest pause.
func (p *Pauses) hasBacklog(at time.Time) bool {
	return !p.resumedAt.IsZero() && at.Sub(p.resumedAt) < backlogTime
}
