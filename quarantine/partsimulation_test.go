package quarantine

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
)

// partLoad is a load of requests whose prompts share parts: those of a workspace the first part, and
// some of them a second one. Some requests have a part that crashes each engine that begins to respond
// to them.
type partLoad struct {
	routers, engines int
	// requestsPerSecond are those of all workspaces, crashingPerSecond those with each of the crashing
	// parts, of which the nth belongs to workspace n.
	requestsPerSecond, crashingPerSecond float64
	crashingParts                        int
	// sharesSecondPart says that the prompts with a crashing part have a second part too.
	sharesSecondPart bool
	// otherCrashes is the interval of crashes that no request causes, rackFailureAt when a fifth of the
	// engines crashes at once; 0 for none.
	otherCrashes, rackFailureAt time.Duration
	// gossipDelay is the longest time until other routers know a crash.
	gossipDelay time.Duration
}

const (
	partWorkspaces  = 10
	partsOfOne      = 12
	partLoadTime    = 14 * time.Second
	crashingPartsAt = 3 * time.Second
	// lateAfter is when after the fifth crash under a part its requests no longer reach engines, and
	// others are served.
	lateAfter = 3 * time.Second
)

// partRequest is one request of a partLoad, and its current attempt.
type partRequest struct {
	key       Key
	workspace int
	parts     []Key
	// crashing is the index of its crashing part, -1 without one.
	crashing int
	attempts int
	router   *Tracker
	engine   int
	began    time.Time
	attempt  *Attempt
	ended    bool
}

// partSimulation runs a partLoad, on the clock of a synctest bubble.
type partSimulation struct {
	partLoad
	random    *rand.Rand
	started   time.Time
	scheduled callQueue
	trackers  []*Tracker
	// incarnations are those of the engines, 0 while one restarts.
	incarnations []int64
	restarts     int64
	running      map[*partRequest]struct{}
	crashedAt    [][]time.Time
	result       partResult
}

// partResult is the outcome of a partLoad.
type partResult struct {
	// crashes are those of engines under crashing parts, lateSends the requests with such a part that
	// reached engines later than lateAfter after its fifth crash.
	crashes, lateSends int
	// sound are the requests without a crashing part in the workspaces of these parts that arrived
	// later than that, refused those that were refused as quarantined. refusedEarly were refused
	// before.
	sound, refused, refusedEarly int
	// all are the requests without a crashing part.
	all int
}

func (s *partSimulation) after(wait time.Duration, do func()) {
	heap.Push(&s.scheduled, scheduledCall{
		at: time.Since(s.started) + wait,
		do: do,
	})
}

// isLate reports whether a crashing part has crashed five engines longer than lateAfter ago.
func (s *partSimulation) isLate(part int) bool {
	const crashes = 5
	at := s.crashedAt[part]
	return len(at) >= crashes && time.Since(at[crashes-1]) > lateAfter
}

func (s *partSimulation) arrive(crashing int) {
	workspace := int(s.random.Float64() * s.random.Float64() * partWorkspaces)
	second := int(s.random.Float64() * s.random.Float64() * partsOfOne)
	r := &partRequest{
		key:       Key(s.random.Uint64()) &^ partBit,
		workspace: workspace,
		crashing:  crashing,
		router:    s.trackers[s.random.IntN(len(s.trackers))],
	}
	if crashing >= 0 {
		r.workspace = crashing
	}
	r.parts = append(r.parts, PartKey("p", uint64(r.workspace)))
	if crashing < 0 || s.sharesSecondPart {
		r.parts = append(r.parts, PartKey("p", uint64(1000+100*r.workspace+second)))
	}
	if crashing >= 0 {
		r.parts = append(r.parts, PartKey("p", uint64(100_000+crashing)))
	}
	late := crashing < 0 && r.workspace < s.crashingParts && s.isLate(r.workspace)
	if late {
		s.result.sound++
	}
	if crashing < 0 {
		s.result.all++
	}
	if !s.send(r) && crashing < 0 {
		if late {
			s.result.refused++
		} else {
			s.result.refusedEarly++
		}
	}
}

// send sends a request to a running engine, or reports that it is quarantined.
func (s *partSimulation) send(r *partRequest) bool {
	if r.router.Admit(r.key, r.parts...).Refused {
		return false
	}
	r.engine = s.random.IntN(s.engines)
	for range s.engines {
		if s.incarnations[r.engine] != 0 {
			break
		}
		r.engine = (r.engine + 1) % s.engines
	}
	if s.incarnations[r.engine] == 0 {
		return true
	}
	attempt, ok := r.router.Begin(r.key, &slipwick.Backend{
		ID:        fmt.Sprint(r.engine),
		StartTime: s.incarnations[r.engine],
	}, false, func() { s.abort(r) }, r.parts...)
	if !ok {
		return false
	}
	r.attempt, r.began, r.ended = attempt, time.Now(), false
	r.attempts++
	s.running[r] = struct{}{}
	if r.crashing >= 0 {
		if s.isLate(r.crashing) {
			s.result.lateSends++
		}
		s.after(timeToCrash, func() {
			if !r.ended {
				s.result.crashes++
				s.crashedAt[r.crashing] = append(s.crashedAt[r.crashing], time.Now())
				s.crash(r.engine)
			}
		})
		return true
	}
	s.scheduleResponse(r)
	return true
}

