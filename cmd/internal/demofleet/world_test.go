package demofleet

import (
	"context"
	"runtime"
	"testing"
	"time"
)

// TestFailedStartStopsWhatRuns guards against servers and routers that keep running, with their ports, after a
// world that could not be started.
func TestFailedStartStopsWhatRuns(t *testing.T) {
	before := runtime.NumGoroutine()
	for name, wait := range map[string]time.Duration{
		"before the configuration": 0,
		"while routers start":      300 * time.Millisecond,
	} {
		ctx, cancel := context.WithTimeout(t.Context(), wait)
		if _, err := newWorld(ctx, &Scenario{
			Routers: 3,
			Engines: 3,
		}); err == nil {
			t.Fatalf("%s: got no error after the end of the context", name)
		}
		cancel()
		deadline := time.Now().Add(5 * time.Second)
		for runtime.NumGoroutine() > before {
			if time.Now().After(deadline) {
				t.Fatalf("%s: got %d goroutines 5 s after the failure, %d before",
					name, runtime.NumGoroutine(), before)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// TestControlBytesCountFromTheCallersStart guards against a rate of control traffic that contains the bytes of the
// start, but not its time.
func TestControlBytesCountFromTheCallersStart(t *testing.T) {
	w, err := newWorld(t.Context(), &Scenario{
		Routers: 3,
		Engines: 3,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer w.stop()
	start := 0.0
	for _, router := range w.routers {
		start += float64(router.ControlBytes()) / float64(len(w.routers))
	}
	if got := w.result(nil, time.Second).ControlBytes; got > start/10 {
		t.Errorf("got %.0f bytes at once after the start, %.0f in it, want only those after it", got, start)
	}
}
