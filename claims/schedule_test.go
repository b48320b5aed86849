package claims

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/slipwick/slipwick"
)

// schedule describes one random run.
type schedule struct {
	seed uint64
	// sends is how often a caller sends each key.
	routers, keys, sends int
	// pauses and kills count paused and killed routers, viewChanges the changes of a router's view
	// of the fleet.
	pauses, kills, viewChanges int
	outage, slow               bool
	// lostResponses and lateWrites are shares of writes to the store, as in fakeStore; lostMessages
	// and duplicatedMessages are shares of messages between routers, as in fleet.
	lostResponses, lateWrites        float64
	lostMessages, duplicatedMessages float64
	// inject puts a fault in at the start, for the whole run.
	inject func(f *fleet)
	// misreport makes routers report not-run after they sent the request.
	misreport bool
}

func drawSchedule(t *rapid.T) schedule {
	share := func(name string) float64 { return float64(rapid.IntRange(0, 3).Draw(t, name)) / 10 }
	return schedule{
		seed:               rapid.Uint64().Draw(t, "seed"),
		routers:            rapid.IntRange(2, 4).Draw(t, "routers"),
		keys:               rapid.IntRange(1, 6).Draw(t, "keys"),
		sends:              rapid.IntRange(1, 4).Draw(t, "resends"),
		pauses:             rapid.IntRange(0, 2).Draw(t, "pauses"),
		kills:              rapid.IntRange(0, 1).Draw(t, "kills"),
		viewChanges:        rapid.IntRange(0, 4).Draw(t, "views"),
		outage:             rapid.Bool().Draw(t, "outage"),
		slow:               rapid.Bool().Draw(t, "slow"),
		lostResponses:      share("lost answers"),
		lateWrites:         share("late writes"),
		lostMessages:       share("lost messages"),
		duplicatedMessages: share("doubled messages"),
	}
}

// run runs the schedule on virtual time, and returns the violations and the number of operations by
// outcome.
func (s schedule) run(t *testing.T) (violations []string, outcomes map[slipwick.Outcome]int) {
	synctest.Test(t, func(*testing.T) {
		f := newFleet(s.seed, s.routers, testPolicy())
		h := &history{
			runsByAttempt: make(map[int]int),
			runsByKey:     make(map[string]int),
			started:       time.Now(),
		}
		f.store.set(func(store *fakeStore) {
			store.lostResponses, store.lateWrites = s.lostResponses, s.lateWrites
			if s.slow {
				store.maxDelay = 300 * time.Millisecond
			}
		})
		f.mu.Lock()
		f.lostMessages, f.duplicatedMessages, f.maxDelay = s.lostMessages, s.duplicatedMessages, 20*time.Millisecond
		f.mu.Unlock()
		if s.inject != nil {
			s.inject(f)
		}
		random := rand.New(rand.NewPCG(s.seed, 11))
		var tasks sync.WaitGroup
		s.scheduleFaults(f, random, &tasks)
		s.startCallers(f, h, random, &tasks)
		tasks.Wait()
		f.stop()
		// Delayed writes and messages arrive before the synctest bubble ends.
		time.Sleep(time.Minute)
		violations, outcomes = h.violations(), h.outcomes()
	})
	return violations, outcomes
}

const scheduleLength = 8 * time.Second

func anyTime(random *rand.Rand) time.Duration {
	return time.Duration(random.Int64N(int64(scheduleLength)))
}

// scheduleFaults pauses and kills routers, gives them different views of the fleet, and makes the
// store unavailable.
func (s schedule) scheduleFaults(f *fleet, random *rand.Rand, tasks *sync.WaitGroup) {
	later := func(do func()) {
		after := anyTime(random)
		tasks.Go(func() {
			time.Sleep(after)
			do()
		})
	}
	for range s.pauses {
		id, length := f.ids[random.IntN(len(f.ids))], anyTime(random)
		later(func() { f.node(id).pauseFor(length) })
	}
	for range s.viewChanges {
		id, without := f.ids[random.IntN(len(f.ids))], f.ids[random.IntN(len(f.ids))]
		later(func() { f.node(id).claims.SetRouters(routersOf(others(f.ids, without))) })
	}
	for i := range s.kills {
		id := f.ids[i]
		later(func() {
			f.node(id).kill()
			for _, other := range others(f.ids, id) {
				f.node(other).claims.SetRouters(routersOf(others(f.ids, id)))
			}
		})
	}
	if s.outage {
		later(func() {
			f.store.set(func(store *fakeStore) { store.outage = true })
			time.Sleep(2 * time.Second)
			f.store.set(func(store *fakeStore) { store.outage = false })
		})
	}
}

