package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
)

// announce has a router receive a response of a backend server with a notice.
func announce(t *testing.T, b *Balancer, id string, notice slipwick.Notice) {
	t.Helper()
	b.RecordNotice(leaseAt(t, b, id), notice)
}

// leaseAt returns a lease at a backend server without counting it among those in flight there.
func leaseAt(t *testing.T, b *Balancer, id string) *Lease {
	t.Helper()
	s := b.servers[id]
	if s == nil {
		t.Fatalf("no backend server %s is listed", id)
	}
	return newLease(s)
}

// countChosen sends requests that do not end, and returns how many went to each backend server.
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
		Pause: 3 * time.Second,
	}
)

// TestNoticeAppliesToItsIncarnationAlone has a server announce that it is leaving, or ask for a
// pause, and then restart under its ID, expire and reappear in the list, or both.
func TestNoticeAppliesToItsIncarnationAlone(t *testing.T) {
	startedAt := func(at int64) []Entry {
		list := testEntries(2)
		list[0].StartTime = at
		return list
	}
	for name, test := range map[string]struct {
		lists [][]Entry
		want  bool
	}{
		"same incarnation":                  {[][]Entry{startedAt(1)}, false},
		"entry without a start time":        {[][]Entry{startedAt(0)}, false},
		"expired, reappeared":               {[][]Entry{startedAt(1)[1:], startedAt(1)}, false},
		"restarted":                         {[][]Entry{startedAt(2)}, true},
		"expired, restarted":                {[][]Entry{startedAt(1)[1:], startedAt(2)}, true},
		"restarted, old entry, newer entry": {[][]Entry{startedAt(2), startedAt(1), startedAt(2)}, true},
		"restarted, old entry":              {[][]Entry{startedAt(2), startedAt(1)}, false},
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

// TestLateNoticeOfEarlierIncarnationIsIgnored has responses of an earlier incarnation, and updates
// of other routers about it, arrive after the next one was listed.
func TestLateNoticeOfEarlierIncarnationIsIgnored(t *testing.T) {
	b := New("dc-0")
	list := testEntries(2)
	list[0].StartTime = 1
	b.SetBackends(list)
	before := leaseAt(t, b, "p-0")
	hash := before.server.hash
	list = testEntries(2)
	list[0].StartTime = 2
	b.SetBackends(list)
	b.RecordNotice(before, leavingNotice)
	b.RecordNotice(before, pauseNotice)
	b.ReceiveLeaving([]uint64{hash})
	if got := countChosen(t, b, 20)["p-0"]; got == 0 {
		t.Error("got none of 20 requests at the later incarnation, want some")
	}
}

// TestPauseAskedForBeforeTheEntryIsKnown has a server end, so that it refuses a connection, and start again under its
// ID and address. The new process asks for a pause before or after its entry is known.
//
// It guards against requests in that pause: it was taken for one that the earlier incarnation had asked for.
func TestPauseAskedForBeforeTheEntryIsKnown(t *testing.T) {
	for name, isEntryFirst := range map[string]bool{"pause first": false, "entry first": true} {
		for what, refused := range map[string]bool{"ended": true, "not known to have ended": false} {
			t.Run(name+", "+what, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					testPauseBeforeEntry(t, isEntryFirst, refused)
				})
			})
		}
	}
}

func testPauseBeforeEntry(t *testing.T, isEntryFirst, refused bool) {
	b, list := New("dc-0"), testEntries(2)
	list[0].StartTime = 1
	b.SetBackends(list)
	if refused {
		b.Release(leaseAt(t, b, "p-0"), slipwick.EvidenceRefused)
		time.Sleep(2 * minEjection)
	}
	lease := leaseAt(t, b, "p-0")
	list = testEntries(2)
	list[0].StartTime = 2
	if isEntryFirst {
		b.SetBackends(list)
	}
	b.RecordNotice(lease, pauseNotice)
	b.SetBackends(list)
	if got := countChosen(t, b, 20)["p-0"] > 0; got == refused {
		t.Errorf("got p-0 in use: %t, want %t", got, !refused)
	}
	time.Sleep(pauseNotice.Pause)
	if got := countChosen(t, b, 20)["p-0"]; got == 0 {
		t.Error("got none of 20 requests at p-0 after the pause, want some")
	}
}

