package balance

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
)

// entriesOfVersion returns entries of n servers of a version.
func entriesOfVersion(version string, n int) []Entry {
	list := entriesIn(n, "d", "e")
	for i := range list {
		list[i].ID += "-" + version
		list[i].Version = version
	}
	return list
}

// newCanaryBalancer returns a balancer with six servers each of v1 and v2, of which v2 is the
// canary.
func newCanaryBalancer(share float64) *Balancer {
	b := New("d")
	b.SetBackends(append(entriesOfVersion("v1", 6), entriesOfVersion("v2", 6)...))
	b.SetCanaries(map[string]Canary{
		"p": {
			Version: "v2",
			Share:   share,
		},
	})
	return b
}

// TestCanaryGetsItsShare sends requests with and without prompts during a canary.
func TestCanaryGetsItsShare(t *testing.T) {
	const requests = 2000
	for _, share := range []float64{0, 0.025, 0.25, 1} {
		b := newCanaryBalancer(share)
		got := 0
		for i := range uint64(requests) {
			request := prompt(i % 50)
			if i%2 == 0 {
				request = &Request{
					Pool: "p",
				}
			}
			lease := acquire(t, b, request)
			if lease.server.Version == "v2" {
				got++
			}
			b.RecordResponseStart(lease)
			b.Release(lease, slipwick.EvidenceGood)
		}
		low, high := share*requests*0.75-10, share*requests*1.25+10
		if share == 0 {
			high = 0
		}
		if float64(got) < low || float64(got) > high {
			t.Errorf("share %v: got %d of %d at the new version", share, got, requests)
		}
	}
}

// TestRolledBackVersionGetsNothing has all servers of the old version leave while the canary's
// share is 0.
func TestRolledBackVersionGetsNothing(t *testing.T) {
	b := newCanaryBalancer(0)
	leaving := entriesOfVersion("v1", 6)
	for i := range leaving {
		leaving[i].Leaving = true
	}
	b.ChangeBackends(&Changes{
		Entries: leaving,
	})
	if lease, err := b.Acquire(prompt(1)); err == nil {
		t.Errorf("got a request at %s, want none", lease.Backend.ID)
	}
}

// TestCanaryCountsAreExchanged has two routers count outcomes and send each other updates. Each
// must have the counts of both, and send its own only once.
func TestCanaryCountsAreExchanged(t *testing.T) {
	first, second := newCanaryBalancer(1), newCanaryBalancer(0)
	for i, evidence := range []slipwick.Evidence{
		slipwick.EvidenceGood, slipwick.EvidenceError, slipwick.EvidenceTimeout, slipwick.EvidenceRefused,
	} {
		for _, b := range []*Balancer{first, second} {
			lease := acquire(t, b, prompt(uint64(i)))
			b.Release(lease, evidence)
		}
	}
	fromFirst, fromSecond := first.TakeUpdate(), second.TakeUpdate()
	first.ReceiveOutcomes(fromSecond.Outcomes)
	second.ReceiveOutcomes(fromFirst.Outcomes)
	want := CanaryCounts{
		Old: VersionCounts{
			Good: 1,
			Bad:  2,
		},
		New: VersionCounts{
			Good: 1,
			Bad:  2,
		},
	}
	for _, b := range []*Balancer{first, second} {
		if got := b.CanaryCounts("p"); got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
	if again := first.TakeUpdate(); len(again.Outcomes) > 0 {
		t.Errorf("got %v in a second update, want nothing", again.Outcomes)
	}
}

// TestNewVersionIsHeldUntilRolloutsAreKnown lists servers of a new version before it is known
// whether a rollout names that version.
func TestNewVersionIsHeldUntilRolloutsAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("d")
		b.HoldVersions = true
		b.SetBackends(entriesOfVersion("v1", 3))
		time.Sleep(2 * RelistWindow)
		b.ChangeBackends(&Changes{
			Entries: entriesOfVersion("v2", 30),
		})
		key := uint64(0)
		uses := func() bool {
			for range 60 {
				key++
				lease := acquire(t, b, prompt(key))
				isNew := lease.server.Version == "v2"
				b.Release(lease, slipwick.EvidenceGood)
				if isNew {
					return true
				}
			}
			return false
		}
		b.MarkRolloutsKnown(time.Now().Add(-time.Millisecond))
		if uses() {
			t.Error("got a new version in use before its rollout can be known")
		}
		time.Sleep(time.Millisecond)
		b.MarkRolloutsKnown(time.Now())
		if !uses() {
			t.Error("got a new version held back that no rollout names")
		}
		time.Sleep(time.Millisecond)
		b.ChangeBackends(&Changes{
			Entries: entriesOfVersion("v3", 300),
		})
		if !b.heldVersionsLocked("p", time.Now())["v3"] {
			t.Error("got the next version in use, want it held back")
		}
		time.Sleep(maxVersionHold)
		if len(b.heldVersionsLocked("p", time.Now())) > 0 {
			t.Error("got a version held back for longer than maxVersionHold while rollouts are not known")
		}
	})
}
