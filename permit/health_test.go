package permit

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
)

// permitFor returns a permit for a request that waits for 25 ms at most; ok is false if it is refused.
func (r *testRouter) permitFor(t *testing.T, repeatable bool) (permit slipwick.Permit, ok bool) {
	t.Helper()
	request := newRequest(usualWork, time.Second)
	request.Objective = request.Arrived.Add(25 * time.Millisecond)
	request.Deadline = request.Arrived.Add(60 * time.Millisecond)
	request.Repeatable = repeatable
	r.client().RecordShed(testPool)
	permit, err := r.client().Acquire(t.Context(), request)
	if err == nil && permit.ID == 0 {
		t.Fatal("got no permit from the coordinator and no refusal")
	}
	return permit, err == nil
}

// permitsAt acquires all permits that there are for such requests and returns those for the server. It
// releases the others as good.
func (r *testRouter) permitsAt(t *testing.T, server string, repeatable bool) (at []slipwick.Permit) {
	t.Helper()
	var others []slipwick.Permit
	for {
		permit, ok := r.permitFor(t, repeatable)
		if !ok {
			break
		}
		if permit.Backend == server {
			at = append(at, permit)
		} else {
			others = append(others, permit)
		}
	}
	r.releaseAll(others, slipwick.EvidenceGood)
	return at
}

func (r *testRouter) releaseAll(permits []slipwick.Permit, evidence slipwick.Evidence) {
	for _, permit := range permits {
		r.client().Release(permit, evidence)
	}
	time.Sleep(20 * time.Millisecond)
}

// failAt releases permits for the server as failed until it is suspected.
func (r *testRouter) failAt(t *testing.T, server string) {
	t.Helper()
	r.releaseAll(r.permitsAt(t, server, true), slipwick.EvidenceError)
	r.releaseAll(r.permitsAt(t, server, true), slipwick.EvidenceError)
	time.Sleep(probeInterval)
}

// TestFailingServerGetsProbes guards against requests that must not be repeated, or more than one request at a
// time, at a server that fails; and against a server that serves again and gets no work: of two servers of 6
// slots, one fails and then responds.
func TestFailingServerGetsProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, _, other := newStartedFleet(t, 31, 2)
		other.acquire(t, 1, usualWork)
		time.Sleep(initialHeld)
		other.failAt(t, "plain-1")
		if got := other.permitsAt(t, "plain-1", false); len(got) > 0 {
			t.Errorf("got %d permits for a failing server and requests that must not be repeated, want none", len(got))
		}
		for range 3 {
			probes := other.permitsAt(t, "plain-1", true)
			if len(probes) != 1 || !probes[0].Probe || !probes[0].IgnoreEjection {
				t.Fatalf("got the permits %+v for a failing server, want one probe", probes)
			}
			other.releaseAll(probes, slipwick.EvidenceTimeout)
			if got := other.permitsAt(t, "plain-1", true); len(got) > 0 {
				t.Errorf("got a probe less than %v after a failed one, want none", probeInterval)
			}
			time.Sleep(probeInterval)
		}
		for want := 1; want <= 4; want++ {
			if want <= provenResponses {
				if got := other.permitsAt(t, "plain-1", false); len(got) > 0 {
					t.Errorf("got %d permits for requests that must not be repeated after %d good responses, want none",
						len(got), want-1)
				}
			}
			allowed := other.permitsAt(t, "plain-1", true)
			if len(allowed) != max(want-1, 1) {
				t.Errorf("got %d permits after %d good responses, want as many as these and at least a probe", len(allowed),
					want-1)
			}
			other.releaseAll(allowed[:1], slipwick.EvidenceGood)
			other.releaseAll(allowed[1:], slipwick.EvidenceNone)
		}
		if got := other.permitsAt(t, "plain-1", false); len(got) != 4 {
			t.Errorf("got %d permits for requests that must not be repeated after 4 good responses, want 4", len(got))
		} else {
			other.releaseAll(got, slipwick.EvidenceGood)
		}
		if got := other.permitsAt(t, "plain-1", false); len(got) < 6 || got[0].Probe {
			t.Errorf("got the permits %+v after 8 good responses, want those of all slots", got)
		}
	})
}

// TestFailuresAtAllServers guards against a server that is suspected because requests fail wherever they are
// sent, and against a pool whose last server gets single requests.
func TestFailuresAtAllServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _, other := newStartedFleet(t, 31, 2)
		for i := range 60 {
			for _, permit := range other.acquire(t, 6, usualWork) {
				evidence := slipwick.EvidenceGood
				if i%2 == 0 {
					evidence = slipwick.EvidenceError
				}
				other.client().Release(permit, evidence)
			}
			time.Sleep(20 * time.Millisecond)
		}
		for _, server := range []string{"plain-0", "plain-1"} {
			got := other.permitsAt(t, server, false)
			if len(got) < 6 {
				t.Errorf("got %d permits for %s, want those of 6 slots, as both fail alike", len(got), server)
			}
			other.releaseAll(got, slipwick.EvidenceGood)
		}
		f.setGone("plain-0", true)
		time.Sleep(2 * capacityInterval)
		for range 5 {
			other.releaseAll(other.permitsAt(t, "plain-1", false), slipwick.EvidenceError)
		}
		if got := other.permitsAt(t, "plain-1", false); len(got) < 6 {
			t.Errorf("got %d permits for the only server, which fails, want those of 6 slots", len(got))
		}
	})
}

// TestSuspicionEnds guards against a server that gets no work for good after failures, in a pool whose requests
// must not be repeated.
func TestSuspicionEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, _, other := newStartedFleet(t, 31, 2)
		other.acquire(t, 1, usualWork)
		time.Sleep(initialHeld)
		other.failAt(t, "plain-1")
		for range 3 {
			time.Sleep(time.Second)
			if got := other.permitsAt(t, "plain-1", false); len(got) > 0 {
				t.Errorf("got %d permits for a failing server, want none before %v", len(got), maxSuspicion)
			}
		}
		time.Sleep(maxSuspicion - 3*time.Second)
		if got := other.permitsAt(t, "plain-1", false); len(got) < 6 {
			t.Errorf("got %d permits %v after the last failure, want those of 6 slots", len(got), maxSuspicion)
		}
	})
}

// TestOwnEjectionsCountWithoutResults guards against a server that the coordinator's router has ejected and that
// gets no work although it responds to others, and against a new coordinator that sends requests to an ejected
// server, since it has no results yet.
func TestOwnEjectionsCountWithoutResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, c, other := newStartedFleet(t, 31, 2)
		f.mu.Lock()
		f.ejected["plain-1"] = true
		f.mu.Unlock()
		other.acquire(t, 1, usualWork)
		time.Sleep(initialHeld)
		check := func(when string) {
			t.Helper()
			if got := other.permitsAt(t, "plain-1", false); len(got) > 0 {
				t.Errorf("%s: got %d permits for an ejected server, want none", when, len(got))
			}
		}
		check("without results")
		for range 6 {
			other.releaseAll(other.permitsAt(t, "plain-1", true), slipwick.EvidenceGood)
		}
		got := other.permitsAt(t, "plain-1", false)
		if len(got) < 6 || !got[0].IgnoreEjection {
			t.Errorf("got the permits %+v for a server that responds, want those of 6 slots in spite of its ejection", got)
		}
		other.releaseAll(got, slipwick.EvidenceNone)
		f.network.setCut(c, true)
		f.setLive(func(r *testRouter) bool { return r != c })
		time.Sleep(2 * fleetInterval)
		check("at the next coordinator")
	})
}
