package balance

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
)

// TestPausedRequestsAreNoSilence guards against a backend server that counts as unresponsive, or a pool
// whose gaps count as long, because callers don't read.
func TestPausedRequestsAreNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("near")
		b.SetBackends([]Entry{
			{
				Backend: slipwick.Backend{
					ID:      "b1",
					Address: "127.0.0.1:1",
				},
				Pool: "p",
			},
		})
		acquire := func() *Lease {
			lease, err := b.Acquire(&Request{
				Pool: "p",
			})
			if err != nil {
				t.Fatal(err)
			}
			b.RecordSend(lease)
			b.RecordResponseStart(lease)
			return lease
		}
		paused := acquire()
		b.PauseForCaller(paused)
		b.PauseForCaller(paused)
		time.Sleep(maxSilence + time.Second)
		if b.States()[0].Unresponsive {
			t.Error("got an unresponsive server while its only caller stalls, want it responsive")
		}
		busy := acquire()
		if b.States()[0].Unresponsive {
			t.Error("got an unresponsive server right after a request was sent, want it responsive")
		}
		time.Sleep(maxSilence + time.Second)
		if !b.States()[0].Unresponsive {
			t.Error("got a responsive server that sends nothing for a request that is read, want it unresponsive")
		}
		b.Release(busy, slipwick.EvidenceNone)
		b.ResumeForCaller(paused)
		b.RecordProgress(paused)
		if got := paused.longestGap; got != 0 {
			t.Errorf("got a gap of %v, want none: the caller caused it", got)
		}
		b.PauseForCaller(paused)
		b.Release(paused, slipwick.EvidenceGood)
		if got := b.servers["b1"]; got.pausedRequests != 0 || got.inFlight != 0 {
			t.Errorf("got %d paused of %d in flight, want 0 of 0", got.pausedRequests, got.inFlight)
		}
	})
}