// TestNoticeOfLaterIncarnationThanListedIsKept has the list name an earlier incarnation, as after a restore of the
// store from a backup, while the running one announces that it is leaving or asks for a pause. Its own entry follows,
// before or after the response.
//
// It guards against requests to that server: the notice was taken for one of the earlier incarnation.
func TestNoticeOfLaterIncarnationThanListedIsKept(t *testing.T) {
	for what, notice := range map[string]slipwick.Notice{"leaving": leavingNotice, "pause": pauseNotice} {
		for when, isEntryFirst := range map[string]bool{"response first": false, "entry first": true} {
			for start, isRestarted := range map[string]bool{"started before": false, "restarted after": true} {
				t.Run(what+", "+when+", "+start, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						testLaterIncarnation(t, notice, isEntryFirst, isRestarted)
					})
				})
			}
		}
	}
}

func testLaterIncarnation(t *testing.T, notice slipwick.Notice, isEntryFirst, isRestarted bool) {
	b, list := New("dc-0"), testEntries(2)
	list[0].StartTime = time.Now().Add(-time.Minute).UnixMilli()
	b.SetBackends(list)
	reported := 0
	b.OnNotice = func(backend slipwick.Backend, _ slipwick.Notice) {
		if backend.StartTime == list[0].StartTime {
			reported++
		}
	}
	lease := leaseAt(t, b, "p-0")
	b.RecordSend(lease)
	list = testEntries(2)
	list[0].StartTime = time.Now().Add(-time.Second).UnixMilli()
	if isRestarted {
		list[0].StartTime = time.Now().Add(time.Second).UnixMilli()
		time.Sleep(time.Second)
	}
	if isEntryFirst {
		b.SetBackends(list)
	}
	b.RecordNotice(lease, notice)
	b.SetBackends(list)
	if got := countChosen(t, b, 20)["p-0"] > 0; got != isRestarted {
		t.Errorf("got p-0 in use: %t, want %t", got, isRestarted)
	}
	if got := reported == 1; got == isRestarted {
		t.Errorf("got %d reports of a notice of the running incarnation, want one only if it is its own", reported)
	}
	time.Sleep(max(pauseNotice.Pause, leavingExpiry))
	if got := countChosen(t, b, 20)["p-0"]; got == 0 {
		t.Error("got none of 20 requests at p-0 after the notice, want some")
	}
}

// TestOwnAnnouncementOutlastsAnInheritedOne has a server announce that it is leaving while the list names an earlier
// incarnation, and once more when its own entry is listed.
//
// It guards against requests to a server that is leaving: its own announcement expired like the inherited one.
func TestOwnAnnouncementOutlastsAnInheritedOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, list := New("dc-0"), testEntries(2)
		list[0].StartTime = time.Now().Add(-time.Minute).UnixMilli()
		b.SetBackends(list)
		earlier := leaseAt(t, b, "p-0")
		b.RecordSend(earlier)
		b.RecordNotice(earlier, leavingNotice)
		list = testEntries(2)
		list[0].StartTime = time.Now().Add(-time.Second).UnixMilli()
		b.SetBackends(list)
		b.RecordNotice(leaseAt(t, b, "p-0"), leavingNotice)
		time.Sleep(2 * leavingExpiry)
		if got := countChosen(t, b, 20)["p-0"]; got != 0 {
			t.Errorf("got %d of 20 requests at the server that is leaving, want none", got)
		}
	})
}

// TestNoticeInOtherResponsesApplies has engines announce that they are leaving in responses that
// list their caches. One of the responses is from an incarnation that is not listed.
func TestNoticeInOtherResponsesApplies(t *testing.T) {
	b := newTestBalancer(3)
	first, second := leaseAt(t, b, "p-0").Backend, leaseAt(t, b, "p-1").Backend
	second.StartTime = 7
	b.RecordNoticeFrom(&first, leavingNotice)
	b.RecordNoticeFrom(&second, leavingNotice)
	got := countChosen(t, b, 30)
	if got["p-0"] > 0 || got["p-1"] == 0 {
		t.Errorf("got requests at %v, want none at p-0 and some at p-1", got)
	}
	if leaving, want := b.TakeUpdate().Leaving, 1; len(leaving) != want {
		t.Errorf("got %d leaving servers in the update, want %d", len(leaving), want)
	}
}

// TestNoticeAppliesThoughEntryExpired has a server's entry expire during a request, in the response
// to which the server announces that it is leaving.
func TestNoticeAppliesThoughEntryExpired(t *testing.T) {
	for name, between := range map[string]func(b *Balancer, lease *Lease){
		"before the entry reappears": func(b *Balancer, lease *Lease) {
			b.RecordNotice(lease, leavingNotice)
			b.SetBackends(testEntries(2))
		},
		"after the entry reappears": func(b *Balancer, lease *Lease) {
			b.SetBackends(testEntries(2))
			b.RecordNotice(lease, leavingNotice)
		},
	} {
		b := newTestBalancer(2)
		lease := leaseAt(t, b, "p-0")
		b.SetBackends(testEntries(2)[1:])
		between(b, lease)
		if got := countChosen(t, b, 20)["p-0"]; got > 0 {
			t.Errorf("response %s: got %d of 20 requests there, want none", name, got)
		}
	}
}

