package directory

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
)

// TestServerLeavingAfterRestoreGetsNothing reproduces an incident in which backend servers got
// requests 2.2 to 2.9 s after the store had acknowledged that they were leaving, with 2 s allowed.
//
// After a short outage the store was restored from a backup some seconds old and assigned the
// revisions since then again, while routers compared revisions only. That had three effects.
// Routers rejected all its responses as older than what they knew, until its revisions had caught up.
// Routers took the entries removed in the meantime for expired in the outage and kept them. A
// router that learnt from another one got the encoded response of the old state, which had the same
// revision as the new one. The logs confirmed it: all eight routers rejected responses up to the same
// moment and dropped the servers 1.90 s later, and the two routers that had not asked the store
// took a list in which the server was not leaving.
func TestServerLeavingAfterRestoreGetsNothing(t *testing.T) {
	const (
		routers = 8
		// backupAge is how old the backup is, outage how long the store is down before the
		// restore.
		backupAge, outage = 3 * time.Second, 1500 * time.Millisecond
		// restoredTime is the time from the restore until the server leaves.
		restoredTime = 3300 * time.Millisecond
		// writes is the number of writes after the backup, whose revisions are assigned again.
		writes = 3
	)
	for name, tc := range map[string]struct {
		leave func(*modelStore)
		// after is the number of writes that follow the leave.
		after int
	}{
		"announced, revisions catch up": {
			leave: func(s *modelStore) { s.put(modelBackends, "a", "leaving") },
			after: writes - 1,
		},
		"entry removed, revisions catch up": {
			leave: func(s *modelStore) { s.removeServer("a") },
			after: writes - 1,
		},
		"announced, revisions stay behind": {
			leave: func(s *modelStore) { s.put(modelBackends, "a", "leaving") },
		},
		"announced, revisions overtake": {
			leave: func(s *modelStore) { s.put(modelBackends, "a", "leaving") },
			after: writes + 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newModelFleet(routers)
				version := 0
				newVersion := func() {
					version++
					f.store.put(modelConfigs, "main", fmt.Sprint(version))
				}
				newVersion()
				for _, id := range []string{"a", "b", "c"} {
					f.store.put(modelBackends, id, "ready")
				}
				f.start(t)
				time.Sleep(5 * time.Second)
				backupTime := time.Now()
				for range writes {
					time.Sleep(backupAge / (writes + 1))
					newVersion()
				}
				time.Sleep(backupAge / (writes + 1))
				f.store.setDown(true)
				time.Sleep(outage)
				f.store.restore(backupTime)
				time.Sleep(restoredTime)
				tc.leave(f.store)
				for range tc.after {
					time.Sleep(40 * time.Millisecond)
					newVersion()
				}
				time.Sleep(modelPropagationTime)
				for _, r := range f.routers {
					if r.wouldSend("a") {
						t.Errorf("%s would send to the leaving server %v after its leave was stored", r.self.ID, modelPropagationTime)
					}
				}
			})
		})
	}
}

// TestReassignedRevisionIsEncodedAgain has a router list from another one before and after the
// store was restored from a backup and reached the same revision with other changes. In the
// incident of TestServerLeavingAfterRestoreGetsNothing two routers of eight were sent the response
// that had been encoded before the restore.
func TestReassignedRevisionIsEncodedAgain(t *testing.T) {
	mirror := NewMirror()
	relay := &RelayClient{
		Address:  "other",
		FeedName: "f",
		HTTP: &http.Client{
			Transport: &handlerTransport{
				to: &RelayServer{
					Mirrors: map[string]*Mirror{
						"f": mirror,
					},
				},
			},
		},
	}
	for timeline, value := range []string{"ready", "leaving"} {
		mirror.Apply(&slipwick.FeedBatch{
			IsSnapshot: true,
			Timeline:   uint64(timeline + 1),
			Revision:   7,
			Entries: []slipwick.FeedEntry{
				{
					Name:  "a",
					Value: []byte(value),
				},
			},
		})
		got, err := relay.List(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if len(got.Entries) != 1 || string(got.Entries[0].Value) != value {
			t.Errorf("timeline %d: got %s, want %s", timeline+1, got.Entries[0].Value, value)
		}
	}
}
