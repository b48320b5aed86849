package balance

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
)

// checkNotNamed checks that a request that names a server gets neither that server nor another.
func checkNotNamed(t *testing.T, b *Balancer, why string, request Request, id string) {
	t.Helper()
	request.Backend = id
	lease, err := b.Acquire(&request)
	if err == nil {
		t.Errorf("%s: got %s, want an error", why, lease.Backend.ID)
		return
	}
	if typed, ok := slipwick.AsError(err); !ok || typed.Outcome != slipwick.OutcomeNotRun || typed.Remedy == "" {
		t.Errorf("%s: got %v, want an error with outcome not-run and a remedy", why, err)
	}
}

func TestNamedServerIsChosen(t *testing.T) {
	b := newBalancerIn(6, "d", "e")
	for range 5 {
		for _, id := range []string{"e0", "e3", "e5"} {
			for _, request := range []*Request{prompt(3), {Pool: "p"}} {
				request.Backend = id
				lease := acquire(t, b, request)
				if lease.Backend.ID != id {
					t.Errorf("got %s, want the named server %s", lease.Backend.ID, id)
				}
				b.Release(lease, slipwick.EvidenceGood)
			}
		}
	}
}

// TestNamedServerObeysTheOtherRules guards against a permit that sends a request to a server that must
// not get it: the coordinator that named it may know less than this router.
func TestNamedServerObeysTheOtherRules(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBalancerIn(8, "d", "e")
		b.SetEvacuated([]string{"e"})
		checkNotNamed(t, b, "evacuated", *plainRequest, "e1")
		announce(t, b, "e0", leavingNotice)
		checkNotNamed(t, b, "leaving", *plainRequest, "e0")
		announce(t, b, "e2", pauseNotice)
		checkNotNamed(t, b, "paused", *plainRequest, "e2")
		checkNotNamed(t, b, "excluded", Request{Pool: "p", Exclude: []string{"e4"}}, "e4")
		checkNotNamed(t, b, "other region", Request{Pool: "p", Regions: []string{"region of e"}}, "e4")
		checkNotNamed(t, b, "unknown", *plainRequest, "none")
		request := Request{
			Pool:    "p",
			Backend: "e6",
		}
		for range 20 {
			if lease, err := b.Acquire(&request); err == nil {
				b.Release(lease, slipwick.EvidenceError)
			}
		}
		checkNotNamed(t, b, "ejected", *plainRequest, "e6")
		request.Backend = "e4"
		b.Release(acquire(t, b, &request), slipwick.EvidenceGood)
	})
}

// TestNamedServerIgnoresEjection guards against a permit of a coordinator with the results of all routers that
// this router gives back because it has ejected the server itself; unless its own path to it is broken.
func TestNamedServerIgnoresEjection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBalancerIn(4, "d", "e")
		request := Request{
			Pool:           "p",
			Backend:        "e1",
			IgnoreEjection: true,
		}
		for _, evidence := range []slipwick.Evidence{slipwick.EvidenceTimeout, slipwick.EvidenceRefused} {
			b.Release(acquire(t, b, &request), evidence)
			checkNotNamed(t, b, "ejected", *plainRequest, "e1")
			lease := acquire(t, b, &request)
			if lease.Backend.ID != "e1" {
				t.Errorf("after %v: got %s, want the named server", evidence, lease.Backend.ID)
			}
			b.Release(lease, slipwick.EvidenceGood)
			time.Sleep(maxEjection)
		}
		b.Release(acquire(t, b, &request), slipwick.EvidenceUnreachable)
		checkNotNamed(t, b, "unreachable from here", request, "e1")
		time.Sleep(maxEjection)
		b.Release(acquire(t, b, &request), slipwick.EvidenceGood)
		request.Backend = "e3"
		announce(t, b, "e3", leavingNotice)
		checkNotNamed(t, b, "leaving", request, "e3")
	})
}

