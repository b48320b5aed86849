package pace

import (
	"testing"
	"time"
)

// TestSlownessFollowsWhatIsLearntLater has what a request takes alone become
// known after requests were seen.
func TestSlownessFollowsWhatIsLearntLater(t *testing.T) {
	alone := time.Millisecond
	s := &Slowness{
		Undisturbed: func(tokens int) time.Duration { return alone + time.Duration(tokens)*time.Millisecond },
	}
	if got := s.Within(0.5, 10); got != 0 {
		t.Errorf("got %v of nothing, want 0", got)
	}
	for i := range 100 {
		s.Seen(i, 2*(100*time.Millisecond+time.Duration(i)*time.Millisecond))
	}
	alone = 100 * time.Millisecond
	for range 20 {
		s.Seen(0, 200*time.Millisecond)
	}
	if got, want := s.Within(0.99, 50), 300*time.Millisecond; got != want {
		t.Errorf("got %v, want twice what the request takes alone, %v", got, want)
	}
}

func TestSlownessKeepsTheLatest(t *testing.T) {
	s := &Slowness{
		Undisturbed: func(int) time.Duration { return time.Millisecond },
	}
	for _, took := range []time.Duration{time.Second, 20 * time.Millisecond} {
		for range 2 * slownessWindow {
			s.Seen(0, took)
		}
		if got := s.Within(0.5, 0); got != took {
			t.Errorf("got %v, want %v", got, took)
		}
	}
}
