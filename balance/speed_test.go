package balance

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
)

// fourSpeeds are the paces of the servers of a plain service in the tests; their joint capacity is
// fourSpeedsCapacity requests a second of plainWork.
var fourSpeeds = []float64{1, 1.5, 2, 3}

const (
	plainSlots         = 6
	plainWork          = 40 * time.Millisecond
	fourSpeedsCapacity = 375
	// maxWaitRatio is the promised ratio of the 0.99 quantile of the response times to that of a
	// central queue.
	maxWaitRatio = 1.5
)

// runFourSpeeds returns the ratio of the 0.99 quantile of the response times to that of a central
// queue. change may change the fleet before it runs.
func runFourSpeeds(
	t *testing.T, routers int, load float64, duration time.Duration, change func(*speedFleet),
) (ratio float64) {
	t.Helper()
	perSecond := load * fourSpeedsCapacity
	central, centralWait := centralQueue(1, plainSlots, fourSpeeds, perSecond, plainWork, duration)
	synctest.Test(t, func(t *testing.T) {
		var paces []func(time.Duration) float64
		for _, factor := range fourSpeeds {
			paces = append(paces, constantPace(factor))
		}
		f := newSpeedFleet(routers, plainSlots, paces...)
		change(f)
		f.run(perSecond, plainWork, duration)
		ratio = float64(late(f.responses)) / float64(central)
		t.Logf("%d routers, %.0f requests a second: 0.99 quantile %v, %.2f times that of a central queue; "+
			"wait in queues %v and %v; sent %v, rejected %v", routers, perSecond, late(f.responses), ratio,
			late(f.waits), centralWait, f.sent, f.rejected)
	})
	return ratio
}

// TestFourSpeedsAreNearACentralQueue guards against routers that overload the fastest servers or wait
// for the slowest ones: servers of four speeds get 0.4 and 0.79 of what they can do together, 150 and
// 296 requests a second. Views are 50 to 300 ms old.
func TestFourSpeedsAreNearACentralQueue(t *testing.T) {
	for _, routers := range []int{8, 31, 84, 330} {
		for _, load := range []float64{0.4, 0.79} {
			ratio := runFourSpeeds(t, routers, load, 8*time.Second, func(*speedFleet) {})
			if ratio > maxWaitRatio {
				t.Errorf("%d routers, load %.2f: got %.2f times the central queue's, want %.1f at most",
					routers, load, ratio, maxWaitRatio)
			}
		}
	}
}

// TestFourSpeedsWithOldViews has views that are 150 to 500 ms old, several times as old as a request
// takes, at 0.79 of what the servers can do. The bound is not reached by 330 routers, whose ratio is
// logged: there, the choice has at least to be better than without speeds.
func TestFourSpeedsWithOldViews(t *testing.T) {
	for _, routers := range []int{31, 330} {
		old := func(f *speedFleet) { f.delay = 150 * time.Millisecond }
		ratio := runFourSpeeds(t, routers, 0.79, 8*time.Second, old)
		switch {
		case routers < 330 && ratio > maxWaitRatio:
			t.Errorf("%d routers: got %.2f times the central queue's, want %.1f at most", routers, ratio, maxWaitRatio)
		case ratio > maxWaitRatio:
			t.Logf("%d routers: not reached: %.2f times the central queue's, aim %.1f", routers, ratio, maxWaitRatio)
		}
		without := runFourSpeeds(t, routers, 0.79, 8*time.Second, func(f *speedFleet) {
			old(f)
			for _, b := range f.routers {
				b.SetSpeedAware(false)
			}
		})
		if ratio >= without {
			t.Errorf("%d routers: got %.2f times the central queue's, want less than %.2f without speeds", routers, ratio,
				without)
		}
	}
}

