package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
)

// say has a backend server answer a request of the router, with a notice.
func announce(t *testing.T, b *Balancer, id string, notice slipwick.Notice) {
	t.Helper()
	b.RecordNotice(leaseAt(t, b, id), notice)
}

// leaseAt gives a lease that is released already.
func leaseAt(t *testing.T, b *Balancer, id string) *Lease {
	t.Helper()
	s := b.servers[id]
	if s == nil {
		t.Fatalf("no backend server %s is listed", id)
	}
	return newLease(s)
}

// chosen gives which backend servers requests go to, all of which are still in progress.
func countChosen(t *testing.T, b *Balancer, requests int) map[string]int {
	t.Helper()
	counts := make(map[string]int)
	for range requests {
		counts[acquire(t, b, plainRequest).Backend.ID]++
	}
	return counts
}

var (
	leavingNotice = slipwick.Notice{
		Leaving: true,
	}
	pauseNotice = slipwick.Notice{
		Rest: 3 * time.Second,
	}
)

// TestNoticeAppliesToItsIncarnationAlone has servers say that they leave, and ask for rest, and
// then begin anew under their ID, vanish from the list and come back, or both.
func TestNoticeAppliesToItsIncarnationAlone(t *testing.T) {
	startedAt := func(at int64) []Entry {
		list := testEntries(2)
		list[0].Born = at
		return list
	}
	for name, test := range map[string]struct {
		lists [][]Entry
		want  bool
	}{
		"same life":                    {[][]Entry{startedAt(1)}, false},
		"entry without a start":        {[][]Entry{startedAt(0)}, false},
		"lapsed, back":                 {[][]Entry{startedAt(1)[1:], startedAt(1)}, false},
		"began anew":                   {[][]Entry{startedAt(2)}, true},
		"gone, began anew":             {[][]Entry{startedAt(1)[1:], startedAt(2)}, true},
		"began anew, old entry, newer": {[][]Entry{startedAt(2), startedAt(1), startedAt(2)}, true},
		"began anew, old entry":        {[][]Entry{startedAt(2), startedAt(1)}, false},
	} {
		for what, notice := range map[string]slipwick.Notice{"leaving": leavingNotice, "pause": pauseNotice} {
			t.Run(name+", "+what, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := New("dc-0")
					b.SetBackends(startedAt(1))
					announce(t, b, "p-0", notice)
					for _, list := range test.lists {
						time.Sleep(100 * time.Millisecond)
						b.SetBackends(list)
					}
					if got := countChosen(t, b, 20)["p-0"] > 0; got != test.want {
						t.Errorf("got p-0 in use: %t, want %t", got, test.want)
					}
				})
			})
		}
	}
}

// TestLateNoticeOfEarlierIncarnationIsIgnored has answers of a server's earlier life
// arrive, and other routers tell of it, once the next one is listed.
func TestLateNoticeOfEarlierIncarnationIsIgnored(t *testing.T) {
	b := New("dc-0")
	list := testEntries(2)
	list[0].Born = 1
	b.SetBackends(list)
	before := leaseAt(t, b, "p-0")
	hash := before.server.hash
	list = testEntries(2)
	list[0].Born = 2
	b.SetBackends(list)
	b.RecordNotice(before, leavingNotice)
	b.RecordNotice(before, pauseNotice)
	b.ReceiveLeaving([]uint64{hash})
	if got := countChosen(t, b, 20)["p-0"]; got == 0 {
		t.Error("got none of 20 requests at the later life, want some")
	}
}

// TestNoticeInOtherResponsesApplies has engines say so as they list their caches, one of a life
// that is over.
func TestNoticeInOtherResponsesApplies(t *testing.T) {
	b := newTestBalancer(3)
	first, second := leaseAt(t, b, "p-0").Backend, leaseAt(t, b, "p-1").Backend
	second.Born = 7
	b.RecordNoticeFrom(&first, leavingNotice)
	b.RecordNoticeFrom(&second, leavingNotice)
	got := countChosen(t, b, 30)
	if got["p-0"] > 0 || got["p-1"] == 0 {
		t.Errorf("got requests at %v, want none at p-0 and some at p-1", got)
	}
	if leaving, want := b.TakeUpdate().Leaving, 1; len(leaving) != want {
		t.Errorf("got %d leaves to tell the others, want %d", len(leaving), want)
	}
}

