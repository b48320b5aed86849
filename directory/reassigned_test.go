package directory

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
)

// TestServerLeavingAfterRestoreGetsNothing brings about the incident in which
// backend servers got requests 2.2 to 2.9 s after the store had taken that they leave, where
// 2 s are allowed.
//
// The store was away for a moment and came back from a copy some seconds old. It gave the
// revisions since then out again, and routers went by revisions alone. They refused all its
// answers as older than what they knew, until its revisions had caught up; took what had
// vanished meanwhile for entries that lapsed in the outage, and kept it; and a router that
// learnt from another got the encoded answer of the old state, as its revision was that of
// the new one. The log proved it: refusals at all eight routers until one moment, servers
// taken off the lists 1.90 s after it, and two routers, those that had not asked the store,
// which took a list without the leave.
func TestServerLeavingAfterRestoreGetsNothing(t *testing.T) {
	const (
		routers = 8
		// lost is how old the copy is, outage how long the store is away before.
		backupAge, outage = 3 * time.Second, 1500 * time.Millisecond
		// quiet is the time from the store's return to the leave.
		restoredTime = 3300 * time.Millisecond
		// writes are those whose revisions are given out again.
		writes = 3
	)
	for name, tc := range map[string]struct {
		leave func(*modelStore)
		// after are the writes that follow the leave.
		after int
	}{
		"its entry says so, and revisions catch up": {
			leave: func(s *modelStore) { s.put(modelBackends, "a", "leaving") },
			after: writes - 1,
		},
		"its entry goes, and revisions catch up": {
			leave: func(s *modelStore) { s.removeServer("a") },
			after: writes - 1,
		},
		"its entry says so, and revisions stay behind": {
			leave: func(s *modelStore) { s.put(modelBackends, "a", "leaving") },
		},
		"its entry says so, and revisions overtake": {
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
					f.store.put(modelTables, "main", fmt.Sprint(version))
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
				time.Sleep(modelWithin)
				for _, r := range f.routers {
					if r.wouldSend("a") {
						t.Errorf("%s would send to the server that leaves, %v after the store knew", r.self.ID, modelWithin)
					}
				}
			})
		})
	}
}

// TestReassignedRevisionIsEncodedAgain has a router ask another for its list, before
// and after a store has come back from a copy and reached the same revision with other
// changes. In the incident that TestServerLeavingAfterRestoreGetsNothing tells,
// two routers of eight were given the answer that had been encoded before.
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
			Whole:    true,
			Timeline: uint64(timeline + 1),
			Revision: 7,
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
