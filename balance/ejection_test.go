package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/placement"
)

// unavailableCount returns the number of backend servers that are ejected or unresponsive.
func unavailableCount(b *Balancer) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for _, s := range b.servers {
		if b.isUnavailableLocked(s, time.Now()) {
			count++
		}
	}
	return count
}

func TestUnresponsiveBackendGetsNothingNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBalancer(3)
		id := topRanked(7, 3)
		waiting := acquire(t, b, prompt(7))
		b.RecordResponseStart(waiting)
		time.Sleep(minSilence)
		if got := acquire(t, b, prompt(7)).Backend.ID; got != id {
			t.Errorf("after %v: got %s, want still %s", minSilence, got, id)
		}
		time.Sleep(time.Millisecond)
		lease := acquire(t, b, prompt(7))
		if lease.Backend.ID == id || lease.FetchFrom != "" {
			t.Errorf("later: got %s fetching from %q, want another, fetching from none", lease.Backend.ID, lease.FetchFrom)
		}
		b.RecordProgress(waiting)
		if got := acquire(t, b, prompt(7)).Backend.ID; got != id {
			t.Errorf("after a sign of progress: got %s, want %s", got, id)
		}
	})
}

// TestIdleBackendIsNotUnresponsive has a server that sent nothing for a minute because it got no
// requests.
func TestIdleBackendIsNotUnresponsive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBalancer(1)
		b.Release(acquire(t, b, plainRequest), slipwick.EvidenceGood)
		time.Sleep(time.Minute)
		acquire(t, b, plainRequest)
		if got := unavailableCount(b); got != 0 {
			t.Error("got it unavailable right after the first request, want it in use")
		}
	})
}

func TestOutcomesOfOtherRoutersCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBalancer(4)
		failing := OutcomeCounts{
			Server: placement.IDHash("p-2"),
			Good:   2,
			Failed: 2,
		}
		b.ReceiveOutcomes([]OutcomeCounts{failing})
		if got := unavailableCount(b); got != 0 {
			t.Errorf("after two failures of four: got %d ejected, want none", got)
		}
		b.ReceiveOutcomes([]OutcomeCounts{failing, failing})
		for range 20 {
			lease := acquire(t, b, plainRequest)
			if lease.Backend.ID == "p-2" {
				t.Fatal("after six failures of twelve: got p-2, want it ejected")
			}
			b.Release(lease, slipwick.EvidenceNone)
		}
		time.Sleep(errorEjection)
		b.ReceiveOutcomes([]OutcomeCounts{failing, failing})
		time.Sleep(errorEjection)
		if got := unavailableCount(b); got != 1 {
			t.Errorf("after more failures: got %d ejected after %v, want it ejected for longer", got, errorEjection)
		}
	})
}

func TestOutcomesAreSentOnceAndOnlyWithFailures(t *testing.T) {
	b := newTestBalancer(smallPool + 1)
	end := func(evidence slipwick.Evidence) {
		s := b.servers["p-0"]
		s.inFlight++
		b.Release(newLease(s), evidence)
	}
	for range 3 * maxUnsentSuccesses {
		end(slipwick.EvidenceGood)
	}
	if got := b.TakeUpdate().Outcomes; len(got) != 0 {
		t.Errorf("without a failure: got %v, want no outcomes", got)
	}
	end(slipwick.EvidenceError)
	got := b.TakeUpdate().Outcomes
	if len(got) != 1 || got[0].Good != maxUnsentSuccesses || got[0].Failed != 1 {
		t.Errorf("got %v, want %d good and 1 failed", got, maxUnsentSuccesses)
	}
	if got := b.TakeUpdate().Outcomes; len(got) != 0 {
		t.Errorf("in the next update: got %v, want no outcomes", got)
	}
}

// TestSmallPoolsSendSuccesses guards against the failures of a few routers that count as the error rate
// of a server, because the others, which saw none, send nothing.
func TestSmallPoolsSendSuccesses(t *testing.T) {
	b := newTestBalancer(smallPool)
	lease := acquire(t, b, plainRequest)
	b.Release(lease, slipwick.EvidenceGood)
	got := b.TakeUpdate().Outcomes
	if len(got) != 1 || got[0].Server != lease.server.hash || got[0].Good != 1 || got[0].Failed != 0 {
		t.Errorf("got %v, want 1 good of %s", got, lease.Backend.ID)
	}
	if got := b.TakeUpdate().Outcomes; len(got) != 0 {
		t.Errorf("in the next update: got %v, want no outcomes", got)
	}
}

