package burn

import (
	"sync"
	"time"
)

// Windows are the lengths over which burn is worked out, shortest first.
var Windows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour}

const (
	step = time.Minute
	kept = 360
)

// Recorder counts requests by workspace and minute, for the longest window. It
// keeps nothing beyond the process. The zero value is ready.
type Recorder struct {
	mu         sync.Mutex
	workspaces map[string]*ring
}

// ring holds the counts of the last minutes; minute m is at m modulo kept.
type ring struct {
	counts  [kept]Counts
	minutes [kept]int64
}

// Record adds counts to a workspace's current minute.
func (r *Recorder) Record(workspace string, counts Counts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.workspaces == nil {
		r.workspaces = make(map[string]*ring)
	}
	current := r.workspaces[workspace]
	if current == nil {
		current = &ring{}
		r.workspaces[workspace] = current
	}
	minute := minuteOf(time.Now())
	at := minute % kept
	if current.minutes[at] != minute {
		current.minutes[at] = minute
		current.counts[at] = Counts{}
	}
	current.counts[at].Add(counts)
}

// Report gives each workspace's counts in each of Windows.
func (r *Recorder) Report() map[string][]Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := minuteOf(time.Now())
	report := make(map[string][]Counts, len(r.workspaces))
	for workspace, minutes := range r.workspaces {
		windows := make([]Counts, len(Windows))
		for i, window := range Windows {
			windows[i] = minutes.sum(now, int64(window/step))
		}
		report[workspace] = windows
	}
	return report
}

func (r *ring) sum(now, length int64) Counts {
	var sum Counts
	for at, minute := range r.minutes {
		if minute > now-length && minute <= now {
			sum.Add(r.counts[at])
		}
	}
	return sum
}

func minuteOf(t time.Time) int64 {
	return t.Unix() / int64(step/time.Second)
}
