package pace

import (
	"testing"
	"time"
)

// TestSlowdownsFollowLaterEstimates guards against slowdowns that keep the unloaded time of the
// moment at which their requests were recorded, when a better estimate of it comes later.
func TestSlowdownsFollowLaterEstimates(t *testing.T) {
	unloaded := time.Millisecond
	s := &SlowdownEstimator{
		UnloadedTime: func(tokens int) time.Duration { return unloaded + time.Duration(tokens)*time.Millisecond },
	}
	if got := s.Quantile(0.5, 10); got != 0 {
		t.Errorf("got %v without observations, want 0", got)
	}
	for i := range 100 {
		s.Record(i, 2*(100*time.Millisecond+time.Duration(i)*time.Millisecond))
	}
	unloaded = 100 * time.Millisecond
	for range 20 {
		s.Record(0, 200*time.Millisecond)
	}
	if got, want := s.Quantile(0.99, 50), 300*time.Millisecond; got != want {
		t.Errorf("got %v, want twice the unloaded time, %v", got, want)
	}
}

func TestSlowdownsKeepTheLatest(t *testing.T) {
	s := &SlowdownEstimator{
		UnloadedTime: func(int) time.Duration { return time.Millisecond },
	}
	for _, took := range []time.Duration{time.Second, 20 * time.Millisecond} {
		for range 2 * slowdownWindow {
			s.Record(0, took)
		}
		if got := s.Quantile(0.5, 0); got != took {
			t.Errorf("got %v, want %v", got, took)
		}
	}
}

// TestUsualTimeIsTheGeometricMean guards against a usual time that a few very late responses determine.
func TestUsualTimeIsTheGeometricMean(t *testing.T) {
	s := &SlowdownEstimator{
		UnloadedTime: func(tokens int) time.Duration { return time.Duration(1+tokens) * time.Millisecond },
	}
	if got := s.Usual(5); got != 0 {
		t.Errorf("got %v without observations, want 0", got)
	}
	for i := range slowdownWindow {
		took := 2 * time.Millisecond
		if i%2 == 0 {
			took = 8 * time.Millisecond
		}
		s.Record(0, took)
	}
	if got, want := s.Usual(9), 40*time.Millisecond; (got - want).Abs() > time.Millisecond {
		t.Errorf("got %v, want four times the unloaded time, %v", got, want)
	}
}