// TestNoticeAppliesThoughEntryExpired has the entry lapse while a request is under way
// whose answer says that the server leaves.
func TestNoticeAppliesThoughEntryExpired(t *testing.T) {
	for name, between := range map[string]func(b *Balancer, lease *Lease){
		"before it is back": func(b *Balancer, lease *Lease) {
			b.RecordNotice(lease, leavingNotice)
			b.SetBackends(testEntries(2))
		},
		"after": func(b *Balancer, lease *Lease) {
			b.SetBackends(testEntries(2))
			b.RecordNotice(lease, leavingNotice)
		},
	} {
		b := newTestBalancer(2)
		lease := leaseAt(t, b, "p-0")
		b.SetBackends(testEntries(2)[1:])
		between(b, lease)
		if got := countChosen(t, b, 20)["p-0"]; got > 0 {
			t.Errorf("the answer came %s: got %d of 20 requests there, want none", name, got)
		}
	}
}

// TestPauseEnds has a server ask for rest, for more while it rests, and for less.
func TestPauseEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBalancer(2)
		announce(t, b, "p-0", pauseNotice)
		time.Sleep(time.Second)
		announce(t, b, "p-0", slipwick.Notice{
			Rest: time.Second,
		})
		time.Sleep(1999 * time.Millisecond)
		if got := countChosen(t, b, 20)["p-0"]; got > 0 {
			t.Errorf("got %d of 20 requests within the rest, want none", got)
		}
		time.Sleep(time.Millisecond)
		if got := countChosen(t, b, 20)["p-0"]; got == 0 {
			t.Error("got none of 20 requests after the rest, want some")
		}
	})
}

// TestRetryAfterWhenAllServersPause has all that may serve a request rest: nobody is sent
// there as the last one left, and callers hear when the first has rested.
func TestRetryAfterWhenAllServersPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBalancer(3)
		announce(t, b, "p-0", pauseNotice)
		announce(t, b, "p-1", slipwick.Notice{
			Rest: 2 * time.Second,
		})
		announce(t, b, "p-2", leavingNotice)
		time.Sleep(500 * time.Millisecond)
		_, err := b.Acquire(plainRequest)
		typed, ok := slipwick.AsError(err)
		if !ok {
			t.Fatalf("got error %v, want an *slipwick.Error", err)
		}
		if got, want := typed.RetryAfter, 1500*time.Millisecond; got != want {
			t.Errorf("got %v until callers may come back, want %v", got, want)
		}
		if got, want := typed.Outcome, slipwick.OutcomeNotRun; got != want {
			t.Errorf("got outcome %s, want %s", got, want)
		}
	})
}

// TestDelayedRequestIsNotSentAfterNotice has the word come between the choice and
// the send.
func TestDelayedRequestIsNotSentAfterNotice(t *testing.T) {
	for _, notice := range []slipwick.Notice{leavingNotice, pauseNotice} {
		b := newTestBalancer(1)
		lease := acquire(t, b, plainRequest)
		if !b.StillAccepts(lease) {
			t.Error("got the backend server taking nothing before its word, want it in use")
		}
		announce(t, b, "p-0", notice)
		if b.StillAccepts(lease) {
			t.Errorf("%+v: got the request sent, want another choice", notice)
		}
		if got := b.EnginesWithUnknownCaches("p"); len(got) > 0 {
			t.Errorf("%+v: got its cache asked for, want nothing sent there", notice)
		}
	}
}

// TestRestingServersCountAsEjected has a third of a pool rest: failures leave out none of the
// others, which have to carry all.
func TestRestingServersCountAsEjected(t *testing.T) {
	b := newTestBalancer(6)
	announce(t, b, "p-0", pauseNotice)
	announce(t, b, "p-1", pauseNotice)
	failing := leaseAt(t, b, "p-2")
	for range 20 {
		b.mu.Lock()
		b.recordEvidenceLocked(failing.server, slipwick.EvidenceError, time.Now())
		b.mu.Unlock()
	}
	if got := unavailableCount(b); got > 0 {
		t.Errorf("got %d servers left out beside those that rest, want none", got)
	}
}

