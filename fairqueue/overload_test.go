package fairqueue

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/slipwick/slipwick"
)

// event is something that happens in a simulation: an arrival, or the end of a served request.
type event struct {
	at      time.Time
	request *slipwick.PermitRequest
	isEnd   bool
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(a, b int) bool { return e[a].at.Before(e[b].at) }
func (e events) Swap(a, b int)      { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// source is a stream of requests: its demand in slots, that is, in seconds of work per second.
type source struct {
	workspace string
	priority  int
	demand    float64
	work      time.Duration
	// returns says that its callers return after a refusal.
	returns bool
}

// overload simulates a pool of slots and the queue before it, in virtual time.
type overload struct {
	slots   int
	sources []source
	random  *rand.Rand

	queue  *Queue
	events events
	now    time.Time
	busy   int
	// offered, inTime and served have the work, in seconds, of the requests that arrived first, that
	// were served within their objective, and that were served, by source.
	offered, inTime, served []float64
	bySource                map[*slipwick.PermitRequest]int
	refusals, waitedInVain  int
	// idle is the slot-seconds without work while requests wait.
	idle float64
}

const (
	simulationObjective = 600 * time.Millisecond
	simulationDeadline  = 4 * time.Second
	// warmUp is left out of the counts.
	warmUp = 5 * time.Second
)

func newOverload(slots int, sources []source) *overload {
	return &overload{
		slots:    slots,
		sources:  sources,
		random:   rand.New(rand.NewPCG(3, 4)),
		queue:    New(Limits{MaxRequests: 5000}),
		now:      epoch,
		offered:  make([]float64, len(sources)),
		inTime:   make([]float64, len(sources)),
		served:   make([]float64, len(sources)),
		bySource: make(map[*slipwick.PermitRequest]int),
	}
}

// run simulates the pool for some time.
func (o *overload) run(during time.Duration) {
	end := epoch.Add(warmUp + during)
	for i := range o.sources {
		o.scheduleNext(i)
	}
	for len(o.events) > 0 {
		next := heap.Pop(&o.events).(event)
		if next.at.After(end) {
			return
		}
		if o.queue.Len() > 0 {
			o.idle += float64(o.slots-o.busy) * next.at.Sub(o.now).Seconds()
		}
		o.now = next.at
		o.waitedInVain += len(o.queue.Expire(o.now))
		if next.isEnd {
			o.busy--
		} else {
			o.arrive(next.request)
		}
		for o.busy < o.slots {
			item := o.queue.Pop(o.now, nil)
			if item == nil {
				break
			}
			o.start(item.Request)
		}
	}
}

func (o *overload) counts() bool { return o.now.Sub(epoch) >= warmUp }

// scheduleNext schedules the next first attempt of a source.
func (o *overload) scheduleNext(index int) {
	s := &o.sources[index]
	at := o.now.Add(time.Duration(o.random.ExpFloat64() * float64(s.work) / s.demand))
	request := &slipwick.PermitRequest{
		Workspace: s.workspace,
		Priority:  s.priority,
		Work:      s.work/4 + time.Duration(o.random.ExpFloat64()*0.75*float64(s.work)),
		Arrived:   at,
		Objective: at.Add(simulationObjective),
		Deadline:  at.Add(simulationDeadline),
	}
	o.bySource[request] = index
	heap.Push(&o.events, event{
		at:      at,
		request: request,
	})
}

func (o *overload) arrive(request *slipwick.PermitRequest) {
	index := o.bySource[request]
	if !request.Returning {
		o.scheduleNext(index)
		if o.counts() {
			o.offered[index] += request.Work.Seconds()
		}
	}
	if o.busy < o.slots && o.queue.Len() == 0 {
		o.start(request)
		return
	}
	wait := o.queue.ExpectedWait(request, o.now, float64(o.slots))
	if wait > request.Objective.Sub(o.now) {
		o.refuse(request, wait)
		return
	}
	evicted, ok := o.queue.Push(&Item{Request: request}, o.now)
	if evicted != nil {
		o.refuse(evicted.Request, wait)
	}
	if !ok {
		o.refuse(request, wait)
	}
}

// refuse has the caller return as told if it does that.
func (o *overload) refuse(request *slipwick.PermitRequest, wait time.Duration) {
	o.refusals++
	index := o.bySource[request]
	delete(o.bySource, request)
	if !o.sources[index].returns || request.Returning {
		return
	}
	at := o.now.Add(min(wait, 3*time.Second)/2 + time.Duration(o.random.Int64N(int64(time.Second))))
	again := *request
	again.Arrived, again.Returning = at, true
	again.Objective, again.Deadline = at.Add(simulationObjective), at.Add(simulationDeadline)
	o.bySource[&again] = index
	heap.Push(&o.events, event{
		at:      at,
		request: &again,
	})
}

func (o *overload) start(request *slipwick.PermitRequest) {
	o.busy++
	index, end := o.bySource[request], o.now.Add(request.Work)
	if o.counts() {
		o.served[index] += request.Work.Seconds()
		if !o.now.After(request.Objective) && !end.After(request.Deadline) {
			o.inTime[index] += request.Work.Seconds()
		}
	}
	delete(o.bySource, request)
	heap.Push(&o.events, event{
		at:      end,
		request: request,
		isEnd:   true,
	})
}

// sum adds up the values of the sources that match.
func (o *overload) sum(values []float64, match func(*source) bool) float64 {
	sum := 0.0
	for i := range o.sources {
		if match(&o.sources[i]) {
			sum += values[i]
		}
	}
	return sum
}

func anySource(*source) bool { return true }

// mixedSources returns the sources of 33 workspaces with three kinds of requests, which demand factor
// times the slots. The most urgent ones demand urgent times the slots.
func mixedSources(slots int, factor, urgent float64) []source {
	const workspaces = 33
	var sources []source
	for i := range workspaces {
		rest := float64(slots) * (factor - urgent) / workspaces / 2
		for priority, s := range []source{
			{demand: float64(slots) * urgent / workspaces, work: 150 * time.Millisecond},
			{demand: rest, work: 400 * time.Millisecond},
			{demand: rest, work: 800 * time.Millisecond},
		} {
			s.workspace, s.priority, s.returns = fmt.Sprint("w", i), priority, i%2 == 0
			sources = append(sources, s)
		}
	}
	return sources
}

// TestGoodputInOverload guards against slots that work on requests which are late or never done, and
// against urgent requests that suffer from the others: demand of 2, 4 and 6 times the slots, of which
// the urgent requests alone would need 0.8, or 0.6 of few slots. Of few slots, many may work on long
// requests of lower priorities at the same moment.
func TestGoodputInOverload(t *testing.T) {
	for slots, urgentDemand := range map[int]float64{18: 0.6, 480: 0.8} {
		for _, factor := range []float64{2, 4, 6} {
			o := newOverload(slots, mixedSources(slots, factor, urgentDemand))
			o.run(20 * time.Second)
			possible := float64(slots) * 20
			goodput := o.sum(o.inTime, anySource) / possible
			isUrgent := func(s *source) bool { return s.priority == 0 }
			urgent := o.sum(o.inTime, isUrgent) / o.sum(o.offered, isUrgent)
			idle := o.idle / possible
			t.Logf("%d slots, demand %v: goodput %.3f, urgent in time %.3f, idle while waiting %.4f, refused %d, in vain %d",
				slots, factor, goodput, urgent, idle, o.refusals, o.waitedInVain)
			if goodput < 0.9 || urgent < 0.97 || idle > 0.001 {
				t.Errorf("%d slots, demand %v: got a goodput of %.3f, %.3f of the urgent work in time and %.4f idle, "+
					"want 0.9, 0.97 and 0", slots, factor, goodput, urgent, idle)
			}
		}
	}
}

// TestEqualWorkspacesGetEqualWork guards against shares that depend on the size of requests or on how
// much more than its share a workspace asks for.
func TestEqualWorkspacesGetEqualWork(t *testing.T) {
	const slots, workspaces = 96, 12
	var sources []source
	for i := range workspaces {
		sources = append(sources, source{
			workspace: fmt.Sprint("w", i),
			demand:    slots / workspaces * float64(2+i%4),
			work:      time.Duration(100+100*(i%3)) * time.Millisecond,
			returns:   i%2 == 0,
		})
	}
	o := newOverload(slots, sources)
	o.run(20 * time.Second)
	sum, squares := 0.0, 0.0
	for _, work := range o.served {
		sum += work
		squares += work * work
	}
	jain := sum * sum / (workspaces * squares)
	t.Logf("Jain's index %.4f", jain)
	if jain < 0.98 {
		t.Errorf("got a Jain's index of %.4f, want at least 0.98; served %.1f", jain, o.served)
	}
}

// TestSurgeOfOneWorkspaceHurtsNoOthers guards against a workspace that takes work from the others by
// asking for 15 times its share, also by callers that return.
func TestSurgeOfOneWorkspaceHurtsNoOthers(t *testing.T) {
	const slots, workspaces = 96, 12
	run := func(surge float64) float64 {
		var sources []source
		for i := range workspaces {
			s := source{
				workspace: fmt.Sprint("w", i),
				demand:    0.9 * slots / workspaces,
				work:      200 * time.Millisecond,
				returns:   true,
			}
			if i == 0 {
				s.demand *= surge
			}
			sources = append(sources, s)
		}
		o := newOverload(slots, sources)
		o.run(40 * time.Second)
		isOther := func(s *source) bool { return s.workspace != "w0" }
		return o.sum(o.inTime, isOther) / o.sum(o.offered, isOther)
	}
	before, during := run(1), run(15)
	t.Logf("part of the others' work in time: %.4f before, %.4f during the surge", before, during)
	if during < 0.97*before {
		t.Errorf("got %.4f of the others' work done in time during the surge and %.4f before, want a loss of 0.03 at most",
			during, before)
	}
}
