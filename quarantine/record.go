package quarantine

import (
	"slices"
	"time"
)

const (
	// quarantineThreshold is the number of server incarnations that have to crash under a request
	// before it is quarantined. Unrelated requests that ran at the same servers share one crash by
	// chance, and two if they are retried together with the request at fault.
	quarantineThreshold = 3
	// initialBackoff is the time after the last crash until a quarantined request may be tried
	// again, once in the whole fleet. It doubles with each further crash, up to maxBackoff: a crash
	// costs everything that runs at the server, but a request that was quarantined by mistake, or
	// that is harmless since the servers were fixed, has to be served eventually.
	initialBackoff = 10 * time.Minute
	maxBackoff     = 24 * time.Hour
	// maxCrashesPerRequest bounds the crashes kept of one request; more of them add no information.
	maxCrashesPerRequest = 16
	// maxEvictedPerRequest bounds the crashes that are remembered as evicted, of 16 bytes each.
	maxEvictedPerRequest = 1024
	// recentCompletionPeriod is the time after a completion during which crashes are not counted
	// against a request. A popular request runs at several servers when these fail together, as in a
	// rack failure, and may not have completed anywhere in between. A request that crashes servers
	// never completes.
	recentCompletionPeriod = 10 * time.Second
)

// initialPartBackoff is the time after the last crash until a request with a quarantined prompt part
// may be tried. It is shorter than initialBackoff, since a part that is quarantined by mistake may
// concern many callers. It grows to the time over which the part has crashed servers, so that the
// trials of one that goes on doing so become rarer.
const initialPartBackoff = 30 * time.Second

// record holds what is known of one request or prompt part. Callers have to synchronise access.
type record struct {
	crashes []Crash
	// evicted are the incarnations whose crashes found no room, the latest last. Other routers report these
	// again, and would be told of them in turn if they counted as new.
	evicted []incarnation
	// lastCrash is when this router learned of the latest crash, changedAt is when the record
	// changed last.
	lastCrash, changedAt time.Time
	// lastTrial is when this router last tried the request while it was quarantined.
	lastTrial   time.Time
	quarantined bool
}

// add adds a crash and reports whether it changed the record.
func (r *record) add(crash Crash, now time.Time) bool {
	if crash.Key.IsPart() && crash.SeenAt.IsZero() {
		crash.SeenAt = now
	}
	for i := range r.crashes {
		known := &r.crashes[i]
		if !known.isSameIncarnation(&crash) {
			continue
		}
		isNewlyExcused := crash.Excused && !known.Excused
		known.Excused = known.Excused || crash.Excused
		if crash.SeenAt.Before(known.SeenAt) {
			known.SeenAt = crash.SeenAt
		}
		if isNewlyExcused {
			r.changedAt = now
		}
		return isNewlyExcused
	}
	if slices.ContainsFunc(r.evicted, crash.isOf) || len(r.crashes) >= maxCrashesPerRequest && !r.evictBelow(&crash) {
		return false
	}
	r.crashes = append(r.crashes, crash)
	r.changedAt = now
	if !crash.Excused {
		r.lastCrash = now
	}
	return true
}

// evictBelow removes the lowest crash to make room for another; it returns false if the other one is
// lower than all. The order of crashes doesn't depend on when they were received, so that routers keep
// the same ones.
func (r *record) evictBelow(crash *Crash) bool {
	lowest := 0
	for i := range r.crashes {
		if r.crashes[i].compare(&r.crashes[lowest]) < 0 {
			lowest = i
		}
	}
	if crash.compare(&r.crashes[lowest]) <= 0 {
		return false
	}
	if len(r.evicted) == maxEvictedPerRequest {
		r.evicted = slices.Delete(r.evicted, 0, 1)
	}
	r.evicted = append(r.evicted, r.crashes[lowest].incarnation())
	r.crashes = slices.Delete(r.crashes, lowest, lowest+1)
	return true
}

// countCrashes counts the crashes that are not excused.
func (r *record) countCrashes() int {
	crashes := 0
	for i := range r.crashes {
		if !r.crashes[i].Excused {
			crashes++
		}
	}
	return crashes
}

// openCrashes returns the crashes that are not excused.
func (r *record) openCrashes() []Crash {
	var open []Crash
	for _, crash := range r.crashes {
		if !crash.Excused {
			open = append(open, crash)
		}
	}
	return open
}

// backoff returns the time after the last crash until the request, or one with the part, may be tried
// again.
func (r *record) backoff(isPart bool) time.Duration {
	if isPart {
		backoff := initialPartBackoff
		for i := range r.crashes {
			backoff = max(backoff, r.lastCrash.Sub(r.crashes[i].SeenAt))
		}
		return min(backoff, maxBackoff)
	}
	backoff := initialBackoff
	for range r.countCrashes() - quarantineThreshold {
		backoff = min(2*backoff, maxBackoff)
	}
	return backoff
}

// untilNextTrial returns how long a quarantined request or part has to wait for its next trial; it may
// be tried if the result is 0 or less.
func (r *record) untilNextTrial(now time.Time, isPart bool) time.Duration {
	from := r.lastCrash
	if r.lastTrial.After(from) {
		from = r.lastTrial
	}
	return from.Add(r.backoff(isPart)).Sub(now)
}
