package directory

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick/balance"
)

// interruption is a time, in heartbeats after a restore, in which the store may have been interrupted.
type interruption struct {
	from, to float64
}

// TestSuspicionOutlastsRemoval has the store interrupted for less than an outage after a restore, and
// each interruption restart the expiry time of the entries that are still listed. Entries that nobody
// renews are never trusted before the store has removed them, and others no later than eight
// heartbeats after the restore if the interruptions delay no removal beyond that.
func TestSuspicionOutlastsRemoval(t *testing.T) {
	for name, tc := range map[string]struct {
		interruptions []interruption
		wantEnd       float64
	}{
		"none": {
			wantEnd: expiryHeartbeats,
		},
		"before the removal": {
			interruptions: []interruption{
				{
					from: 2.9,
					to:   3.5,
				},
			},
			wantEnd: expiryHeartbeats,
		},
		"after the removal": {
			interruptions: []interruption{
				{
					from: 7,
					to:   8,
				},
			},
			wantEnd: expiryHeartbeats,
		},
		"again before each delayed removal": {
			interruptions: []interruption{
				{
					from: 2.5,
					to:   3.5,
				},
				{
					from: 6,
					to:   7,
				},
			},
			wantEnd: 7 + lapseHeartbeats + 1.0/removalDivisor,
		},
	} {
		t.Run(name, func(t *testing.T) {
			begin := time.Unix(0, 0)
			after := func(heartbeats float64) time.Time {
				return begin.Add(time.Duration(heartbeats * float64(modelHeartbeat)))
			}
			var s suspicion
			s.begin(begin, modelHeartbeat)
			for _, i := range tc.interruptions {
				s.interrupt(after(i.from), after(i.to), modelHeartbeat)
			}
			if got, want := s.end(modelHeartbeat), after(tc.wantEnd); !got.Equal(want) {
				t.Errorf("got trust %v after the restore, want %v", got.Sub(begin), want.Sub(begin))
			}
		})
	}
}

// TestSuspicionEndsInTimeThoughRouterWasCutOff has one router's calls fail after a restore while the
// store responds to others. It guards against the failure that the router treated this as an
// interruption of the store, and sent nothing to live servers for eight more heartbeats.
func TestSuspicionEndsInTimeThoughRouterWasCutOff(t *testing.T) {
	for name, tc := range map[string]struct {
		stableFor func(sinceRestore time.Duration) time.Duration
		wantSends bool
	}{
		"others know that the store responded throughout": {
			stableFor: func(sinceRestore time.Duration) time.Duration { return sinceRestore },
			wantSends: true,
		},
		"nobody knows": {
			stableFor: func(time.Duration) time.Duration { return 0 },
			wantSends: false,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &modelRouter{
					listed: make(map[string]string),
				}
				b := NewBackends(r.applyBackends)
				b.RecordResponse(0, 0)
				b.Apply([]Change[balance.Entry]{backendChange("a", false)})
				b.Apply([]Change[balance.Entry]{backendChange("a", true)})
				restoredAt := time.Now()
				b.StoreRestored(0, 0)
				b.RecordResponse(0, 0)
				b.Apply([]Change[balance.Entry]{backendChange("a", false)})
				const cutFor = 4 * modelHeartbeat
				time.Sleep(modelHeartbeat)
				b.RecordFailure()
				time.Sleep(cutFor)
				b.RecordFailure()
				for time.Since(restoredAt) < expiryHeartbeats*modelHeartbeat+modelHeartbeat/2 {
					b.RecordResponse(0, tc.stableFor(time.Since(restoredAt)))
					time.Sleep(modelHeartbeat / 2)
				}
				if got, want := r.wouldSend("a"), tc.wantSends; got != want {
					t.Errorf("got requests sent: %v, want %v", got, want)
				}
				time.Sleep(2 * expiryHeartbeats * modelHeartbeat)
			})
		})
	}
}
