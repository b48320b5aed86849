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
	// mu guards readOffset and initialOffset, and writes to suspended. readOffset returns the offset
	// of the clock that counts suspensions from the runtime's, initialOffset is what it returned
	// before the first suspension.
	mu            sync.Mutex
	readOffset    = suspensionOffset
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

// DetectSuspension compares the runtime's clock with one that counts suspensions and returns how long
// the box was suspended since the last call; 0 if it was not. It makes two system calls. Call it
// regularly: Now advances over a suspension only then.
func DetectSuspension() time.Duration {
	mu.Lock()
	defer mu.Unlock()
	suspension := readOffset() - initialOffset - time.Duration(suspended.Load())
	if suspension < minSuspension {
		return 0
	}
	suspended.Add(int64(suspension))
	return suspension
}

// SetSuspensionOffset replaces the function from which DetectSuspension gets the offset of the clock
// that counts suspensions from the runtime's, and returns a function that undoes this. It is for
// tests.
func SetSuspensionOffset(read func() time.Duration) (restore func()) {
	mu.Lock()
	defer mu.Unlock()
	oldRead, oldInitial, oldSuspended := readOffset, initialOffset, suspended.Load()
	readOffset, initialOffset = read, read()-time.Duration(oldSuspended)
	return func() {
		mu.Lock()
		defer mu.Unlock()
		readOffset, initialOffset = oldRead, oldInitial
		suspended.Store(oldSuspended)
	}
}

// suspensionOffset returns the offset of the clock that counts suspensions from the one that does
// not. It is 0 on systems without such a clock, so that no suspension is ever detected.
func suspensionOffset() time.Duration {
	var bootTime, monotonic unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic)
	if err != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &bootTime) != nil {
		return 0
	}
	return time.Duration(bootTime.Nano() - monotonic.Nano())
}
