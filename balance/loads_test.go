package balance

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick/placement"
)

// TestLoadBoundIsBelowTheConfiguredBound checks that the bound that a router uses leaves room below
// the configured one for requests that other routers send meanwhile.
func TestLoadBoundIsBelowTheConfiguredBound(t *testing.T) {
	b := New("d")
	for _, factor := range []float64{1.3, 1.4, 1.6, 2, 3} {
		b.SetLoadBound(factor, 3)
		for _, mean := range []float64{0, 1, 5, 20, 60} {
			got, configured := b.loadBound(mean), factor*mean+3
			if got+1 > configured || got < mean+1 {
				t.Errorf("factor %v, mean %v: got a bound of %v, want at least 1 above the mean and 1 below %v",
					factor, mean, got, configured)
			}
		}
	}
}

// TestTightBoundIsKept sends only one prompt to a pool with a low load bound.
func TestTightBoundIsKept(t *testing.T) {
	b := newTestBalancer(6)
	b.SetLoadBound(1.3, 3)
	counts := make(map[string]int)
	for range 120 {
		lease := acquire(t, b, prompt(7))
		b.RecordResponseStart(lease)
		counts[lease.Backend.ID]++
	}
	for id, got := range counts {
		if limit := 1.3*20 + 3; float64(got) > limit {
			t.Errorf("%s: got %d of 120 requests at 6 engines, want at most %v", id, got, limit)
		}
	}
}

func TestPeerCountsTakePrecedenceOverLoadReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBalancer(2)
		lease := acquire(t, b, prompt(7))
		b.RecordLoad(lease, Load{
			Running: 50,
		})
		b.SetPeers([]string{"r2"}, 1)
		b.ReceiveCounts("r2", 5, []InFlight{
			{
				Server: placement.IDHash(lease.Backend.ID),
				Count:  1,
			},
		})
		b.ReceiveCounts("r2", 4, nil)
		load := func() float64 {
			b.mu.Lock()
			defer b.mu.Unlock()
			loads := b.loadsLocked([]*server{lease.server}, time.Now())
			return loads[0]
		}
		if got := load(); got != 2 {
			t.Errorf("with the counts of all peers: got load %v, want 2", got)
		}
		time.Sleep(remoteCountsTTL + time.Millisecond)
		if got := load(); got != 50 {
			t.Errorf("with old counts: got load %v, want the reported 50", got)
		}
		time.Sleep(loadReportTTL)
		if got := load(); got != 1 {
			t.Errorf("with an old report as well: got load %v, want the router's own 1", got)
		}
	})
}
