package claims

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/slipwick/slipwick"
)

// attempt is one sending of a keyed request by a caller.
type attempt struct {
	key string
	id  int
}

// ending is what the caller was told. Earlier says that it tells of an
// earlier sending.
type ending struct {
	outcome slipwick.Outcome
	earlier bool
}

// history records what callers were told and what ran.
type history struct {
	mu         sync.Mutex
	operations []porcupine.Operation
	ran        map[int]int
	runs       map[string]int
	started    time.Time
}

func (h *history) run(a attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ran[a.id]++
	h.runs[a.key]++
}

func (h *history) add(a attempt, began time.Time, told ending) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: a.id,
		Input:    a,
		Call:     began.Sub(h.started).Nanoseconds(),
		Output:   told,
		Return:   time.Since(h.started).Nanoseconds(),
	})
}

// told counts the operations by outcome.
func (h *history) told() map[slipwick.Outcome]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := make(map[slipwick.Outcome]int)
	for _, operation := range h.operations {
		counts[operation.Output.(ending).outcome]++
	}
	return counts
}

// violations checks the engines' own record, and the history as a whole.
func (h *history) violations() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var found []string
	for key, runs := range h.runs {
		if runs > 1 {
			found = append(found, fmt.Sprintf("key %s ran %d times", key, runs))
		}
	}
	for _, operation := range h.operations {
		a, told := operation.Input.(attempt), operation.Output.(ending)
		if told.outcome == slipwick.OutcomeNotRun && h.ran[a.id] > 0 {
			found = append(found, fmt.Sprintf("attempt %d was told not-run and ran", a.id))
		}
	}
	if !porcupine.CheckOperations(model.ToModel(), h.operations) {
		found = append(found, "the history is not linearizable")
	}
	return found
}

// keyState is what a key's request has come to.
type keyState struct {
	ran     bool
	outcome slipwick.Outcome
}

// model says what callers may be told of one key, in some order of the
// attempts that fits their times.
var model = porcupine.NondeterministicModel{
	Partition: func(operations []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, operation := range operations {
			key := operation.Input.(attempt).key
			byKey[key] = append(byKey[key], operation)
		}
		var partitions [][]porcupine.Operation
		for _, partition := range byKey {
			partitions = append(partitions, partition)
		}
		return partitions
	},
	Init: func() []any { return []any{keyState{}} },
	Step: func(state, _, output any) []any {
		return step(state.(keyState), output.(ending))
	},
}

func step(state keyState, told ending) []any {
	after := keyState{
		ran:     true,
		outcome: told.outcome,
	}
	switch {
	case told.outcome == slipwick.OutcomeNotRun:
		return []any{state}
	case told.outcome == slipwick.OutcomeUnknown && state.ran:
		return []any{state}
	case told.outcome == slipwick.OutcomeUnknown:
		return []any{state, after}
	case told.earlier && state.ran && state.outcome == told.outcome:
		return []any{state}
	case !told.earlier && !state.ran:
		return []any{after}
	default:
		return nil
	}
}

// schedule is one random run.
type schedule struct {
	seed                   uint64
	routers, keys, resends int
	pauses, kills, views   int
	outage, slow           bool
	lostAnswers, lateWrite float64
	lose, double           float64
	// plant puts a fault in.
	plant func(f *fleet)
	// misreport has a router say not-run after it sent the request.
	misreport bool
}

func drawSchedule(t *rapid.T) schedule {
	share := func(name string) float64 { return float64(rapid.IntRange(0, 3).Draw(t, name)) / 10 }
	return schedule{
		seed:        rapid.Uint64().Draw(t, "seed"),
		routers:     rapid.IntRange(2, 4).Draw(t, "routers"),
		keys:        rapid.IntRange(1, 6).Draw(t, "keys"),
		resends:     rapid.IntRange(1, 4).Draw(t, "resends"),
		pauses:      rapid.IntRange(0, 2).Draw(t, "pauses"),
		kills:       rapid.IntRange(0, 1).Draw(t, "kills"),
		views:       rapid.IntRange(0, 4).Draw(t, "views"),
		outage:      rapid.Bool().Draw(t, "outage"),
		slow:        rapid.Bool().Draw(t, "slow"),
		lostAnswers: share("lost answers"),
		lateWrite:   share("late writes"),
		lose:        share("lost messages"),
		double:      share("doubled messages"),
	}
}

// run runs the schedule on virtual time and gives what it broke.
func (s schedule) run(t *testing.T) (violations []string, told map[slipwick.Outcome]int) {
	synctest.Test(t, func(*testing.T) {
		f := newFleet(s.seed, s.routers, testPolicy())
		h := &history{
			ran:     make(map[int]int),
			runs:    make(map[string]int),
			started: time.Now(),
		}
		f.store.set(func(store *fakeStore) {
			store.loseAnswer, store.late = s.lostAnswers, s.lateWrite
			if s.slow {
				store.slow = 300 * time.Millisecond
			}
		})
		f.mu.Lock()
		f.lose, f.double, f.delay = s.lose, s.double, 20*time.Millisecond
		f.mu.Unlock()
		if s.plant != nil {
			s.plant(f)
		}
		random := rand.New(rand.NewPCG(s.seed, 11))
		var parts sync.WaitGroup
		s.disturb(f, random, &parts)
		s.call(f, h, random, &parts)
		parts.Wait()
		f.stop()
		// Late writes and messages come to nothing before the end.
		time.Sleep(time.Minute)
		violations, told = h.violations(), h.told()
	})
	return violations, told
}

