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
	modelBeat  = DefaultHeartbeat
	modelLapse = 3 * modelBeat
	// modelAgain is within how long of the store's return servers have written again what
	// the copy lacks: their next renewal, somewhat late.
	modelAgain = modelBeat + modelBeat/4
	// modelMoment is how long the store is away when it comes back from a copy: shorter
	// than what routers take for an outage.
	modelMoment = 200 * time.Millisecond
)

// fallBackFleet runs eight routers before the servers a, b and c, and has the store fall
// back to where it stood when the change had not been made.
func fallBackFleet(t *testing.T, change func(*modelStore)) *modelFleet {
	t.Helper()
	f := newModelFleet(8)
	for _, id := range []string{"a", "b", "c"} {
		f.store.put(modelBackends, id, "ready")
	}
	f.start(t)
	time.Sleep(3 * time.Second)
	copied := time.Now()
	time.Sleep(time.Second)
	change(f.store)
	time.Sleep(2 * time.Second)
	f.store.setAway(true)
	time.Sleep(modelMoment)
	f.store.fallBack(copied)
	return f
}

// watchFor looks at all routers again and again for so long.
func (f *modelFleet) watchFor(period time.Duration, look func(*modelRouter)) {
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, r := range f.routers {
			look(r)
		}
	}
}

// TestServerThatTheCopyLacksIsKept has a server start after the copy was made: it writes
// itself again with its next renewal, and serves all the while.
func TestServerThatTheCopyLacksIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fallBackFleet(t, func(s *modelStore) { s.put(modelBackends, "d", "ready") })
		time.AfterFunc(modelAgain, func() { f.store.put(modelBackends, "d", "ready") })
		missed := make(map[string]bool)
		f.watchFor(2*modelAgain, func(r *modelRouter) {
			if !r.sends("d") {
				missed[r.self.ID] = true
			}
		})
		if len(missed) > 0 {
			t.Errorf("got %d routers that gave up a server which the copy lacks, want none", len(missed))
		}
	})
}

// TestServerThatTheCopyLacksAndThatIsGoneIsDropped has that server be gone: nothing
// keeps it longer than what lapses in an outage.
func TestServerThatTheCopyLacksAndThatIsGoneIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fallBackFleet(t, func(s *modelStore) { s.put(modelBackends, "d", "ready") })
		time.Sleep(modelLeave)
		if got := f.sending("d"); got > 0 {
			t.Errorf("got %d routers that would send to a server that is gone, %v after the store's return, want none",
				got, modelLeave)
		}
	})
}

// TestCopyRaisesNoServerThatLeft has a server leave after the copy was made, with and
// without a word of it: the copy says that it is ready, for as long as its server takes to
// say again that it leaves, or the store to drop what nobody renews.
func TestCopyRaisesNoServerThatLeft(t *testing.T) {
	for name, tc := range map[string]struct {
		leave, again func(*modelStore)
		after        time.Duration
	}{
		"its entry says so": {
			leave: func(s *modelStore) { s.put(modelBackends, "a", "leaving") },
			again: func(s *modelStore) { s.put(modelBackends, "a", "leaving") },
			after: modelAgain,
		},
		"its entry is gone": {
			leave: func(s *modelStore) { s.removeServer("a") },
			again: func(s *modelStore) { s.removeServer("a") },
			after: modelLapse,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := fallBackFleet(t, tc.leave)
				time.AfterFunc(tc.after, func() { tc.again(f.store) })
				sent := make(map[string]bool)
				f.watchFor(tc.after+modelLeave, func(r *modelRouter) {
					if r.sends("a") {
						sent[r.self.ID] = true
					}
				})
				if len(sent) > 0 {
					t.Errorf("got %d routers that would send to a server which left, want none", len(sent))
				}
			})
		})
	}
}

// TestServerThatCameBackBeforeTheReturnServesAgain has an entry that lapsed, and whose server
// entered itself again, fall back to before both: what the copy lists was seen to go, and yet
// its server lives. It is in use as soon as a dead one's entry can't be there any more: the
// store drops it after three renewals were missed, counts them anew if it is interrupted, and
// an interruption is noticed if it is longer than some part of a heartbeat.
func TestServerThatCameBackBeforeTheReturnServesAgain(t *testing.T) {
	const within = 2*modelLapse + time.Duration(outageShare*float64(modelBeat)) + modelLeave
	synctest.Test(t, func(t *testing.T) {
		f := fallBackFleet(t, func(s *modelStore) { s.removeServer("c") })
		time.Sleep(within)
		for _, r := range f.routers {
			if !r.sends("c") {
				t.Errorf("%s sends nothing to a server that the store has listed for %v since its return", r.self.ID, within)
			}
		}
	})
}

