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
)

// Pauses detects pauses of the process: times in which it was stopped or had no processor, while the
// kernel went on to receive data for it. The methods may be called concurrently.
type Pauses struct {
	mu sync.Mutex
	// checkedAt is the time of the last check; zero before the first.
	checkedAt time.Time
}

// Check returns how long the process has paused since the last call; 0 if it ran.
func (p *Pauses) Check() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := Now()
	last := p.checkedAt
	p.checkedAt = now
	if paused := now.Sub(last); !last.IsZero() && paused >= minPause {
		return paused
	}
	return 0
}