func TestFailingEngineIsStillFetchedFrom(t *testing.T) {
	b := newTestBalancer(4)
	b.MarkCachesKnown()
	first := acquire(t, b, prompt(7))
	b.RecordResponseStart(first)
	b.Release(first, slipwick.EvidenceGood)
	b.ReceiveOutcomes([]OutcomeCounts{
		{
			Server: placement.IDHash(first.Backend.ID),
			Failed: 5,
		},
	})
	lease := acquire(t, b, prompt(7))
	if want := first.Backend.Address; lease.Backend.ID == first.Backend.ID || lease.FetchFrom != want {
		t.Errorf("got %s fetching from %q, want another fetching from %s", lease.Backend.ID, lease.FetchFrom, want)
	}
}

func TestOverdueRequestsCountAsFailures(t *testing.T) {
	b := newTestBalancer(4)
	var lease *Lease
	for lease == nil || lease.Backend.ID != "p-1" {
		lease = acquire(t, b, plainRequest)
	}
	for range 4 {
		b.RecordOverdue(lease)
	}
	if got := unavailableCount(b); got != 1 {
		t.Errorf("got %d ejected, want the one with overdue requests", got)
	}
}

// TestEjectionsAreBounded has all backend servers fail at the same random rate, and checks that
// never more than a third of the pool, rounded up, is ejected.
func TestEjectionsAreBounded(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		size := rapid.IntRange(2, 20).Draw(r, "size")
		failureRate := rapid.Float64Range(0, 0.5).Draw(r, "failure rate")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 1))
		b := newTestBalancer(size)
		for range 500 {
			i := random.IntN(size)
			o := OutcomeCounts{
				Server: placement.IDHash(fmt.Sprintf("p-%d", i)),
				Good:   1,
			}
			if random.Float64() < failureRate {
				o.Good, o.Failed = 0, 1
			}
			b.ReceiveOutcomes([]OutcomeCounts{o})
			if got, limit := unavailableCount(b), (size+ejectableOneIn-1)/ejectableOneIn; got > limit {
				r.Fatalf("got %d of %d ejected, want at most %d", got, size, limit)
			}
		}
	})
}

// TestBadServerIsFoundAmongMany has one of 18 engines fail nearly every second request, and checks
// that it is ejected within 20 requests, and no other.
func TestBadServerIsFoundAmongMany(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	b := newTestBalancer(18)
	found := 0
	b.OnEjected = func(backend slipwick.Backend, _ time.Duration) {
		if backend.ID == "p-3" {
			found++
		} else {
			t.Errorf("got %s ejected, want only p-3", backend.ID)
		}
	}
	for n := 0; found == 0 && n < 20; n++ {
		for i := range 18 {
			o := OutcomeCounts{
				Server: placement.IDHash(fmt.Sprintf("p-%d", i)),
				Good:   1,
			}
			if i == 3 && random.Float64() < 0.45 {
				o.Good, o.Failed = 0, 1
			}
			b.ReceiveOutcomes([]OutcomeCounts{o})
		}
	}
	if found == 0 {
		t.Error("got p-3 not ejected after 20 requests")
	}
}

// TestFailuresByChanceEjectFew has all servers of a pool fail at the same rate, as in an overload
// that makes many responses late. At most one in 500 outcomes may cause an ejection.
func TestFailuresByChanceEjectFew(t *testing.T) {
	const (
		seeds    = 5
		outcomes = 10000
	)
	for _, failureRate := range []float64{0.05, 0.15, 0.3} {
		ejections := 0
		for seed := range uint64(seeds) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestBalancer(7)
				b.OnEjected = func(slipwick.Backend, time.Duration) { ejections++ }
				random := rand.New(rand.NewPCG(seed, 2))
				b.Random = random.Float64
				for range outcomes {
					lease := acquire(t, b, plainRequest)
					evidence := slipwick.EvidenceGood
					if random.Float64() < failureRate {
						evidence = slipwick.EvidenceError
					}
					b.Release(lease, evidence)
					time.Sleep(3 * time.Millisecond)
				}
			})
		}
		if got, limit := ejections, seeds*outcomes/500; got > limit {
			t.Errorf("failure rate %v: got %d ejections in %d outcomes, want at most %d",
				failureRate, got, seeds*outcomes, limit)
		}
	}
}