// scheduleResponse schedules the events and the end of a response.
func (s *partSimulation) scheduleResponse(r *partRequest) {
	s.after(firstEventDelay, func() {
		if !r.ended {
			r.attempt.SetBegun()
		}
	})
	runTime := time.Duration(s.random.ExpFloat64() * float64(meanRunTime))
	if runTime > firstEventDelay+crashWindow {
		s.after(firstEventDelay+crashWindow, func() {
			if !r.ended {
				r.attempt.RecordProgress()
			}
		})
	}
	s.after(max(runTime, firstEventDelay), func() {
		if !r.ended {
			s.end(r, OutcomeCompleted)
		}
	})
}

func (s *partSimulation) end(r *partRequest, outcome Outcome) {
	r.ended = true
	delete(s.running, r)
	r.attempt.End(outcome)
}

// abort ends an attempt that a tracker stops, which it does while it is locked.
func (s *partSimulation) abort(r *partRequest) {
	r.ended = true
	delete(s.running, r)
	attempt := r.attempt
	s.after(0, func() { attempt.End(OutcomeInconclusive) })
}

func (s *partSimulation) crash(engine int) {
	if s.incarnations[engine] == 0 {
		return
	}
	s.incarnations[engine] = 0
	s.after(restartTime, func() {
		s.restarts++
		s.incarnations[engine] = s.restarts * 10_000
	})
	requests := slices.SortedFunc(maps.Keys(s.running), func(a, b *partRequest) int {
		return cmp.Or(a.began.Compare(b.began), cmp.Compare(a.key, b.key))
	})
	for _, r := range requests {
		if r.engine != engine {
			continue
		}
		r.ended = true
		delete(s.running, r)
		outcome := OutcomeCrashed
		if time.Since(r.began) > firstEventDelay+crashWindow {
			outcome = OutcomeInconclusive
		}
		s.after(crashDetectionDelay, func() {
			r.attempt.End(outcome)
			if r.attempts < maxAttempts {
				s.send(r)
			}
		})
	}
}

// gossip sends the pending crashes of a router to all others, late and with losses.
func (s *partSimulation) gossip(from *Tracker) {
	crashes := from.TakePending()
	if len(crashes) == 0 {
		return
	}
	sentAt := clock.Now()
	for _, to := range s.trackers {
		if to == from || s.random.Float64() < 0.05 {
			continue
		}
		delay := s.gossipDelay/5 + time.Duration(s.random.Int64N(int64(s.gossipDelay)*4/5))
		s.after(delay, func() {
			for i := range crashes {
				if crashes[i].SeenAt.IsZero() {
					crashes[i].SeenAt = sentAt
				}
			}
			to.Merge(crashes)
			to.TakePending()
		})
	}
}

func (s *partSimulation) run(attribute func([]suspect) []Key) partResult {
	s.started, s.running = time.Now(), make(map[*partRequest]struct{})
	s.crashedAt = make([][]time.Time, s.crashingParts)
	for i := range s.routers {
		tracker := NewTracker(fmt.Sprint("r", i))
		tracker.attribute = attribute
		isTriggered := false
		tracker.OnPending = func() {
			if !isTriggered {
				isTriggered = true
				s.after(time.Millisecond, func() {
					isTriggered = false
					s.gossip(tracker)
				})
			}
		}
		s.trackers = append(s.trackers, tracker)
	}
	for range s.engines {
		s.restarts++
		s.incarnations = append(s.incarnations, s.restarts*10_000)
	}
	s.scheduleLoad()
	for len(s.scheduled) > 0 {
		next := heap.Pop(&s.scheduled).(scheduledCall)
		time.Sleep(next.at - time.Since(s.started))
		next.do()
	}
	return s.result
}

// scheduleLoad schedules all requests, and the crashes that none causes.
func (s *partSimulation) scheduleLoad() {
	s.arrivals(0, s.requestsPerSecond, -1)
	for part := range s.crashingParts {
		s.arrivals(crashingPartsAt, s.crashingPerSecond, part)
	}
	for at := s.otherCrashes; at > 0 && at < partLoadTime; at += s.otherCrashes {
		s.after(at, func() { s.crash(s.random.IntN(s.engines)) })
	}
	if s.rackFailureAt > 0 {
		s.after(s.rackFailureAt, func() {
			for _, engine := range s.random.Perm(s.engines)[:s.engines/5] {
				s.crash(engine)
			}
		})
	}
}

