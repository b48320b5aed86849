package permit

import (
	"fmt"
	"testing"
	"time"
)

// TestSilenceCountsOnlyWithoutAnyAnswer guards against a router that goes on without a coordinator that
// answers its other requests, because the datagrams of one were lost.
func TestSilenceCountsOnlyWithoutAnyAnswer(t *testing.T) {
	const bound = 20 * time.Millisecond
	start := time.Unix(1_700_000_000, 0)
	s := &coordinatorState{}
	s.recordHeard(start)
	if s.recordSilence(bound, start.Add(bound/2)); s.down {
		t.Error("got a coordinator that counts as down 10ms after an answer, want it in use")
	}
	if s.recordSilence(bound, start.Add(bound)); !s.down {
		t.Error("got a coordinator in use that has been silent for the bounded wait, want it down")
	}
	if s.recordHeard(start.Add(time.Second)); s.down {
		t.Error("got a coordinator that counts as down after an answer, want it in use")
	}
}

// TestPingsBecomeRarer guards against routers that all ping a coordinator which is down twenty times a second
// until it is replaced, and against 330 routers that do it at the same moments.
func TestPingsBecomeRarer(t *testing.T) {
	const routers = 330
	start := time.Unix(1_700_000_000, 0)
	pings := make(map[time.Duration]int)
	for range routers {
		s := &coordinatorState{}
		s.recordSilence(time.Millisecond, start)
		var got []time.Duration
		for last, at := start, start; len(got) < 7; at = at.Add(time.Millisecond) {
			if s.takePing(at) {
				got, last = append(got, at.Sub(last)), at
				pings[at.Sub(start)]++
			}
		}
		for i, milliseconds := range []time.Duration{50, 50, 100, 200, 400, 800, 1000} {
			want := milliseconds * time.Millisecond
			if got[i] < want/2 || got[i] > want*3/2+time.Millisecond {
				t.Errorf("got ping %d after %v, want it after %v to %v", i+1, got[i], want/2, want*3/2)
			}
		}
	}
	for at, count := range pings {
		// The first pings are evenly spread over 50 ms: 6.6 a ms.
		if most := routers / 10; count > most {
			t.Errorf("got %d pings within a ms, %v after the silence, want at most %d", count, at, most)
		}
	}
}

// TestUnusedCoordinatorsAreForgotten guards against a client that keeps the state of each address that was ever a
// coordinator's, in a fleet whose routers are replaced for years. One that is used stays known.
func TestUnusedCoordinatorsAreForgotten(t *testing.T) {
	const replaced, interval = 1_000, 10 * time.Second
	now := time.Unix(1_700_000_000, 0)
	c := NewClient()
	c.coordinatorLocked("10.0.0.1:9", now).recordRoundTrip(time.Second)
	for i := range replaced {
		now = now.Add(interval)
		c.coordinatorLocked(fmt.Sprintf("10.1.0.1:%d", i), now)
		if got := c.coordinatorLocked("10.0.0.1:9", now).usualRoundTrip(); got != time.Second {
			t.Fatalf("got a round trip of %v to a coordinator in use, want it as measured", got)
		}
	}
	if got, most := len(c.coordinators), int(coordinatorRetention/interval)+2; got > most {
		t.Errorf("got the states of %d coordinators, want at most %d", got, most)
	}
}
