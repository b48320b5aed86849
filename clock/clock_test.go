package clock

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestSuspensionsCountAsElapsedTime guards against ages and deadlines that leave out the time in
// which the box was suspended, here for 1, 5 and 30 s.
func TestSuspensionsCountAsElapsedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		offset := 40 * time.Hour
		defer SetSuspensionOffset(func() time.Duration { return offset })()
		for _, suspension := range []time.Duration{time.Second, 5 * time.Second, 30 * time.Second} {
			began, deadline := Now(), Now().Add(10*time.Second)
			time.Sleep(time.Second)
			if got := DetectSuspension(); got != 0 {
				t.Errorf("got a suspension of %v, want none", got)
			}
			offset += suspension
			if got := DetectSuspension(); got != suspension {
				t.Errorf("got a suspension of %v, want %v", got, suspension)
			}
			if got := DetectSuspension(); got != 0 {
				t.Errorf("got a suspension of %v again, want each reported once", got)
			}
			if got, want := Since(began), suspension+time.Second; got != want {
				t.Errorf("got an age of %v, want %v", got, want)
			}
			if got, want := Until(deadline), 9*time.Second-suspension; got != want {
				t.Errorf("got %v left, want %v", got, want)
			}
			if got, want := time.Until(ToRuntime(deadline)), 9*time.Second-suspension; got != want {
				t.Errorf("got a timer of %v, want %v", got, want)
			}
		}
	})
}

// TestReadingJitterIsNoSuspension guards against a suspension reported because the two clocks are
// not read at the same instant.
func TestReadingJitterIsNoSuspension(t *testing.T) {
	offset := time.Duration(0)
	defer SetSuspensionOffset(func() time.Duration { return offset })()
	for i := range 1000 {
		offset = time.Duration(i%20) * time.Millisecond
		if got := DetectSuspension(); got != 0 {
			t.Fatalf("got a suspension of %v for readings %v apart, want none", got, offset)
		}
	}
}

func TestNoSuspensionIsDetectedByDefault(t *testing.T) {
	if got := DetectSuspension(); got != 0 {
		t.Errorf("got a suspension of %v on a running box, want none", got)
	}
}