func others(ids []string, without string) []string {
	var kept []string
	for _, id := range ids {
		if id != without {
			kept = append(kept, id)
		}
	}
	return kept
}

// startCallers starts a caller for each key, which sends it several times, through any router and
// sometimes through two at once.
func (s schedule) startCallers(f *fleet, h *history, random *rand.Rand, tasks *sync.WaitGroup) {
	id := 0
	for range s.keys {
		after := anyTime(random)
		seed := random.Uint64()
		first := id
		id += s.sends * 2
		tasks.Go(func() {
			time.Sleep(after)
			callerRandom := rand.New(rand.NewPCG(seed, 1))
			key := newKey(callerRandom)
			for i := range s.sends {
				doubled := callerRandom.IntN(3) == 0
				a := attempt{
					key: key,
					id:  first + 2*i,
				}
				b := a
				b.id++
				routers := callerRandom.Perm(len(f.ids))
				draws := [2]float64{callerRandom.Float64(), callerRandom.Float64()}
				var pair sync.WaitGroup
				pair.Go(func() { s.send(f, h, a, f.ids[routers[0]], draws[0]) })
				if doubled {
					pair.Go(func() { s.send(f, h, b, f.ids[routers[1]], draws[1]) })
				}
				pair.Wait()
				time.Sleep(time.Duration(callerRandom.Int64N(int64(2 * time.Second))))
			}
		})
	}
}

// send is what a router does for one attempt: claim the key, run the request, report the outcome.
func (s schedule) send(f *fleet, h *history, a attempt, router string, draw float64) {
	n := f.node(router)
	if n.isKilled() {
		return
	}
	began := time.Now()
	key, err := n.claims.Policy.ParseKey("w", a.key, time.Now())
	var claim Claim
	if err == nil {
		claim, err = n.claims.Claim(context.Background(), key)
	}
	if err != nil {
		failure, _ := slipwick.AsError(err)
		h.recordResult(a, began, result{
			outcome:     failure.Outcome,
			fromEarlier: failure.Kind == slipwick.KindKeyUsed,
		})
		return
	}
	n.waitWhilePaused()
	outcome := s.dispatch(h, a, draw)
	if !n.isKilled() {
		n.claims.RecordOutcome(claim, outcome)
	}
	h.recordResult(a, began, result{
		outcome: outcome,
	})
}

// dispatch simulates a backend server that may refuse the request, fail, or lose the connection
// before or after it runs.
func (s schedule) dispatch(h *history, a attempt, draw float64) slipwick.Outcome {
	time.Sleep(20 * time.Millisecond)
	switch {
	case draw < 0.2:
		return slipwick.OutcomeNotRun
	case draw < 0.3:
		return slipwick.OutcomeUnknown
	case draw < 0.4:
		h.recordRun(a)
		if s.misreport {
			return slipwick.OutcomeNotRun
		}
		return slipwick.OutcomeUnknown
	case draw < 0.5:
		h.recordRun(a)
		return slipwick.OutcomeFailed
	default:
		h.recordRun(a)
		return slipwick.OutcomeCompleted
	}
}

// TestRandomSchedules checks that no random schedule makes a key run twice or gives a caller a
// wrong outcome.
func TestRandomSchedules(t *testing.T) {
	schedules := 0
	outcomes := make(map[slipwick.Outcome]int)
	rapid.Check(t, func(r *rapid.T) {
		violations, counts := drawSchedule(r).run(t)
		schedules++
		for outcome, count := range counts {
			outcomes[outcome] += count
		}
		if len(violations) > 0 {
			r.Fatal(strings.Join(violations, "\n"))
		}
	})
	t.Logf("%d schedules, operations by outcome: %v, no violation", schedules, outcomes)
	if schedules >= 1000 && outcomes[slipwick.OutcomeCompleted] < schedules {
		t.Errorf("got %d completed operations in %d schedules, want at least one per schedule for meaningful checks",
			outcomes[slipwick.OutcomeCompleted], schedules)
	}
}