// TestLeavingExpiresWhereEntriesAreReused has a server of a list that operators write be
// replaced in place, and one whose entry is its own.
func TestLeavingExpiresWhereEntriesAreReused(t *testing.T) {
	for _, isReused := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			b := New("dc-0")
			b.EntriesReused = isReused
			b.SetBackends(testEntries(2))
			announce(t, b, "p-0", leavingNotice)
			time.Sleep(leavingExpiry / 2)
			announce(t, b, "p-0", leavingNotice)
			time.Sleep(leavingExpiry - time.Millisecond)
			if got := countChosen(t, b, 20)["p-0"]; got > 0 {
				t.Errorf("in place %t: got %d of 20 requests before the word lapsed, want none", isReused, got)
			}
			time.Sleep(time.Hour)
			if got := countChosen(t, b, 20)["p-0"] > 0; got != isReused {
				t.Errorf("in place %t: got it in use after an hour: %t, want %t", isReused, got, isReused)
			}
		})
	}
}

// TestOldNoticesAreDropped has many servers come, say that they leave, and go.
func TestOldNoticesAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBalancer(1)
		for i := range 1000 {
			list := testEntries(2)
			list[1].ID = fmt.Sprint("other-", i)
			b.SetBackends(list)
			announce(t, b, list[1].ID, leavingNotice)
			time.Sleep(time.Second)
		}
		if got, want := len(b.notices), int(noticeRetention/time.Second)+2; got > want {
			t.Errorf("got %d notices kept, want at most %d", got, want)
		}
	})
}

// countLateRequests has one of a pool leave while the list stays, and gives the requests that
// it gets later than a second after its first answer said so.
func countLateRequests(t *testing.T, routers, engines, perSecond int, sharesNotices bool) (late int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(routers, engines, 2)
		random := rand.New(rand.NewPCG(1, uint64(routers)))
		firstNoticeAt, lastUpdate := time.Time{}, time.Now()
		for start := time.Now(); time.Since(start) < 10*time.Second; {
			time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(perSecond)))
			synctest.Wait()
			b := f.routers[random.IntN(len(f.routers))]
			lease := acquire(t, b, prompt(uint64(random.IntN(95))))
			if lease.Backend.ID == "p-0" {
				if firstNoticeAt.IsZero() {
					firstNoticeAt = time.Now()
				}
				if time.Since(firstNoticeAt) > time.Second {
					late++
				}
				b.RecordNotice(lease, leavingNotice)
			}
			time.AfterFunc(time.Duration(300+random.IntN(800))*time.Millisecond, func() {
				b.Release(lease, slipwick.EvidenceGood)
			})
			if time.Since(lastUpdate) > 200*time.Millisecond {
				lastUpdate = time.Now()
				for i, b := range f.routers {
					update := b.TakeUpdate()
					for j, other := range f.routers {
						if j != i && sharesNotices {
							other.ReceiveLeaving(update.Leaving)
						}
					}
				}
			}
		}
		time.Sleep(2 * time.Second)
	})
	return late
}

// TestFleetLearnsOfLeavingFromOneResponse has one server say to whoever sends to it that it
// leavingNotice, in fleets of several sizes: the first router that hears it tells the others.
func TestFleetLearnsOfLeavingFromOneResponse(t *testing.T) {
	for _, size := range []struct{ routers, engines, perSecond int }{
		{8, 18, 260},
		{80, 89, 800},
		{295, 153, 1300},
	} {
		if got := countLateRequests(t, size.routers, size.engines, size.perSecond, true); got > 0 {
			t.Errorf("%+v: got %d requests at it later than a second after its first answer, want none", size, got)
		}
		t.Logf("%+v: %d where routers tell nobody", size,
			countLateRequests(t, size.routers, size.engines, size.perSecond, false))
	}
}
