package directory

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// modelBeat is how often servers renew their entries, modelLapse after how long the
	// store drops one that is not renewed.
	modelHeartbeat = DefaultHeartbeat
	modelExpiry    = 3 * modelHeartbeat
	// modelAgain is within how long of the store's return servers have written again what
	// the copy lacks: their next renewal, somewhat late.
	modelRewriteTime = modelHeartbeat + modelHeartbeat/4
	// modelMoment is how long the store is away when it comes back from a copy: shorter
	// than what routers take for an outage.
	modelShortOutage = 200 * time.Millisecond
)

// fallBackFleet runs eight routers before the servers a, b and c, and has the store fall
// back to where it stood when the change had not been made.
func newRestoredFleet(t *testing.T, change func(*modelStore)) *modelFleet {
	t.Helper()
	f := newModelFleet(8)
	for _, id := range []string{"a", "b", "c"} {
		f.store.put(modelBackends, id, "ready")
	}
	f.start(t)
	time.Sleep(3 * time.Second)
	backupTime := time.Now()
	time.Sleep(time.Second)
	change(f.store)
	time.Sleep(2 * time.Second)
	f.store.setDown(true)
	time.Sleep(modelShortOutage)
	f.store.restore(backupTime)
	return f
}

// watchFor looks at all routers again and again for so long.
func (f *modelFleet) pollRouters(period time.Duration, visit func(*modelRouter)) {
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, r := range f.routers {
			visit(r)
		}
	}
}

// TestServerMissingFromBackupIsKept has a server start after the copy was made: it writes
// itself again with its next renewal, and serves all the while.
func TestServerMissingFromBackupIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestoredFleet(t, func(s *modelStore) { s.put(modelBackends, "d", "ready") })
		time.AfterFunc(modelRewriteTime, func() { f.store.put(modelBackends, "d", "ready") })
		droppedBy := make(map[string]bool)
		f.pollRouters(2*modelRewriteTime, func(r *modelRouter) {
			if !r.wouldSend("d") {
				droppedBy[r.self.ID] = true
			}
		})
		if len(droppedBy) > 0 {
			t.Errorf("got %d routers that gave up a server which the copy lacks, want none", len(droppedBy))
		}
	})
}

// TestStoppedServerMissingFromBackupIsDropped has that server be gone: nothing
// keeps it longer than what lapses in an outage.
func TestStoppedServerMissingFromBackupIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestoredFleet(t, func(s *modelStore) { s.put(modelBackends, "d", "ready") })
		time.Sleep(modelWithin)
		if got := f.countSending("d"); got > 0 {
			t.Errorf("got %d routers that would send to a server that is gone, %v after the store's return, want none",
				got, modelWithin)
		}
	})
}

// TestDepartedServerInBackupGetsNothing has a server leave after the copy was made, with and
// without a word of it: the copy says that it is ready, for as long as its server takes to
// say again that it leaves, or the store to drop what nobody renews.
func TestDepartedServerInBackupGetsNothing(t *testing.T) {
	for name, tc := range map[string]struct {
		leave, again func(*modelStore)
		after        time.Duration
	}{
		"its entry says so": {
			leave: func(s *modelStore) { s.put(modelBackends, "a", "leaving") },
			again: func(s *modelStore) { s.put(modelBackends, "a", "leaving") },
			after: modelRewriteTime,
		},
		"its entry is gone": {
			leave: func(s *modelStore) { s.removeServer("a") },
			again: func(s *modelStore) { s.removeServer("a") },
			after: modelExpiry,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRestoredFleet(t, tc.leave)
				time.AfterFunc(tc.after, func() { tc.again(f.store) })
				senders := make(map[string]bool)
				f.pollRouters(tc.after+modelWithin, func(r *modelRouter) {
					if r.wouldSend("a") {
						senders[r.self.ID] = true
					}
				})
				if len(senders) > 0 {
					t.Errorf("got %d routers that would send to a server which left, want none", len(senders))
				}
			})
		})
	}
}

// TestServerBackBeforeRestoreIsUsedAgain has an entry that lapsed, and whose server
// entered itself again, fall back to before both: what the copy lists was seen to go, and yet
// its server lives. It is in use as soon as a dead one's entry can't be there any more: the
// store drops it after three renewals were missed, counts them anew if it is interrupted, and
// an interruption is noticed if it is longer than some part of a heartbeat.
func TestServerBackBeforeRestoreIsUsedAgain(t *testing.T) {
	const within = 2*modelExpiry + time.Duration(outageShare*float64(modelHeartbeat)) + modelWithin
	synctest.Test(t, func(t *testing.T) {
		f := newRestoredFleet(t, func(s *modelStore) { s.removeServer("c") })
		time.Sleep(within)
		for _, r := range f.routers {
			if !r.wouldSend("c") {
				t.Errorf("%s sends nothing to a server that the store has listed for %v since its return", r.self.ID, within)
			}
		}
	})
}