// arrivals schedules requests at random times, from a time on.
func (s *partSimulation) arrivals(from time.Duration, perSecond float64, crashing int) {
	for at := from; at < partLoadTime; {
		s.after(at, func() { s.arrive(crashing) })
		at += time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second))
	}
}

func (l partLoad) run(t *testing.T, seed uint64, attribute func([]suspect) []Key) partResult {
	t.Helper()
	var result partResult
	synctest.Test(t, func(*testing.T) {
		s := &partSimulation{
			partLoad: l,
			random:   rand.New(rand.NewPCG(seed, seed)),
		}
		result = s.run(attribute)
	})
	return result
}

// eachByItself is another way to attribute crashes: it quarantines each part under which servers
// crashed often enough, whether other parts account for these crashes or not.
func eachByItself(suspects []suspect) []Key {
	var causes []Key
	for i := range suspects {
		if countIntervals(suspects[i].crashes) >= partThreshold {
			causes = append(causes, suspects[i].key)
		}
	}
	return causes
}

var partLoads = map[string]partLoad{
	"8 routers": {
		routers: 8, engines: 18, requestsPerSecond: 90, crashingPerSecond: 6, crashingParts: 1,
		sharesSecondPart: true, gossipDelay: 30 * time.Millisecond,
	},
	"8 routers, two parts, other crashes": {
		routers: 8, engines: 18, requestsPerSecond: 90, crashingPerSecond: 6, crashingParts: 2,
		sharesSecondPart: true, otherCrashes: 700 * time.Millisecond, gossipDelay: 30 * time.Millisecond,
	},
	"8 routers, late news, a rack": {
		routers: 8, engines: 18, requestsPerSecond: 90, crashingPerSecond: 20, crashingParts: 1,
		rackFailureAt: 3500 * time.Millisecond, gossipDelay: 600 * time.Millisecond,
	},
	"87 routers, two parts": {
		routers: 87, engines: 60, requestsPerSecond: 400, crashingPerSecond: 15, crashingParts: 2,
		sharesSecondPart: true, otherCrashes: time.Second, gossipDelay: 150 * time.Millisecond,
	},
	"330 routers": {
		routers: 330, engines: 200, requestsPerSecond: 1000, crashingPerSecond: 30, crashingParts: 2,
		sharesSecondPart: true, otherCrashes: 500 * time.Millisecond, gossipDelay: 200 * time.Millisecond,
	},
	"no crashing part, other crashes, a rack": {
		routers: 8, engines: 18, requestsPerSecond: 90, otherCrashes: 250 * time.Millisecond,
		rackFailureAt: 5 * time.Second, gossipDelay: 150 * time.Millisecond,
	},
}

// TestCrashingPartsAreQuarantinedAlone runs loads with prompt parts that crash engines, beside crashes
// that no request causes. It guards against such a part that goes on crashing engines, and against
// requests that are refused since they share other parts with those that crash them.
func TestCrashingPartsAreQuarantinedAlone(t *testing.T) {
	const (
		maxLateSends = 3
		maxRefused   = 0.02
	)
	for name, load := range partLoads {
		seeds := uint64(3)
		if load.routers > 100 {
			seeds = 1
		}
		for seed := range seeds {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				got := load.run(t, seed, attribute)
				t.Logf("%+v", got)
				if got.lateSends > maxLateSends*load.crashingParts {
					t.Errorf("got %d requests with crashing parts sent later than %v after their fifth crash, want at most %d",
						got.lateSends, lateAfter, maxLateSends*load.crashingParts)
				}
				if refused := got.refused + got.refusedEarly; float64(refused) > maxRefused*float64(got.all) {
					t.Errorf("got %d of %d other requests refused, want at most %v of them", refused, got.all, maxRefused)
				}
			})
		}
	}
}

// TestPartsOfCrashingPromptsAreNotQuarantined guards against a first part that is quarantined since all
// prompts with a crashing part have it too: its workspace would be refused. The simplest rule, which
// looks at each part by itself, does that.
func TestPartsOfCrashingPromptsAreNotQuarantined(t *testing.T) {
	load := partLoads["8 routers, two parts, other crashes"]
	var explained, each partResult
	for seed := range uint64(4) {
		a, b := load.run(t, seed, attribute), load.run(t, seed, eachByItself)
		explained.refused += a.refused + a.refusedEarly
		each.refused += b.refused + b.refusedEarly
	}
	t.Logf("refused: %d, with each part by itself %d", explained.refused, each.refused)
	if got, want := explained.refused, each.refused/10; got > want {
		t.Errorf("got %d requests without a crashing part refused, want at most a tenth of %d", got, each.refused)
	}
}
