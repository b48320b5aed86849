package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
)

// crashParts has a server crash under a request with these parts, at the tracker's own router.
func crashParts(tracker *Tracker, request Key, server string, parts ...Key) {
	attempt, ok := tracker.Begin(request, &slipwick.Backend{
		ID:        server,
		StartTime: 1_000,
	}, false, func() {}, parts...)
	if ok {
		attempt.End(OutcomeCrashed)
	}
}

// completeParts has a request with these parts end with the outcome.
func completeParts(tracker *Tracker, request Key, outcome Outcome, parts ...Key) {
	if attempt, ok := tracker.Begin(request, &slipwick.Backend{}, false, func() {}, parts...); ok {
		attempt.End(outcome)
	}
}

// TestPartOfDifferentRequestsIsQuarantined guards against requests of different content that crash one
// server after the other because of a part that their prompts share.
func TestPartOfDifferentRequestsIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, bad := PartKey("p", 1), PartKey("p", 2)
		tracker := NewTracker("r")
		for i := range 3 {
			if tracker.IsQuarantined(100, first, bad) {
				t.Errorf("got a request quarantined after %d crashes, want it sent", i)
			}
			crashParts(tracker, Key(i), fmt.Sprint(i), first, bad)
			time.Sleep(crashInterval)
			completeParts(tracker, Key(50+i), OutcomeCompleted, first)
		}
		if got := tracker.Admit(100, first, bad); !got.Refused || got.RetryAfter < initialPartBackoff/2 {
			t.Errorf("got %+v for a request with the part, want it refused with a time to wait", got)
		}
		if tracker.IsQuarantined(100, first) {
			t.Error("got a request without the part quarantined, want it sent")
		}
	})
}

// TestFailureDoesNotExcuseAPart guards against a part that goes on crashing servers since one of them
// returned a failure before it began to process the prompt. A completed request excuses all parts.
func TestFailureDoesNotExcuseAPart(t *testing.T) {
	for outcome, want := range map[Outcome]bool{OutcomeFailed: true, OutcomeInconclusive: true, OutcomeCompleted: false} {
		synctest.Test(t, func(t *testing.T) {
			bad := PartKey("p", 2)
			tracker := NewTracker("r")
			for i := range 2 {
				crashParts(tracker, Key(i), fmt.Sprint(i), bad)
				time.Sleep(crashInterval)
			}
			completeParts(tracker, 50, outcome, bad)
			crashParts(tracker, 2, "2", bad)
			if got := tracker.IsQuarantined(100, bad); got != want {
				t.Errorf("outcome %d between crashes: got quarantined %t, want %t", outcome, got, want)
			}
		})
	}
}

// TestStoppedAttemptCountsIfItsServerCrashes has a part become quarantined while a server processes another request
// with it, which is stopped. The server crashes all the same, under a request with another part of the prompts.
//
// It guards against that part being quarantined in place of the one at fault, which then had fewer crashes.
func TestStoppedAttemptCountsIfItsServerCrashes(t *testing.T) {
	for name, startTime := range map[string]int64{"start time known": 1_000, "no start time": 0} {
		for where, isOwn := range map[string]bool{"this router": true, "another router": false} {
			t.Run(name+", crash seen by "+where, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testStoppedAttempt(t, startTime, isOwn) })
			})
		}
	}
}

func testStoppedAttempt(t *testing.T, startTime int64, isOwn bool) {
	bad, other := PartKey("p", 1), PartKey("p", 2)
	if other < bad {
		bad, other = other, bad
	}
	tracker, observer := NewTracker("r"), NewTracker("observer")
	server := &slipwick.Backend{
		ID:        "last",
		StartTime: startTime,
	}
	stopped := false
	attempt, _ := tracker.Begin(10, server, false, func() { stopped = true }, other, bad)
	if !isOwn {
		tracker, observer = observer, tracker
	}
	beside, _ := tracker.Begin(11, server, false, func() {}, other)
	if !isOwn {
		tracker, observer = observer, tracker
	}
	for i := range 3 {
		crashParts(tracker, Key(i), fmt.Sprint(i), other, bad)
		time.Sleep(crashInterval)
	}
	if !stopped {
		t.Fatal("got the other request with the part sent on, want it stopped")
	}
	attempt.End(OutcomeInconclusive)
	beside.End(OutcomeCrashed)
	tracker.Merge(observer.TakePending())
	if !tracker.IsQuarantined(100, bad) || tracker.IsQuarantined(100, other) {
		t.Errorf("got quarantined: %t for the part at fault and %t for the other one, want the former alone",
			tracker.IsQuarantined(100, bad), tracker.IsQuarantined(100, other))
	}
}

// TestSimultaneousCrashesQuarantineNoPart guards against popular parts that are quarantined when the
// servers of a rack fail together.
func TestSimultaneousCrashesQuarantineNoPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		popular := PartKey("p", 1)
		tracker := NewTracker("r")
		for i := range 8 {
			crashParts(tracker, Key(i), fmt.Sprint(i), popular)
			time.Sleep(crashInterval / 10)
		}
		if tracker.IsQuarantined(100, popular) {
			t.Error("got a part quarantined after crashes at one moment, want it sent")
		}
	})
}

// TestRespondingServerExcusesParts guards against parts that are suspected for as long as the long
// responses with them run.
func TestRespondingServerExcusesParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		part := PartKey("p", 1)
		tracker := NewTracker("r")
		stopped := false
		long, _ := tracker.Begin(7, &slipwick.Backend{}, false, func() { stopped = true }, part)
		long.SetBegun()
		for i := range 3 {
			crashParts(tracker, Key(i), fmt.Sprint(i), part)
			time.Sleep(crashInterval)
		}
		if !tracker.IsQuarantined(100, part) || stopped {
			t.Errorf("got quarantined %t, the response that has begun stopped %t, want true and false",
				tracker.IsQuarantined(100, part), stopped)
		}
		long.RecordProgress()
		if tracker.IsQuarantined(100, part) {
			t.Error("got the part quarantined though a server responds to a request with it, want it released")
		}
		long.End(OutcomeCompleted)
	})
}

// TestQuarantinedPartIsTriedByOneRouter guards against a part that stays refused for good, and against
// trials at all routers.
func TestQuarantinedPartIsTriedByOneRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		part := PartKey("p", 1)
		routers := []slipwick.Router{{ID: "r0"}, {ID: "r1"}, {ID: "r2"}}
		var trackers []*Tracker
		for _, r := range routers {
			tracker := NewTracker(r.ID)
			tracker.Routers = func() []slipwick.Router { return routers }
			for i := range 3 {
				tracker.Merge([]Crash{{
					Key:          part,
					ServerIDHash: uint64(i),
					SeenAt:       time.Now().Add(time.Duration(i) * crashInterval),
				}})
			}
			trackers = append(trackers, tracker)
		}
		time.Sleep(initialPartBackoff + time.Second)
		trials := 0
		for i, tracker := range trackers {
			for request := range 4 {
				if tracker.Admit(Key(10*i+request), part).Trial {
					trials++
				}
			}
		}
		if trials != 1 {
			t.Errorf("got %d trials at %d routers, want one", trials, len(trackers))
		}
	})
}