// TestFleetKnowsSoonAfterAShortSilence has the store away for a moment, and come back from a
// copy or with all it had. Routers must know what changed on its return in half of the time
// allowed: the other half is for busy boxes and slow links.
//
// What was seen: routers that followed the store took each other's copies, as old as the
// silence, for a sign that it still reached the other, and left it alone until these were too
// old: 1.3 to 1.8 s, of 2 s allowed.
func TestFleetKnowsSoonAfterAShortSilence(t *testing.T) {
	for _, routers := range []int{8, 80} {
		for _, silence := range []time.Duration{50 * time.Millisecond, modelMoment, 800 * time.Millisecond} {
			for _, copied := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d routers, %v, from a copy %t", routers, silence, copied), func(t *testing.T) {
					for phase := range 5 {
						synctest.Test(t, func(t *testing.T) {
							f := newModelFleet(routers)
							f.store.put(modelBackends, "a", "ready")
							f.start(t)
							// Watches of the store wait for four tenths of the time allowed.
							time.Sleep(3*time.Second + time.Duration(phase)*modelLeave/10)
							if copied {
								// The leave gets the revision of what is lost, and a watch from
								// there waits in vain.
								f.store.put(modelTables, "main", "1")
								time.Sleep(modelLeave / 2)
							}
							f.beSilent(silence, copied)
							f.store.put(modelBackends, "a", "leaving")
							time.Sleep(modelLeave / 2)
							if got := f.sending("a"); got > 0 {
								t.Errorf("phase %d: got %d routers that do not know the leave %v after the store's return, want none",
									phase, got, modelLeave/2)
							}
						})
					}
				})
			}
		}
	}
}

// beSilent has the store away for so long; it comes back with all that it had, or from a copy.
func (f *modelFleet) beSilent(silence time.Duration, copied bool) {
	f.store.setAway(true)
	time.Sleep(silence)
	f.store.setAway(false)
	if copied {
		f.store.fallBack(time.Now().Add(-2 * time.Second))
	}
}

// sending counts the routers that would send to a server.
func (f *modelFleet) sending(id string) (count int) {
	for _, r := range f.routers {
		if r.sends(id) {
			count++
		}
	}
	return count
}

// TestConfigurationOfACopyIsNotTaken has the store come back from a copy that holds an older
// configuration, with a key that was taken away since. A router that starts before the newest
// is written again learns it from the others, through routers that follow the store.
func TestConfigurationOfACopyIsNotTaken(t *testing.T) {
	const newest = "3"
	synctest.Test(t, func(t *testing.T) {
		f := newModelFleet(8)
		f.store.put(modelTables, "main", "1")
		f.start(t)
		time.Sleep(3 * time.Second)
		copied := time.Now()
		for _, version := range []string{"2", newest} {
			time.Sleep(time.Second)
			f.store.put(modelTables, "main", version)
		}
		time.Sleep(modelLeave)
		f.store.setAway(true)
		time.Sleep(modelMoment)
		f.store.fallBack(copied)
		time.Sleep(modelLeave)
		f.startOne("late")
		time.Sleep(modelLeave)
		for _, r := range f.routers {
			if got := r.version(); got != newest {
				t.Errorf("%s: got version %s in force, want %s", r.self.ID, got, newest)
			}
			batch, err := r.served.Mirrors[modelTables].List(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if got := string(batch.Entries[0].Value); got != newest {
				t.Errorf("%s: got version %s for others, want %s", r.self.ID, got, newest)
			}
		}
		f.store.put(modelTables, "main", "4")
		time.Sleep(modelLeave)
		for _, r := range f.routers {
			if got, want := r.version(), "4"; got != want {
				t.Errorf("%s: got version %s after a newer one, want %s", r.self.ID, got, want)
			}
		}
	})
}

// TestCopyRaisesNoEarlierLife has routers start after a server was replaced under its ID, and
// the store come back from a copy of before, which lists the life that they never knew. What
// was seen in the soak: a server that had said in an answer that it leaves got one request more
// of each of two gateways, as the copy named an earlier life, to which that word did not belong.
func TestCopyRaisesNoEarlierLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newModelFleet(8)
		f.store.put(modelBackends, "a", modelEntry("ready", 1))
		time.Sleep(time.Second)
		copied := time.Now()
		time.Sleep(time.Second)
		f.store.put(modelBackends, "a", modelEntry("ready", 2))
		f.start(t)
		time.Sleep(time.Second)
		f.store.setAway(true)
		time.Sleep(modelMoment)
		f.store.fallBack(copied)
		time.AfterFunc(modelAgain, func() { f.store.put(modelBackends, "a", modelEntry("ready", 2)) })
		sent := make(map[string]bool)
		f.watchFor(modelAgain+modelLeave, func(r *modelRouter) {
			if r.sendsTo("a", 1) {
				sent[r.self.ID] = true
			}
		})
		if len(sent) > 0 {
			t.Errorf("got %d routers that would send to a life which is over, want none", len(sent))
		}
		for _, r := range f.routers {
			if !r.sendsTo("a", 2) {
				t.Errorf("%s sends nothing to the life that wrote itself again", r.self.ID)
			}
		}
	})
}
