package permit

import (
	"fmt"
	"testing"
	"time"

	"github.com/slipwick/slipwick"
)

// outcome is what callers got of a load.
type outcome struct {
	*testResult
	*gateways
}

func (o outcome) String() string {
	return fmt.Sprintf("of %d: in time %d (%d of them when repeated), late %d, refused %d and then again %d, failed %d, "+
		"rejected %d; share of the worth %.3f, of the least served kind %.3f, and %.3f if a repeated request counts as "+
		"late; p99 of the time to a refusal %v",
		o.testResult.offered, o.inTime, o.servedAgain, o.late, o.repeated, o.gateways.refused, o.failed, o.rejected,
		o.share(), o.leastWorth(), o.share()-(1-lateWorth)*float64(o.servedAgain)/float64(o.testResult.offered),
		quantile(o.decided, 0.99))
}

// share returns the share of the worth of all requests that was served.
func (o outcome) share() float64 {
	return (float64(o.inTime) + lateWorth*float64(o.late)) / float64(o.testResult.offered)
}

// unserved returns how many requests got no response.
func (o outcome) unserved() int {
	return o.gateways.refused + o.failed
}

// runBoth runs the load with and without permits.
func (l testLoad) runBoth(t *testing.T, faults *gateways) (with, without outcome) {
	t.Helper()
	run := func(usesPermits bool) outcome {
		g := &gateways{
			usesPermits: usesPermits,
			fail:        faults.fail,
			leaving:     faults.leaving,
		}
		return outcome{
			testResult: l.run(t, g),
			gateways:   g,
		}
	}
	with, without = run(true), run(false)
	t.Log("permits:", with)
	t.Log("without:", without)
	return with, without
}

// bursts doubles the demand for 2 s of each 5 s.
func bursts(at time.Duration) float64 {
	if at%(5*time.Second) >= 3*time.Second {
		return 2
	}
	return 1
}

// TestSlowedServerLeft guards against permits that serve fewer requests in time than a server without them, or hold
// requests beyond their objective only to refuse them, while the last server of a pool is slowed. The only server
// of 6 slots is 2.5 times slower for 600 ms of each 2 s. 31 routers send 190 to 380 requests a second of 15 ms with
// an objective of 120 ms and a deadline of 1 s: less than the server can do in all, and at most 132 more than it
// can do while it is slow, 0.8 s of its work.
func TestSlowedServerLeft(t *testing.T) {
	l := testLoad{
		routers:   31,
		servers:   1,
		slots:     6,
		demand:    0.475,
		work:      15 * time.Millisecond,
		objective: 120 * time.Millisecond,
		deadline:  time.Second,
		duration:  20 * time.Second,
		burst:     bursts,
		slowness: func(_ int, at time.Duration) float64 {
			if at%(2*time.Second) >= 1400*time.Millisecond {
				return 2.5
			}
			return 1
		},
	}
	with, without := l.runBoth(t, &gateways{})
	if with.inTime < without.inTime {
		t.Errorf("got %d requests served in time, want at least the %d without permits", with.inTime, without.inTime)
	}
	if latest := quantile(with.decided, 1); latest > l.objective {
		t.Errorf("got a refusal after %v, want none after the objective of %v", latest, l.objective)
	}
}

// TestDayWithIntermittentServer guards against permits that serve fewer requests in time than no admission
// control does while servers fail. Of three servers of 6 slots, one leaves after 1.2 s and one after 21.1 s. The
// latter doesn't respond from 3.5 to 10.2 s, and then breaks off connections for 300 ms of each 600 ms until 13 s.
// Each server in turn is 2.5 times slower for 600 ms of 2 s. 31 routers send 187 requests a second of 15 ms, twice
// as many in bursts, with an objective of 120 ms and a deadline of 1 s.
func TestDayWithIntermittentServer(t *testing.T) {
	l := testLoad{
		routers:   31,
		servers:   3,
		slots:     6,
		demand:    0.156,
		work:      15 * time.Millisecond,
		objective: 120 * time.Millisecond,
		deadline:  time.Second,
		duration:  29 * time.Second,
		burst:     bursts,
		slowness: func(server int, at time.Duration) float64 {
			if int(at/(2*time.Second))%3 == server && at%(2*time.Second) >= 1400*time.Millisecond {
				return 2.5
			}
			return 1
		},
	}
	with, without := l.runBoth(t, &gateways{
		leaving: map[string]time.Duration{
			"plain-2": 1200 * time.Millisecond,
			"plain-1": 21100 * time.Millisecond,
		},
		fail: failIntermittently,
	})
	if with.inTime <= without.inTime || with.unserved() >= without.unserved() {
		t.Errorf("got %d requests served in time and %d without a response, want more than %d and less than %d",
			with.inTime, with.unserved(), without.inTime, without.unserved())
	}
	if with.rejected >= 200 || with.leastWorth() < 0.9 {
		t.Errorf("got %d rejections and %.3f of the worth of the least served kind, want less than 200 and at least 0.9",
			with.rejected, with.leastWorth())
	}
}

// failIntermittently has a server not respond from 3.5 to 10.2 s and break off connections for 300 ms of each
// 600 ms until 13 s.
func failIntermittently(server string, at time.Duration) slipwick.Evidence {
	switch {
	case server != "plain-1" || at < 3500*time.Millisecond || at > 13*time.Second:
		return slipwick.EvidenceNone
	case at < 10200*time.Millisecond:
		return slipwick.EvidenceTimeout
	case at%(600*time.Millisecond) < 300*time.Millisecond:
		return slipwick.EvidenceError
	default:
		return slipwick.EvidenceNone
	}
}
