package quarantine

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/slipwick/slipwick"
)

// The simulated load is that of an incident: one request came ten times a second for a quarter of a
// minute, at 18 engines that served 90 other requests a second, some of which ran for seconds.
const (
	simulatedEngines        = 18
	otherRequestInterval    = 11 * time.Millisecond
	simulatedTime           = 16 * time.Second
	crashingRequestInterval = 100 * time.Millisecond
	// timeToCrash is how long the crashing request runs until its engine crashes, restartTime how
	// long the engine then takes to restart, crashDetectionDelay how late a router sees a crash, and
	// firstEventDelay how long a request runs until the first event of its response. A crash later
	// than crashWindow after that event is not counted against the request, as in the gateway, whose
	// constant has the same name.
	timeToCrash         = 80 * time.Millisecond
	restartTime         = 3 * time.Second
	crashDetectionDelay = 30 * time.Millisecond
	firstEventDelay     = 60 * time.Millisecond
	crashWindow         = 500 * time.Millisecond
	meanRunTime         = 800 * time.Millisecond
	// maxAttempts is how often a router attempts a request before it fails, maxCallerTries how often
	// a caller sends it.
	maxAttempts    = 2
	maxCallerTries = 2
)

// simulation runs requests at engines, on a simulated clock.
type simulation struct {
	random    *rand.Rand
	tracker   *Tracker
	now       time.Duration
	scheduled callQueue
	// engines are the incarnations of the engines; 0 is an engine that is restarting.
	// started counts the incarnations started so far.
	engines    [simulatedEngines]int64
	started    int64
	running    map[*execution]bool
	crashes    int
	completed  int
	executions int
}

// execution is one attempt of a request at one engine.
type execution struct {
	key    Key
	engine int
	began  time.Duration
	// attempts counts the router's earlier attempts since the caller last sent the request,
	// callerTries the earlier times that the caller sent it.
	attempts    int
	callerTries int
	attempt     *Attempt
	// number is the position of this execution in the order in which they began.
	number int
}

const crashingKey Key = 1

func (s *simulation) schedule(after time.Duration, do func()) {
	heap.Push(&s.scheduled, scheduledCall{
		at: s.now + after,
		do: do,
	})
}

// send sends a request to a running engine, unless it is quarantined.
func (s *simulation) send(e execution) {
	engine := s.random.IntN(simulatedEngines)
	for s.engines[engine] == 0 {
		engine = (engine + 1) % simulatedEngines
	}
	s.executions++
	e.engine, e.began, e.number = engine, s.now, s.executions
	attempt, ok := s.tracker.Begin(e.key, &slipwick.Backend{
		ID:        fmt.Sprint(engine),
		StartTime: s.engines[engine],
	}, false, func() { delete(s.running, &e) })
	if !ok {
		return
	}
	e.attempt = attempt
	s.running[&e] = true
	after := time.Duration(s.random.ExpFloat64() * float64(meanRunTime))
	if e.key == crashingKey {
		after = timeToCrash
	}
	s.schedule(after, func() {
		if !s.running[&e] {
			return
		}
		if e.key == crashingKey {
			s.crash(e.engine)
			return
		}
		delete(s.running, &e)
		e.attempt.End(OutcomeCompleted)
		s.completed++
	})
}

// crash crashes an engine and retries everything that ran there.
func (s *simulation) crash(engine int) {
	s.crashes++
	s.engines[engine] = 0
	s.schedule(restartTime, func() {
		s.started++
		s.engines[engine] = s.started * 10_000
	})
	executions := make([]*execution, 0, len(s.running))
	for e := range s.running {
		if e.engine == engine {
			executions = append(executions, e)
		}
	}
	// Sorted by arrival, because map order would make runs of one seed differ.
	slices.SortFunc(executions, func(a, b *execution) int {
		return cmp.Or(cmp.Compare(a.began, b.began), cmp.Compare(a.number, b.number))
	})
	for _, e := range executions {
		delete(s.running, e)
		outcome := OutcomeCrashed
		if e.key != crashingKey && s.now-e.began > firstEventDelay+crashWindow {
			outcome = OutcomeInconclusive
		}
		s.schedule(crashDetectionDelay, func() { e.attempt.End(outcome) })
		retry := *e
		retry.attempts++
		if retry.attempts >= maxAttempts {
			retry.attempts, retry.callerTries = 0, retry.callerTries+1
		}
		if retry.callerTries < maxCallerTries {
			s.schedule(crashDetectionDelay/2, func() { s.send(retry) })
		}
	}
}

// run sends the crashing request and the others until all have ended. It returns how many of the
// others were quarantined, how many have two crashes or more without being quarantined, and how many
// there were.
func (s *simulation) run() (quarantined, twice, others int) {
	for engine := range s.engines {
		s.started++
		s.engines[engine] = s.started * 10_000
	}
	for at := time.Duration(0); at < simulatedTime; at += otherRequestInterval {
		key := Key(s.random.Uint64()) + 2
		others++
		s.schedule(at, func() {
			s.send(execution{
				key: key,
			})
		})
	}
	for at := time.Second; at < simulatedTime; at += crashingRequestInterval {
		s.schedule(at, func() {
			s.send(execution{
				key: crashingKey,
			})
		})
	}
	for len(s.scheduled) > 0 {
		next := heap.Pop(&s.scheduled).(scheduledCall)
		s.now = next.at
		next.do()
	}
	for _, key := range s.tracker.records.Keys() {
		r, _ := s.tracker.records.Peek(key)
		switch {
		case key == crashingKey:
		case r.quarantined:
			quarantined++
		case len(r.crashes) >= 2:
			twice++
		}
	}
	return quarantined, twice, others
}

func newSimulation(seed uint64) *simulation {
	return &simulation{
		random:  rand.New(rand.NewPCG(seed, seed)),
		tracker: NewTracker("r"),
		running: make(map[*execution]bool),
	}
}

// TestUnrelatedRequestsAreNotQuarantined runs one request that crashes engines among others, which
// share its crashes and are retried together with it. It alone must be quarantined, before it has
// crashed many engines.
func TestUnrelatedRequestsAreNotQuarantined(t *testing.T) {
	var crashes, quarantined, twice, others int
	const seeds = 8
	for seed := range uint64(seeds) {
		s := newSimulation(seed)
		q, w, o := s.run()
		crashes, quarantined, twice, others = crashes+s.crashes, quarantined+q, twice+w, others+o
		if !s.tracker.IsQuarantined(crashingKey) {
			t.Errorf("seed %d: got the request that crashes engines not quarantined", seed)
		}
		if s.crashes > 2*quarantineThreshold {
			t.Errorf("seed %d: got %d engines crashed, want at most %d", seed, s.crashes, 2*quarantineThreshold)
		}
	}
	t.Logf("%d engines crashed, %d others of %d quarantined, %d with two crashes", crashes, quarantined, others, twice)
	if quarantined > 0 {
		t.Errorf("got %d others of %d quarantined, want none", quarantined, others)
	}
}

// scheduledCall is a scheduled function call, callQueue a heap of calls by time.
type scheduledCall struct {
	at time.Duration
	do func()
}

type callQueue []scheduledCall

func (q callQueue) Len() int           { return len(q) }
func (q callQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q callQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *callQueue) Push(x any)        { *q = append(*q, x.(scheduledCall)) }
func (q *callQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