const scheduleLength = 8 * time.Second

func anyTime(random *rand.Rand) time.Duration {
	return time.Duration(random.Int64N(int64(scheduleLength)))
}

// disturb has routers paused, killed and at odds on who they are, and the
// platform down.
func (s schedule) disturb(f *fleet, random *rand.Rand, parts *sync.WaitGroup) {
	later := func(do func()) {
		after := anyTime(random)
		parts.Go(func() {
			time.Sleep(after)
			do()
		})
	}
	for range s.pauses {
		id, length := f.ids[random.IntN(len(f.ids))], anyTime(random)
		later(func() { f.node(id).pauseFor(length) })
	}
	for range s.views {
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

// call has callers send each key several times, through any router, some at
// the same time.
func (s schedule) call(f *fleet, h *history, random *rand.Rand, parts *sync.WaitGroup) {
	id := 0
	for range s.keys {
		after := anyTime(random)
		seed := random.Uint64()
		first := id
		id += s.resends * 2
		parts.Go(func() {
			time.Sleep(after)
			own := rand.New(rand.NewPCG(seed, 1))
			key := newKey(own)
			for i := range s.resends {
				doubled := own.IntN(3) == 0
				a := attempt{
					key: key,
					id:  first + 2*i,
				}
				b := a
				b.id++
				routers := own.Perm(len(f.ids))
				fates := [2]float64{own.Float64(), own.Float64()}
				var pair sync.WaitGroup
				pair.Go(func() { s.send(f, h, a, f.ids[routers[0]], fates[0]) })
				if doubled {
					pair.Go(func() { s.send(f, h, b, f.ids[routers[1]], fates[1]) })
				}
				pair.Wait()
				time.Sleep(time.Duration(own.Int64N(int64(2 * time.Second))))
			}
		})
	}
}

// send is a router's part in one attempt: claim, run, tell.
func (s schedule) send(f *fleet, h *history, a attempt, router string, fate float64) {
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
		h.add(a, began, ending{
			outcome: failure.Outcome,
			earlier: failure.Kind == slipwick.KindKeyUsed,
		})
		return
	}
	n.awake()
	outcome := s.dispatch(h, a, fate)
	if !n.isKilled() {
		n.claims.End(claim, outcome)
	}
	h.add(a, began, ending{
		outcome: outcome,
	})
}

// dispatch sends the request to a backend server that may refuse it, fail, or
// lose the connection before or after it runs.
func (s schedule) dispatch(h *history, a attempt, fate float64) slipwick.Outcome {
	time.Sleep(20 * time.Millisecond)
	switch {
	case fate < 0.2:
		return slipwick.OutcomeNotRun
	case fate < 0.3:
		return slipwick.OutcomeUnknown
	case fate < 0.4:
		h.run(a)
		if s.misreport {
			return slipwick.OutcomeNotRun
		}
		return slipwick.OutcomeUnknown
	case fate < 0.5:
		h.run(a)
		return slipwick.OutcomeFailed
	default:
		h.run(a)
		return slipwick.OutcomeCompleted
	}
}

// TestRandomSchedules checks that nothing a random schedule does makes a key
// run twice, or makes a caller be told what is not true.
func TestRandomSchedules(t *testing.T) {
	schedules := 0
	told := make(map[slipwick.Outcome]int)
	rapid.Check(t, func(r *rapid.T) {
		violations, counts := drawSchedule(r).run(t)
		schedules++
		for outcome, count := range counts {
			told[outcome] += count
		}
		if len(violations) > 0 {
			r.Fatal(strings.Join(violations, "\n"))
		}
	})
	t.Logf("%d schedules, operations by what was told: %v, no violation", schedules, told)
	if schedules >= 1000 && told[slipwick.OutcomeCompleted] < schedules {
		t.Errorf("got %d completed in %d schedules: too few for the checks to mean anything",
			told[slipwick.OutcomeCompleted], schedules)
	}
}

// TestCheckerFindsPlantedFaults checks that the checks above find each of the
// faults that claims are there to prevent.
func TestCheckerFindsPlantedFaults(t *testing.T) {
	const most = 300
	for _, tc := range []struct {
		name  string
		plant func(*schedule)
	}{
		{
			name: "sent before the claim is durable",
			plant: func(s *schedule) {
				s.plant = func(f *fleet) { f.store.set(func(store *fakeStore) { store.forgets = true }) }
			},
		},
		{
			name: "no fence",
			plant: func(s *schedule) {
				s.plant = func(f *fleet) { f.store.set(func(store *fakeStore) { store.unfenced = true }) }
			},
		},
		{
			name:  "not-run after bytes were sent",
			plant: func(s *schedule) { s.misreport = true },
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(most) {
				s := schedule{
					seed:    seed,
					routers: 3,
					keys:    6,
					resends: 4,
					pauses:  2,
					views:   4,
				}
				tc.plant(&s)
				if violations, _ := s.run(t); len(violations) > 0 {
					t.Logf("found by schedule %d: %s", seed, violations[0])
					return
				}
			}
			t.Errorf("got no violation in %d schedules, want the fault to be found", most)
		})
	}
}