// TestFourSpeedsWithOldViewsOfALargeFleet has the same views and load at 330 routers, and wants the promised
// ratio. KNOWN-RED.txt lists it.
func TestFourSpeedsWithOldViewsOfALargeFleet(t *testing.T) {
	ratio := runFourSpeeds(t, 330, 0.79, 8*time.Second, func(f *speedFleet) { f.delay = 150 * time.Millisecond })
	if ratio > maxWaitRatio {
		t.Errorf("got %.2f times the central queue's, want %.1f at most", ratio, maxWaitRatio)
	}
}

// TestFourSpeedsWithLostUpdates guards against estimates that depend on each update: half of the
// observations are lost, or only half of the routers hear of each other. The load is 0.6 of what the
// servers can do, 225 requests a second.
func TestFourSpeedsWithLostUpdates(t *testing.T) {
	for name, change := range map[string]func(*speedFleet){
		"half of the observations are lost": func(f *speedFleet) {
			f.keep = func(int, int) bool { return f.random.Float64() < 0.5 }
		},
		"two halves of the fleet": func(f *speedFleet) {
			f.keep = func(from, to int) bool { return from%2 == to%2 }
		},
		"one half sees one server twice as slow": func(f *speedFleet) {
			f.keep = func(from, to int) bool { return from%2 == to%2 }
			for _, b := range f.routers[:len(f.routers)/2] {
				b.ReceiveSpeedCounts([]SpeedCounts{{
					Server:      b.servers["1"].hash,
					Responses:   100,
					LogSlowdown: 100 * 69,
				}})
			}
		},
	} {
		if ratio := runFourSpeeds(t, 84, 0.6, 15*time.Second, change); ratio > maxWaitRatio {
			t.Errorf("%s: got %.2f times the central queue's, want %.1f at most", name, ratio, maxWaitRatio)
		}
	}
}

// TestReportsThatLieAreCorrected guards against a server that gets all requests, or none, because it
// reports a wrong pace. The load is 0.7 of what three equal servers can do, 315 requests a second.
func TestReportsThatLieAreCorrected(t *testing.T) {
	for name, reported := range map[string]float64{
		"far too fast":  0.1,
		"far too slow":  100,
		"not a number":  math.NaN(),
		"below 0":       -1,
		"not plausible": 1e6,
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newSpeedFleet(31, plainSlots, constantPace(1), constantPace(1), constantPace(1))
			f.servers[0].reported = constantPace(reported)
			const total = 3 * plainSlots
			f.run(0.7*total/plainWork.Seconds(), plainWork, 10*time.Second)
			all := f.sent[0] + f.sent[1] + f.sent[2]
			share := float64(f.sent[0]) / float64(all)
			rejected := float64(f.rejected[0]+f.rejected[1]+f.rejected[2]) / float64(all)
			t.Logf("%s: share %.2f, rejected %.4f, 0.99 quantile %v", name, share, rejected, late(f.responses))
			if share < 0.2 || share > 0.45 || rejected > 0.02 {
				t.Errorf("%s: got a share of %.2f and %.4f rejected, want 0.2 to 0.45 and 0.02 at most", name, share, rejected)
			}
		})
	}
}

// TestFewObservationsCorrectAReport guards against a server that reports a pace a hundred times too slow and
// gets so few requests because of it that the correction takes long.
func TestFewObservationsCorrectAReport(t *testing.T) {
	s, now := newSpeed(), clock.Now()
	s.reports.add(now, 30*math.Log(100), 30)
	s.observations.add(now, 0, 30)
	if fast, slow := s.paces(now); fast > 1.1 || slow > 1.1 {
		t.Errorf("got %.2f and %.2f after 30 responses that took as long as usual, want 1.1 at most", fast, slow)
	}
}

