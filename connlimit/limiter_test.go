package connlimit

import (
	"testing"
	"time"
)

// load drives a limiter with the connections that arrive each second, for some time. The router has
// processor time for capacity connections a second; beyond that its timers fire late.
func load(l *Limiter, perSecond, capacity float64, total time.Duration) (accepted, arrived int) {
	lateness, due := time.Duration(0), 0.0
	for elapsed := time.Duration(0); elapsed < total; elapsed += Interval {
		acceptedNow := 0
		for due += perSecond * Interval.Seconds(); due >= 1; due-- {
			arrived++
			if l.Allow() {
				acceptedNow++
			}
		}
		accepted += acceptedNow
		// A backlog makes the process late, and is worked off by the capacity that is left.
		busy := time.Duration(float64(acceptedNow) / capacity * float64(time.Second))
		lateness = max(lateness+busy-Interval, 0)
		l.Update(Interval, lateness)
	}
	return accepted, arrived
}

// TestConnectionsBeyondTheCapacityAreRefused guards against a router that reads the requests of all
// connections that a load balancer sends it though it can serve only a part of them in time.
func TestConnectionsBeyondTheCapacityAreRefused(t *testing.T) {
	l := &Limiter{}
	load(l, 20, 100, 10*time.Second)
	load(l, 500, 100, 2*time.Second)
	accepted, arrived := load(l, 500, 100, 8*time.Second)
	if got := float64(accepted) / 8; got > 100 || got < 40 {
		t.Errorf("got %.0f of %d connections a second accepted, want 40 to 100, the capacity", got, arrived/8)
	}
	accepted, arrived = load(l, 20, 100, 10*time.Second)
	if got := arrived - accepted; got > 2 {
		t.Errorf("got %d of %d connections refused after the flood, want none", got, arrived)
	}
}

// TestUsualConnectionsAreNeverRefused guards against a router that closes the connections of its usual
// load, as when all routers are slow or have just started, and callers find none that accepts them.
func TestUsualConnectionsAreNeverRefused(t *testing.T) {
	for name, run := range map[string]func(l *Limiter) (accepted, arrived int){
		"slow router":    func(l *Limiter) (int, int) { load(l, 50, 200, 10*time.Second); return load(l, 50, 20, 8*time.Second) },
		"burst of all":   func(l *Limiter) (int, int) { load(l, 50, 60, 10*time.Second); return load(l, 95, 60, 8*time.Second) },
		"start":          func(l *Limiter) (int, int) { return load(l, 500, 100, 3*time.Second) },
		"flood, no lack": func(l *Limiter) (int, int) { load(l, 20, 900, 10*time.Second); return load(l, 800, 900, 8*time.Second) },
		"single long halt": func(l *Limiter) (int, int) {
			load(l, 20, 900, 10*time.Second)
			l.Update(Interval, 3*time.Second)
			return load(l, 500, 900, time.Second)
		},
	} {
		if accepted, arrived := run(&Limiter{}); accepted != arrived {
			t.Errorf("%s: got %d of %d connections refused, want none", name, arrived-accepted, arrived)
		}
	}
}
