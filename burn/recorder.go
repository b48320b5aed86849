package burn

import (
	"sync"
	"time"
)

// Windows are the lengths of the windows for which burn rates are computed, shortest first.
var Windows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour}

const (
	// bucketWidth is the time whose requests are counted together.
	bucketWidth = time.Minute
	// bucketCount is the length of the longest of Windows, in buckets.
	bucketCount = 360
)

// Recorder counts requests by workspace and minute for the longest of Windows. The counts are kept
// in memory only and are lost when the process ends. The zero value is ready to use. Its methods
// are safe for concurrent use.
type Recorder struct {
	mu         sync.Mutex
	workspaces map[string]*ring
}

// ring is a ring buffer of the counts of the last bucketCount minutes. The counts of minute m, in
// minutes since the Unix epoch, are at index m modulo bucketCount if minutes has the value m at that
// index. Another value means that the counts there are of another minute.
type ring struct {
	counts  [bucketCount]Counts
	minutes [bucketCount]int64
}

// Record adds counts to the current minute of a workspace.
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
	index := minute % bucketCount
	if current.minutes[index] != minute {
		current.minutes[index] = minute
		current.counts[index] = Counts{}
	}
	current.counts[index].Add(counts)
}

// Report returns, by workspace, the counts in each of Windows, in the same order.
func (r *Recorder) Report() map[string][]Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := minuteOf(time.Now())
	report := make(map[string][]Counts, len(r.workspaces))
	for workspace, buffer := range r.workspaces {
		windows := make([]Counts, len(Windows))
		for i, window := range Windows {
			windows[i] = buffer.sum(now, int64(window/bucketWidth))
		}
		report[workspace] = windows
	}
	return report
}

func (r *ring) sum(now, length int64) Counts {
	var sum Counts
	for index, minute := range r.minutes {
		if minute > now-length && minute <= now {
			sum.Add(r.counts[index])
		}
	}
	return sum
}

func minuteOf(t time.Time) int64 {
	return t.Unix() / int64(bucketWidth/time.Second)
}