// TestEstimatesReturnToUsual guards against a server that is avoided for good: it gets few requests,
// so that no news may come of it. A clock that jumps forward makes all news old, one that jumps back
// changes nothing.
func TestEstimatesReturnToUsual(t *testing.T) {
	s, now := newSpeed(), clock.Now()
	s.reports.add(now, 20*math.Log(3), 20)
	fast, slow := s.paces(now)
	if fast < 2.5 || slow < 2.5 {
		t.Errorf("got %.2f and %.2f after reports of 300, want 2.5 to 3", fast, slow)
	}
	if earlier, _ := s.paces(now.Add(-time.Hour)); earlier != fast {
		t.Errorf("got %.2f an hour before, want %.2f", earlier, fast)
	}
	s.reports.add(now.Add(-time.Hour), math.Log(3), 1)
	if fast, slow = s.paces(now); fast < 2.5 || fast > 3 || slow > 3 {
		t.Errorf("got %.2f and %.2f after a report from before, want 2.5 to 3", fast, slow)
	}
	if fast, slow = s.paces(now.Add(30 * time.Second)); fast > 1.2 || slow > 1.2 {
		t.Errorf("got %.2f and %.2f 30 s later, want about 1", fast, slow)
	}
}

// TestOwnLoadIsNoSlowdown guards against a server that counts as slow because all its slots are in use:
// two servers get 30 and 6 requests at a time, for 6 slots each.
func TestOwnLoadIsNoSlowdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("dc-0")
		b.SetSpeedAware(true)
		b.SetBackends(testEntries(2))
		for range 60 {
			for id, inFlight := range map[string]int{"p-0": 30, "p-1": 6} {
				s := b.servers[id]
				s.reportedSlots, s.inFlight = 6, inFlight-1
				lease := newLease(s)
				b.noteLoadLocked(lease, clock.Now())
				s.inFlight++
				b.RecordSend(lease)
				time.Sleep(time.Duration(inFlight) * 10 * time.Millisecond)
				b.RecordResponseTime(lease)
				b.Release(lease, slipwick.EvidenceGood)
			}
		}
		for _, state := range b.States() {
			if _, slow := b.servers[state.ID].speed.paces(clock.Now()); slow < 0.9 || slow > 1.1 {
				t.Errorf("%s: got a slow estimate of %.2f, want about 1", state.ID, slow)
			}
		}
	})
}

// TestReportedLoadContainsTheRequestItself guards against a server with one slot that looks twice as fast as
// one with six: both report the request whose response has the report, and nothing else.
func TestReportedLoadContainsTheRequestItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("dc-0")
		b.SetSpeedAware(true)
		b.SetBackends(testEntries(2))
		for range 60 {
			for id, slots := range map[string]int{"p-0": 1, "p-1": 6} {
				s := b.servers[id]
				s.reportedSlots = slots
				lease := newLease(s)
				b.noteLoadLocked(lease, clock.Now())
				s.inFlight++
				b.RecordSend(lease)
				time.Sleep(40 * time.Millisecond)
				b.RecordLoad(lease, Load{
					Running: 1,
					Slots:   slots,
				})
				b.RecordResponseTime(lease)
				b.Release(lease, slipwick.EvidenceGood)
			}
		}
		for _, state := range b.States() {
			if _, slow := b.servers[state.ID].speed.paces(clock.Now()); slow < 0.95 || slow > 1.05 {
				t.Errorf("%s: got a slow estimate of %.2f, want 1", state.ID, slow)
			}
		}
	})
}

// TestServerThatRejectsIsFull guards against requests that all go to a server which has just rejected
// one, at this router and at one that only heard of it.
func TestServerThatRejectsIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, other := newTestBalancer(3), newTestBalancer(3)
		b.SetSpeedAware(true)
		other.SetSpeedAware(true)
		lease := acquire(t, b, plainRequest)
		b.Release(lease, slipwick.EvidenceShed)
		update := b.TakeUpdate()
		if len(update.Speeds) != 1 || update.Speeds[0].Rejections != 1 {
			t.Fatalf("got %+v to send, want one rejection", update.Speeds)
		}
		other.ReceiveSpeedCounts(update.Speeds)
		if again := b.TakeUpdate().Speeds; len(again) > 0 {
			t.Errorf("got %+v to send again, want nothing", again)
		}
		for _, router := range []*Balancer{b, other} {
			for range 30 {
				got := acquire(t, router, plainRequest)
				if got.Backend.ID == lease.Backend.ID {
					t.Fatalf("got %s at once, want another server", got.Backend.ID)
				}
				router.Abandon(got)
			}
		}
		time.Sleep(2 * initialUsualTime)
		chosen := false
		for range 60 {
			got := acquire(t, b, plainRequest)
			chosen = chosen || got.Backend.ID == lease.Backend.ID
			b.Abandon(got)
		}
		if !chosen {
			t.Error("got none of 60 requests there later, want some")
		}
	})
}