// TestServerThatFailsMoreIsStillEjected has one of seven servers fail most requests, as in a partial
// (grey) failure, while the others fail some.
func TestServerThatFailsMoreIsStillEjected(t *testing.T) {
	for _, othersRate := range []float64{0.04, 0.14} {
		synctest.Test(t, func(t *testing.T) {
			b := newTestBalancer(7)
			ejections := make(map[string]int)
			b.OnEjected = func(backend slipwick.Backend, _ time.Duration) { ejections[backend.ID]++ }
			random := rand.New(rand.NewPCG(3, 4))
			for range 1400 {
				lease := acquire(t, b, plainRequest)
				failureRate := othersRate
				if lease.Backend.ID == "p-3" {
					failureRate = 0.6
				}
				evidence := slipwick.EvidenceGood
				if random.Float64() < failureRate {
					evidence = slipwick.EvidenceError
				}
				b.Release(lease, evidence)
				time.Sleep(5 * time.Millisecond)
			}
			if ejections["p-3"] < 2 {
				t.Errorf("others fail at %v: got the failing server ejected %d times, want at least 2",
					othersRate, ejections["p-3"])
			}
		})
	}
}

// TestRefusedConnectionsAreSentToAllRouters has three routers find that nothing listens at a backend
// server. A fourth that never tried it must eject it.
func TestRefusedConnectionsAreSentToAllRouters(t *testing.T) {
	for evidence, want := range map[slipwick.Evidence]int{
		slipwick.EvidenceRefused: 0,
		// The network path of one router says nothing about those of the others.
		slipwick.EvidenceUnreachable: 1,
	} {
		other := newTestBalancer(4)
		for range 3 {
			b := newTestBalancer(4)
			var lease *Lease
			for lease == nil || lease.Backend.ID != "p-0" {
				lease = acquire(t, b, &Request{
					Pool: "p",
				})
			}
			b.Release(lease, evidence)
			other.ReceiveOutcomes(b.TakeUpdate().Outcomes)
		}
		counts := make(map[string]int)
		for range 40 {
			counts[acquire(t, other, &Request{
				Pool: "p",
			}).Backend.ID]++
		}
		if got := min(counts["p-0"], 1); got != want {
			t.Errorf("evidence %d: got %v by backend server, want p-0 in use: %v", evidence, counts, want == 1)
		}
	}
}

func TestUnreachableBackendIsEjectedForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBalancer(3)
		id := topRanked(7, 3)
		var ejected []string
		b.OnEjected = func(backend slipwick.Backend, wait time.Duration) {
			ejected = append(ejected, backend.ID+" "+wait.String())
		}
		b.Release(acquire(t, b, prompt(7)), slipwick.EvidenceUnreachable)
		if want := id + " " + minEjection.String(); len(ejected) != 1 || ejected[0] != want {
			t.Errorf("got ejections %v, want %s", ejected, want)
		}
		lease := acquire(t, b, prompt(7))
		if lease.Backend.ID == id {
			t.Errorf("got %s right after it was unreachable", id)
		}
		b.Release(lease, slipwick.EvidenceGood)
		time.Sleep(minEjection)
		if got := acquire(t, b, prompt(7)).Backend.ID; got != id {
			t.Errorf("after %v: got %s, want %s again", minEjection, got, id)
		}
	})
}

func TestFailingBackendIsEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBalancer(2)
		request := &Request{
			Pool: "p",
		}
		for range 20 {
			lease := acquire(t, b, request)
			evidence := slipwick.EvidenceGood
			if lease.Backend.ID == "p-0" {
				evidence = slipwick.EvidenceError
			}
			b.Release(lease, evidence)
		}
		for range 5 {
			if got := acquire(t, b, request).Backend.ID; got != "p-1" {
				t.Errorf("got %s, want p-1", got)
			}
		}
	})
}

// TestShortDeadlinesAreNoFailuresOfTheServer guards against a server that is ejected because its callers have
// little time: a request is asked about when half of its time is over, which may be before the usual
// response.
func TestShortDeadlinesAreNoFailuresOfTheServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const usual = 300 * time.Millisecond
		b := newTestBalancer(1)
		send := func() *Lease {
			lease := acquire(t, b, plainRequest)
			b.RecordSend(lease)
			return lease
		}
		for range minSlowdownSamples {
			lease := send()
			time.Sleep(usual)
			b.RecordResponseStart(lease)
			b.RecordResponseTime(lease)
			b.Release(lease, slipwick.EvidenceGood)
		}
		lease := send()
		time.Sleep(usual / 2)
		if b.RecordOverdue(lease) || b.States()[0].ErrorRate != 0 {
			t.Errorf("got a failure after %v, want none before the usual response after %v", usual/2, usual)
		}
		time.Sleep(usual)
		if !b.RecordOverdue(lease) || b.States()[0].ErrorRate == 0 {
			t.Errorf("got no failure after %v, want one for a response that is late", usual*3/2)
		}
		b.Release(lease, slipwick.EvidenceNone)
	})
}