// TestNamedColdServerObeysItsLimit guards against a permit that sends requests to a cold server while
// others can take them, or above its limit.
func TestNamedColdServerObeysItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBalancerIn(2, "d")
		b.SetRouters("r0", []string{"r0"})
		b.SetColdLimits(map[string]ColdLimit{
			"p": {
				MaxPerSecond: 10,
			},
		})
		time.Sleep(RelistWindow + coldWindow)
		list := entriesIn(3, "d")
		list[2].ColdUntil = time.Now().Add(time.Hour)
		b.SetBackends(list)
		checkNotNamed(t, b, "cold beside others", *plainRequest, "e2")
		b.SetBackends(list[2:])
		request := Request{
			Pool:    "p",
			Backend: "e2",
		}
		sent := 0
		for range 50 {
			if lease, err := b.Acquire(&request); err == nil {
				b.Release(lease, slipwick.EvidenceGood)
				sent++
			}
		}
		if sent == 0 || sent > 10 {
			t.Errorf("got %d requests at the cold server in a moment, want some and at most the limit of 10", sent)
		}
	})
}

// TestNamedEngineKeepsTheLoadBound guards against a permit that loads one engine above the bound while
// others are below it.
func TestNamedEngineKeepsTheLoadBound(t *testing.T) {
	b := newBalancerIn(8, "d")
	request := prompt(1)
	request.Backend = "e0"
	loaded := 0
	for range 100 {
		if _, err := b.Acquire(request); err != nil {
			break
		}
		loaded++
	}
	mean := float64(loaded) / 8
	if bound := b.LoadFactor*mean + b.LoadSlack + 1; loaded == 0 || float64(loaded) > bound {
		t.Errorf("got %d requests at the named engine with a mean of %.1f, want at most %.1f", loaded, mean, bound)
	}
}

// TestWithheldServersFollowVersionAndRegion guards against a coordinator that names servers of a new
// version more often than the rollout allows, or servers in a region that the request may not leave to.
func TestWithheldServersFollowVersionAndRegion(t *testing.T) {
	if got := newBalancerIn(6, "d", "e").Withheld(plainRequest); got != nil {
		t.Errorf("got %v withheld without rollout and regions, want none", got)
	}
	b := newCanaryBalancer(0.25)
	newVersion := 0
	for range 1000 {
		got := b.Withheld(plainRequest)
		if len(got) != 6 {
			t.Fatalf("got %d servers withheld, want the 6 of one version", len(got))
		}
		if slices.Contains(got, "e0-v1") {
			newVersion++
		}
	}
	if newVersion < 200 || newVersion > 300 {
		t.Errorf("got %d of 1000 requests for the new version, want a quarter", newVersion)
	}
	got := newBalancerIn(4, "d", "e").Withheld(&Request{Pool: "p", Regions: []string{"region of e"}})
	if !slices.Equal(got, []string{"e0", "e2"}) {
		t.Errorf("got %v withheld, want those of the other region", got)
	}
	checkNotNamed(t, newCanaryBalancer(0), "rolled back version", *plainRequest, "e0-v2")
}

// TestWithheldTakesLittleTime guards against work that grows with the square of the pool under the lock
// of all choices: 930 servers in two regions take 35 times as long as 31, not 900 times.
func TestWithheldTakesLittleTime(t *testing.T) {
	const maxRatio = 150
	took := func(servers int) time.Duration {
		b, best := newBalancerIn(servers, "d", "e"), time.Hour
		request := &Request{
			Pool:    "p",
			Regions: []string{"region of d"},
		}
		for range 300 {
			started := time.Now()
			b.Withheld(request)
			best = min(best, time.Since(started))
		}
		return best
	}
	small, large := took(31), took(930)
	t.Logf("%v for 31 servers, %v for 930", small, large)
	if large > maxRatio*small {
		t.Errorf("got %v for 930 servers and %v for 31, want %d times as long at most", large, small, maxRatio)
	}
}
