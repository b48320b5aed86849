// Package clock measures ages and deadlines including the time in which the box was suspended,
// which the runtime's clock leaves out.
package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the shortest suspension that is detected: more than the gap between the two
// clock readings of a comparison on a busy box, and less than any age that a decision depends on.
const minSuspension = 50 * time.Millisecond

var (
	// suspended is the total suspension detected so far, in nanoseconds.
	suspended atomic.Int64
	// mu guards source and initialOffset, and writes to suspended. initialOffset is what source
	// returned before the first suspension.
	mu            sync.Mutex
	source        = suspensionOffset
	initialOffset = suspensionOffset()
)

// Now returns the runtime's time plus the suspensions that DetectSuspension has found so far. It
// must not be compared with times of the runtime, and its time of day has no meaning.
func Now() time.Time {
	return time.Now().Add(time.Duration(suspended.Load()))
}

// Since returns the time elapsed since a time returned by Now.
func Since(t time.Time) time.Duration {
	return Now().Sub(t)
}

// Until returns the time left until a time based on Now.
func Until(t time.Time) time.Duration {
	return t.Sub(Now())
}

// ToRuntime converts a time based on Now into the runtime's time, for timers and for deadlines of
// contexts and connections.
func ToRuntime(t time.Time) time.Time {
	return t.Add(-time.Duration(suspended.Load()))
}

// Suspended returns how long the box has been suspended so far, as far as DetectSuspension has
// found.
func Suspended() time.Duration {
	return time.Duration(suspended.Load())
}

// DetectSuspension compares the clocks and returns how long the box was suspended since the last
// call; 0 if it was not. It makes two system calls. Call it regularly: Now advances over a
// suspension only then.
func DetectSuspension() time.Duration {
	mu.Lock()
	defer mu.Unlock()
	suspension := source() - initialOffset - time.Duration(suspended.Load())
	if suspension < minSuspension {
		return 0
	}
	suspended.Add(int64(suspension))
	return suspension
}

// SetSuspensionOffset replaces how DetectSuspension measures the lead of the clock that counts suspensions
// over the runtime's, and returns a function that undoes this. It is for tests.
func SetSuspensionOffset(from func() time.Duration) (restore func()) {
	mu.Lock()
	defer mu.Unlock()
	oldSource, oldOffset, oldSuspended := source, initialOffset, suspended.Load()
	source, initialOffset = from, from()-time.Duration(oldSuspended)
	return func() {
		mu.Lock()
		defer mu.Unlock()
		source, initialOffset = oldSource, oldOffset
		suspended.Store(oldSuspended)
	}
}

// suspensionOffset returns the lead of the clock that counts suspensions over the one that does
// not. It is 0 on systems without such a clock, so that no suspension is ever detected.
func suspensionOffset() time.Duration {
	var bootTime, monotonic unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic)
	if err != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &bootTime) != nil {
		return 0
	}
	return time.Duration(bootTime.Nano() - monotonic.Nano())
}
