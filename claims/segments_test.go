package claims

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
)

// claimNew claims a new key.
func claimNew(f *fleet, n *node) error {
	f.mu.Lock()
	id := newKey(f.random)
	f.mu.Unlock()
	key, err := n.claims.Policy.ParseKey("w", id, time.Now())
	if err != nil {
		return err
	}
	_, err = n.claims.Claim(f.context(), key)
	return err
}

// TestExpiredSegmentsAreReused checks that a journal has at most MaxSegments objects, refuses
// claims while no segment has expired, and accepts them afterwards.
func TestExpiredSegmentsAreReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		policy := testPolicy()
		policy.Journals, policy.MaxSegments = 1, 3
		policy.KeyLifetime, policy.MaxClockSkew = 20*time.Second, time.Second
		f := newFleet(1, 1, policy)
		f.mu.Lock()
		f.random = rand.New(rand.NewPCG(1, 1))
		f.mu.Unlock()
		n := f.node(f.ids[0])
		granted, refused := 0, 0
		for range 400 {
			err := claimNew(f, n)
			failure, _ := slipwick.AsError(err)
			switch {
			case err == nil:
				granted++
			case failure.Outcome == slipwick.OutcomeNotRun:
				refused++
			default:
				t.Fatalf("got %v, want a granted claim or a refusal with outcome not-run", err)
			}
			time.Sleep(500 * time.Millisecond)
		}
		// A claim may end before the journal has finished its write, so the count waits for it.
		f.stop()
		if got := f.store.objectCount(); got > policy.MaxSegments {
			t.Errorf("got %d objects, want at most %d", got, policy.MaxSegments)
		}
		// Three segments hold a few dozen claims, so 400 claims need each of them many times.
		if granted < 100 || refused == 0 {
			t.Errorf("got %d granted and %d refused, want both", granted, refused)
		}
	})
}
