// Package clock tells how old something is where the box may have been suspended
// meanwhile: the runtime's clock leaves that time out.
package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// leastSleep is the shortest suspension that is noticed: more than the two readings of
// a comparison are apart on a busy box, and less than any age that decides.
const leastSleep = 50 * time.Millisecond

var (
	// slept is how long the box was suspended so far, as far as it was noticed.
	slept atomic.Int64
	// mu guards the comparison, source and the noticed time before it was set.
	mu     sync.Mutex
	source = ahead
	origin = ahead()
)

// Now is the runtime's time and what the box was suspended for, as far as Notice found
// out. Times of both kinds must not be compared, and its time of day means nothing.
func Now() time.Time {
	return time.Now().Add(time.Duration(slept.Load()))
}

// Since is how long ago a time of Now was.
func Since(t time.Time) time.Duration {
	return Now().Sub(t)
}

// Until is how long it is until a time of Now.
func Until(t time.Time) time.Duration {
	return t.Sub(Now())
}

// Runtime turns a time of Now into the runtime's, for timers and deadlines of contexts
// and connections.
func Runtime(t time.Time) time.Time {
	return t.Add(-time.Duration(slept.Load()))
}

// Slept is for how long the box was suspended so far, as far as Notice found out.
func Slept() time.Duration {
	return time.Duration(slept.Load())
}

// Notice compares the clocks, and gives for how long the box was suspended since it was
// called last; 0 if it was not. It takes two system calls.
func Notice() time.Duration {
	mu.Lock()
	defer mu.Unlock()
	more := source() - origin - time.Duration(slept.Load())
	if more < leastSleep {
		return 0
	}
	slept.Add(int64(more))
	return more
}

// SetSource has Notice take from elsewhere how far the clock that counts suspensions is
// ahead of the runtime's, and gives a function that ends that. It is for tests.
func SetSource(from func() time.Duration) (restore func()) {
	mu.Lock()
	defer mu.Unlock()
	before, began, noticed := source, origin, slept.Load()
	source, origin = from, from()-time.Duration(noticed)
	return func() {
		mu.Lock()
		defer mu.Unlock()
		source, origin = before, began
		slept.Store(noticed)
	}
}

// ahead is how far the clock that counts suspensions is ahead of the one that does not.
// Where there is none, nothing is ever noticed.
func ahead() time.Duration {
	var counting, steady unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady)
	if err != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &counting) != nil {
		return 0
	}
	return time.Duration(counting.Nano() - steady.Nano())
}