// TestSpeedChangesNothingWhileOff guards against decisions that depend on reports and observations
// without SetSpeedAware: two routers get the same 300 requests, one of them with reports of a slow
// server.
func TestSpeedChangesNothingWhileOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		plain, reporting := newTestBalancer(5), newTestBalancer(5)
		draw := 0.0
		for i := range 300 {
			draw = math.Mod(draw+0.618, 1)
			plain.Random, reporting.Random = func() float64 { return draw }, func() float64 { return draw }
			request := plainRequest
			if i%2 == 0 {
				request = prompt(uint64(i % 7))
			}
			want, got := acquire(t, plain, request), acquire(t, reporting, request)
			if got.Backend.ID != want.Backend.ID {
				t.Fatalf("request %d: got %s, want %s", i, got.Backend.ID, want.Backend.ID)
			}
			for b, lease := range map[*Balancer]*Lease{plain: want, reporting: got} {
				b.RecordSend(lease)
				load := Load{
					Running: i % 4,
				}
				if b == reporting {
					load.Slots, load.Pace = 1, 1000
				}
				b.RecordLoad(lease, load)
			}
			time.Sleep(time.Duration(10+i%5) * time.Millisecond)
			for b, lease := range map[*Balancer]*Lease{plain: want, reporting: got} {
				b.RecordResponseStart(lease)
				b.RecordResponseTime(lease)
				evidence := slipwick.EvidenceGood
				if i%9 == 0 {
					evidence = slipwick.EvidenceShed
				}
				b.Release(lease, evidence)
			}
		}
		if speeds := reporting.TakeUpdate().Speeds; len(speeds) > 0 {
			t.Errorf("got %+v to send, want nothing", speeds)
		}
	})
}

// TestObservationsWaitForTheNextUpdates guards against counts that stay behind when an update has no
// room for all servers, and are sent as new once one of the others gets a request again.
func TestObservationsWaitForTheNextUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const servers = maxSpeedCounts + 10
		b := newTestBalancer(servers)
		b.SetSpeedAware(true)
		for i := range servers {
			lease := acquire(t, b, &Request{Pool: "p", Backend: fmt.Sprintf("p-%d", i)})
			b.Release(lease, slipwick.EvidenceShed)
		}
		for _, want := range []int{maxSpeedCounts, servers - maxSpeedCounts, 0} {
			if got := len(b.TakeUpdate().Speeds); got != want {
				t.Errorf("got the counts of %d servers, want %d", got, want)
			}
		}
	})
}

// TestPaceOfAnotherRouterIsAnnounced guards against a router that knows only of the paces that it received
// itself, and one that takes observations or unknown servers for them.
func TestPaceOfAnotherRouterIsAnnounced(t *testing.T) {
	b := newTestBalancer(1)
	hash := b.servers["p-0"].hash
	for _, test := range []struct {
		counts SpeedCounts
		want   int
	}{
		{SpeedCounts{Server: hash, Reports: 1}, 1},
		{SpeedCounts{Server: hash, Responses: 1, Rejections: 1}, 0},
		{SpeedCounts{Server: hash, Reports: -1}, 0},
		{SpeedCounts{Server: hash + 1, Reports: 1}, 0},
	} {
		got := 0
		b.OnRemotePace = func() {
			got++
			b.SetSpeedAware(true)
		}
		b.ReceiveSpeedCounts([]SpeedCounts{test.counts})
		if got != test.want {
			t.Errorf("%+v: got %d calls of OnRemotePace, want %d", test.counts, got, test.want)
		}
	}
}
