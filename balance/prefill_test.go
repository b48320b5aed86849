package balance

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/placement"
)

// longPrompt returns a request whose prompt has a shared part of 10,000 tokens.
func longPrompt(key uint64) *Request {
	request := prompt(key)
	request.Prompt[0].Tokens = 10000
	return request
}

func isPrefillDone(lease *Lease) bool {
	select {
	case <-lease.PrefillDone:
		return true
	default:
		return false
	}
}

const (
	// initialMaxPrefill is how long requests wait for the prefill of a long prompt as long as
	// nothing was measured: 1.5 times the initial base time plus 1.2 times the initial prefill
	// time of 10,000 tokens.
	initialMaxPrefill = 82500*time.Microsecond + 120*time.Millisecond
	// maxWait is longer than any wait for the prefill of such a prompt.
	maxWait = 250 * time.Millisecond
)

func TestRequestsWaitWhileTheirPromptIsPrefilled(t *testing.T) {
	for _, test := range []struct {
		name string
		end  func(b *Balancer, first *Lease)
	}{
		{"the response begins", func(b *Balancer, first *Lease) { b.RecordResponseStart(first) }},
		{"the request fails", func(b *Balancer, first *Lease) { b.Release(first, slipwick.EvidenceError) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestBalancer(4)
				first := acquire(t, b, longPrompt(7))
				if first.Wait > 0 {
					t.Errorf("first: got a wait of %v, want none", first.Wait)
				}
				// The second request goes to the same engine, and later ones go to others that
				// fetch the prompt from it.
				for range 5 {
					lease := acquire(t, b, longPrompt(7))
					if lease.Wait <= 0 || lease.Wait > maxWait || isPrefillDone(lease) {
						t.Errorf("%s: got a wait of %v, want one of up to %v", lease.Backend.ID, lease.Wait, maxWait)
					}
					defer func() {
						if !isPrefillDone(lease) {
							t.Errorf("%s: got PrefillDone still open, want it closed", lease.Backend.ID)
						}
					}()
				}
				test.end(b, first)
				if lease := acquire(t, b, longPrompt(7)); lease.Wait > 0 {
					t.Errorf("after the prefill: got a wait of %v, want none", lease.Wait)
				}
			})
		})
	}
}

func TestRequestsWaitForLongPrefillsOfOtherRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBalancer(4)
		prefills := []CachedPart{
			{
				Part:   7,
				Server: placement.IDHash("p-2"),
			},
		}
		b.ReceivePrefills(prefills)
		lease := acquire(t, b, longPrompt(7))
		if want := initialMaxPrefill; lease.Backend.ID != "p-2" || lease.Wait != want || lease.PrefillDone != nil {
			t.Errorf("got %s and a wait of %v, want p-2 and %v", lease.Backend.ID, lease.Wait, want)
		}
		if lease := acquire(t, b, prompt(7)); lease.Wait > 0 {
			t.Errorf("a short prompt: got a wait of %v, want none", lease.Wait)
		}
		time.Sleep(initialMaxPrefill)
		b.ReceivePrefills(prefills)
		if lease := acquire(t, b, longPrompt(7)); lease.Wait > 0 {
			t.Errorf("after the prefill: got a wait of %v, want none", lease.Wait)
		}
	})
}

// TestPrefillsAreDropped starts more prefills than are remembered, none of which ends, and checks
// that expired ones are dropped.
func TestPrefillsAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBalancer(4)
		for key := range uint64(3 * maxPrefills) {
			acquire(t, b, longPrompt(key))
		}
		if got := len(b.prefills); got > maxPrefills {
			t.Errorf("got %d prefills, want at most %d", got, maxPrefills)
		}
		time.Sleep(maxWait + time.Millisecond)
		acquire(t, b, longPrompt(1<<40))
		if got := len(b.prefills); got > 1 {
			t.Errorf("got %d prefills after the others expired, want the newest alone", got)
		}
	})
}