// TestPauseEnds has a server ask for a pause, and during it for a shorter one, which must not change
// the end of the first.
func TestPauseEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBalancer(2)
		announce(t, b, "p-0", pauseNotice)
		time.Sleep(time.Second)
		announce(t, b, "p-0", slipwick.Notice{
			Pause: time.Second,
		})
		time.Sleep(1999 * time.Millisecond)
		if got := countChosen(t, b, 20)["p-0"]; got > 0 {
			t.Errorf("got %d of 20 requests during the pause, want none", got)
		}
		time.Sleep(time.Millisecond)
		if got := countChosen(t, b, 20)["p-0"]; got == 0 {
			t.Error("got none of 20 requests after the pause, want some")
		}
	})
}

// TestRetryAfterWhenAllServersPause has all servers leave or ask for a pause. None of them may get a
// request as the last one available, and callers get a Retry-After until the first pause ends.
func TestRetryAfterWhenAllServersPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBalancer(3)
		announce(t, b, "p-0", pauseNotice)
		announce(t, b, "p-1", slipwick.Notice{
			Pause: 2 * time.Second,
		})
		announce(t, b, "p-2", leavingNotice)
		time.Sleep(500 * time.Millisecond)
		_, err := b.Acquire(plainRequest)
		typed, ok := slipwick.AsError(err)
		if !ok {
			t.Fatalf("got error %v, want an *slipwick.Error", err)
		}
		if got, want := typed.RetryAfter, 1500*time.Millisecond; got != want {
			t.Errorf("got a Retry-After of %v, want %v", got, want)
		}
		if got, want := typed.Outcome, slipwick.OutcomeNotRun; got != want {
			t.Errorf("got outcome %s, want %s", got, want)
		}
	})
}

// TestDelayedRequestIsNotSentAfterNotice has a notice arrive after a server was chosen for a request
// and before the request is sent.
func TestDelayedRequestIsNotSentAfterNotice(t *testing.T) {
	for _, notice := range []slipwick.Notice{leavingNotice, pauseNotice} {
		b := newTestBalancer(1)
		lease := acquire(t, b, plainRequest)
		if !b.StillAccepts(lease) {
			t.Error("before the notice: got a server that does not accept the request, want one that does")
		}
		announce(t, b, "p-0", notice)
		if b.StillAccepts(lease) {
			t.Errorf("%+v: got a server that still accepts the request, want one that does not", notice)
		}
		if got := b.EnginesWithUnknownCaches("p"); len(got) > 0 {
			t.Errorf("%+v: got its cache among those to query, want nothing sent there", notice)
		}
	}
}

// TestPausedServersCountAsEjected has a third of a pool ask for a pause. Failures must not eject any
// of the others, which have to carry the whole load.
func TestPausedServersCountAsEjected(t *testing.T) {
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
		t.Errorf("got %d servers ejected beside the paused ones, want none", got)
	}
}

// TestLeavingExpiresWhereEntriesAreReused has a leaving server replaced under the same entry, as in a
// list that operators write, and a leaving server whose entry is never reused.
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
				t.Errorf("entries reused %t: got %d of 20 requests before the notice expired, want none", isReused, got)
			}
			time.Sleep(time.Hour)
			if got := countChosen(t, b, 20)["p-0"] > 0; got != isReused {
				t.Errorf("entries reused %t: got it in use after an hour: %t, want %t", isReused, got, isReused)
			}
		})
	}
}

// TestOldNoticesAreDropped lists many servers one after the other, each of which announces that it is
// leaving and then is no longer listed.
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

// countLateRequests has one server of a pool announce that it is leaving, while its entry stays as it
// is. It returns how many requests the server gets later than a second after its first notice.
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

// TestFleetLearnsOfLeavingFromOneResponse has one server announce in each response that it is
// leaving, in fleets of several sizes. The first router that receives the notice must inform the
// others.
func TestFleetLearnsOfLeavingFromOneResponse(t *testing.T) {
	for _, size := range []struct{ routers, engines, perSecond int }{
		{8, 18, 260},
		{80, 89, 800},
		{295, 153, 1300},
	} {
		if got := countLateRequests(t, size.routers, size.engines, size.perSecond, true); got > 0 {
			t.Errorf("%+v: got %d requests later than a second after the first notice, want none", size, got)
		}
		t.Logf("%+v: %d if routers do not inform each other", size,
			countLateRequests(t, size.routers, size.engines, size.perSecond, false))
	}
}