// TestChangeIsKnownSoonAfterShortOutage has the store away for a moment, and come back from a
// copy or with all it had. Routers must know what changed on its return in half of the time
// allowed: the other half is for busy boxes and slow links.
//
// What was seen: routers that followed the store took each other's copies, as old as the
// silence, for a sign that it still reached the other, and left it alone until these were too
// old: 1.3 to 1.8 s, of 2 s allowed.
func TestChangeIsKnownSoonAfterShortOutage(t *testing.T) {
	for _, routers := range []int{8, 80} {
		for _, outage := range []time.Duration{50 * time.Millisecond, modelShortOutage, 800 * time.Millisecond} {
			for _, isRestored := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d routers, %v, from a copy %t", routers, outage, isRestored), func(t *testing.T) {
					for phase := range 5 {
						synctest.Test(t, func(t *testing.T) {
							f := newModelFleet(routers)
							f.store.put(modelBackends, "a", "ready")
							f.start(t)
							// Watches of the store wait for four tenths of the time allowed.
							time.Sleep(3*time.Second + time.Duration(phase)*modelWithin/10)
							if isRestored {
								// The leave gets the revision of what is lost, and a watch from
								// there waits in vain.
								f.store.put(modelTables, "main", "1")
								time.Sleep(modelWithin / 2)
							}
							f.interruptStore(outage, isRestored)
							f.store.put(modelBackends, "a", "leaving")
							time.Sleep(modelWithin / 2)
							if got := f.countSending("a"); got > 0 {
								t.Errorf("phase %d: got %d routers that do not know the leave %v after the store's return, want none",
									phase, got, modelWithin/2)
							}
						})
					}
				})
			}
		}
	}
}

// beSilent has the store away for so long; it comes back with all that it had, or from a copy.
func (f *modelFleet) interruptStore(outage time.Duration, isRestored bool) {
	f.store.setDown(true)
	time.Sleep(outage)
	f.store.setDown(false)
	if isRestored {
		f.store.restore(time.Now().Add(-2 * time.Second))
	}
}

// sending counts the routers that would send to a server.
func (f *modelFleet) countSending(id string) (count int) {
	for _, r := range f.routers {
		if r.wouldSend(id) {
			count++
		}
	}
	return count
}

// TestOlderConfigurationInBackupIsIgnored has the store come back from a copy that holds an older
// configuration, with a key that was taken away since. A router that starts before the newest
// is written again learns it from the others, through routers that follow the store.
func TestOlderConfigurationInBackupIsIgnored(t *testing.T) {
	const newest = "3"
	synctest.Test(t, func(t *testing.T) {
		f := newModelFleet(8)
		f.store.put(modelTables, "main", "1")
		f.start(t)
		time.Sleep(3 * time.Second)
		backupTime := time.Now()
		for _, version := range []string{"2", newest} {
			time.Sleep(time.Second)
			f.store.put(modelTables, "main", version)
		}
		time.Sleep(modelWithin)
		f.store.setDown(true)
		time.Sleep(modelShortOutage)
		f.store.restore(backupTime)
		time.Sleep(modelWithin)
		f.startRouter("late")
		time.Sleep(modelWithin)
		for _, r := range f.routers {
			if got := r.version(); got != newest {
				t.Errorf("%s: got version %s in force, want %s", r.self.ID, got, newest)
			}
			batch, err := r.relayServer.Mirrors[modelTables].List(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if got := string(batch.Entries[0].Value); got != newest {
				t.Errorf("%s: got version %s for others, want %s", r.self.ID, got, newest)
			}
		}
		f.store.put(modelTables, "main", "4")
		time.Sleep(modelWithin)
		for _, r := range f.routers {
			if got, want := r.version(), "4"; got != want {
				t.Errorf("%s: got version %s after a newer one, want %s", r.self.ID, got, want)
			}
		}
	})
}

// TestEarlierIncarnationInBackupGetsNothing has routers start after a server was replaced under its ID, and
// the store come back from a copy of before, which lists the life that they never knew. What
// was seen in the soak: a server that had said in an answer that it leaves got one request more
// of each of two gateways, as the copy named an earlier life, to which that word did not belong.
func TestEarlierIncarnationInBackupGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newModelFleet(8)
		f.store.put(modelBackends, "a", modelEntry("ready", 1))
		time.Sleep(time.Second)
		backupTime := time.Now()
		time.Sleep(time.Second)
		f.store.put(modelBackends, "a", modelEntry("ready", 2))
		f.start(t)
		time.Sleep(time.Second)
		f.store.setDown(true)
		time.Sleep(modelShortOutage)
		f.store.restore(backupTime)
		time.AfterFunc(modelRewriteTime, func() { f.store.put(modelBackends, "a", modelEntry("ready", 2)) })
		senders := make(map[string]bool)
		f.pollRouters(modelRewriteTime+modelWithin, func(r *modelRouter) {
			if r.wouldSendTo("a", 1) {
				senders[r.self.ID] = true
			}
		})
		if len(senders) > 0 {
			t.Errorf("got %d routers that would send to a life which is over, want none", len(senders))
		}
		for _, r := range f.routers {
			if !r.wouldSendTo("a", 2) {
				t.Errorf("%s sends nothing to the life that wrote itself again", r.self.ID)
			}
		}
	})
}
