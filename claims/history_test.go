package claims

import (
	"fmt"
	"strings"
	"sync"
	"testing"
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
