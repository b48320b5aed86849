package clock

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestSuspensionsCount suspends the box for 1, 5 and 30 s.
func TestSuspensionsCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ahead := 40 * time.Hour
		defer SetSource(func() time.Duration { return ahead })()
		for _, sleep := range []time.Duration{time.Second, 5 * time.Second, 30 * time.Second} {
			began, deadline := Now(), Now().Add(10*time.Second)
			time.Sleep(time.Second)
			if got := Notice(); got != 0 {
				t.Errorf("got %v noticed without a suspension", got)
			}
			ahead += sleep
			if got := Notice(); got != sleep {
				t.Errorf("got %v noticed, want %v", got, sleep)
			}
			if got := Notice(); got != 0 {
				t.Errorf("got %v noticed again, want each once", got)
			}
			if got, want := Since(began), sleep+time.Second; got != want {
				t.Errorf("got an age of %v, want %v", got, want)
			}
			if got, want := Until(deadline), 9*time.Second-sleep; got != want {
				t.Errorf("got %v left, want %v", got, want)
			}
			if got, want := time.Until(Runtime(deadline)), 9*time.Second-sleep; got != want {
				t.Errorf("got a timer of %v, want %v", got, want)
			}
		}
	})
}

// TestJitterIsNoSuspension has the two clocks differ by what their readings are apart.
func TestJitterIsNoSuspension(t *testing.T) {
	ahead := time.Duration(0)
	defer SetSource(func() time.Duration { return ahead })()
	for i := range 1000 {
		ahead = time.Duration(i%20) * time.Millisecond
		if got := Notice(); got != 0 {
			t.Fatalf("got %v noticed for readings that are %v apart", got, ahead)
		}
	}
}

func TestOwnClocksAgree(t *testing.T) {
	if got := Notice(); got != 0 {
		t.Errorf("got %v noticed in a test that slept for nothing", got)
	}
}
