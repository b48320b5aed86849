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
	for _, c := range []struct {
		name string
		// The router first learns the usual rate, if it is set, with the capacity, both per second.
		usual, capacity float64
		// halt is by how much one update then comes late.
		halt                     time.Duration
		offered, offeredCapacity float64
	}{
		{name: "slow router", usual: 50, capacity: 200, offered: 50, offeredCapacity: 20},
		{name: "burst of all routers", usual: 50, capacity: 60, offered: 95, offeredCapacity: 60},
		{name: "start", offered: 500, offeredCapacity: 100},
		{name: "enough processor time", usual: 20, capacity: 900, offered: 800, offeredCapacity: 900},
		{name: "one long halt", usual: 20, capacity: 900, halt: 3 * time.Second, offered: 500, offeredCapacity: 900},
	} {
		l, total := &Limiter{}, 3*time.Second
		if c.usual > 0 {
			load(l, c.usual, c.capacity, 10*time.Second)
			total = 8 * time.Second
		}
		if c.halt > 0 {
			l.Update(Interval, c.halt)
		}
		if accepted, arrived := load(l, c.offered, c.offeredCapacity, total); accepted != arrived {
			t.Errorf("%s: got %d of %d connections refused, want none", c.name, arrived-accepted, arrived)
		}
	}
}
