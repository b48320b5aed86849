package balance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/slipwick/slipwick"
)

// speedServer works on several requests at once, and queues some more. pace says at any time by what
// factor work takes longer there, reported what it reports, 0 for nothing.
type speedServer struct {
	slots, queued  int
	running        int
	queue          []*speedJob
	pace, reported func(at time.Duration) float64
}

// speedJob is a request and the work at the usual pace until its response begins, and after that.
type speedJob struct {
	request       *Request
	router        int
	lease         *Lease
	arrived       time.Duration
	first, output time.Duration
}

// speedFleet has routers that share servers, and send each other updates five times a second, which
// arrive after delay to twice that time.
type speedFleet struct {
	routers []*Balancer
	servers []*speedServer
	entries []Entry
	random  *rand.Rand
	began   time.Time
	events  eventQueue
	delay   time.Duration
	// keep returns whether an update of a router reaches another one.
	keep func(from, to int) bool
	// responses are the times from arrival to response, waits the times in the queues.
	responses, waits []time.Duration
	// sent and rejected count requests by server, ejected how often one was.
	sent, rejected []int
	ejected        int
	// engines has the engine to which each prompt was sent last. kept and moved count the requests
	// with a prompt that was sent to the first engine before: those sent there again, and the others.
	engines     map[uint64]int
	kept, moved int
	// onSend, if not nil, is called for each request that was sent, onEnd when its exchange has ended.
	onSend, onEnd func(*speedJob)
}

// event is something that happens at a time.
type event struct {
	at time.Duration
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

func constantPace(factor float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return factor }
}

// newSpeedFleet returns a fleet whose servers have these paces, and report them.
func newSpeedFleet(routers, slots int, paces ...func(time.Duration) float64) *speedFleet {
	f := &speedFleet{
		random:   rand.New(rand.NewPCG(1, uint64(routers))),
		began:    time.Now(),
		delay:    50 * time.Millisecond,
		keep:     func(int, int) bool { return true },
		sent:     make([]int, len(paces)),
		rejected: make([]int, len(paces)),
		engines:  make(map[uint64]int),
	}
	for i, pace := range paces {
		f.servers = append(f.servers, &speedServer{
			slots:    slots,
			queued:   24,
			pace:     pace,
			reported: pace,
		})
		f.entries = append(f.entries, Entry{
			Backend: slipwick.Backend{
				ID:         fmt.Sprint(i),
				DataCentre: "dc-0",
				Slots:      slots,
			},
			Pool: "p",
		})
	}
	for range routers {
		b := New("dc-0")
		b.Random = f.random.Float64
		b.SetSpeedAware(true)
		b.OnEjected = func(slipwick.Backend, time.Duration) { f.ejected++ }
		b.SetBackends(f.entries)
		b.SetPeers([]string{"fleet"}, routers-1)
		f.routers = append(f.routers, b)
	}
	f.schedule(0, func() { f.exchange(1) })
	return f
}

func (f *speedFleet) now() time.Duration { return time.Since(f.began) }

func (f *speedFleet) schedule(after time.Duration, do func()) {
	heap.Push(&f.events, event{
		at: f.now() + after,
		do: do,
	})
}

// exchange delivers the counts of all other routers to each router, as a hub does, after a delay that
// differs by router, and their observations.
func (f *speedFleet) exchange(sequence uint64) {
	updates, sum := make([]Update, len(f.routers)), make(map[uint64]int)
	for i, b := range f.routers {
		updates[i] = b.TakeUpdate()
		for _, in := range updates[i].InFlight {
			sum[in.Server] += in.Count
		}
	}
	for i, b := range f.routers {
		own := make(map[uint64]int)
		for _, in := range updates[i].InFlight {
			own[in.Server] = in.Count
		}
		var others []InFlight
		for _, s := range b.pools["p"] {
			others = append(others, InFlight{
				Server: s.hash,
				Count:  sum[s.hash] - own[s.hash],
			})
		}
		speeds := f.speedsFor(i, updates)
		var parts []CachedPart
		for j := range updates {
			if j != i {
				parts = append(parts, updates[j].CachedParts...)
			}
		}
		f.schedule(f.delay+f.delay*time.Duration(i)/time.Duration(len(f.routers)), func() {
			b.ReceiveCounts("fleet", sequence, others)
			b.ReceiveSpeedCounts(speeds)
			b.ReceiveCachedParts(parts)
		})
	}
	f.schedule(200*time.Millisecond, func() { f.exchange(sequence + 1) })
}

// speedsFor returns the observations that reach a router, added up by server.
func (f *speedFleet) speedsFor(to int, updates []Update) []SpeedCounts {
	sums := make(map[uint64]*SpeedCounts)
	var list []SpeedCounts
	for from := range updates {
		if from == to || !f.keep(from, to) {
			continue
		}
		for _, c := range updates[from].Speeds {
			if sums[c.Server] == nil {
				sums[c.Server] = &SpeedCounts{
					Server: c.Server,
				}
			}
			sums[c.Server].Add(&c)
		}
	}
	for _, s := range f.routers[to].pools["p"] {
		if c := sums[s.hash]; c != nil {
			list = append(list, *c)
		}
	}
	return list
}

// run sends requests at this rate for a while, and runs until all of them have ended.
func (f *speedFleet) run(perSecond float64, work, duration time.Duration) {
	f.runJobs(perSecond, duration, func() *speedJob {
		return &speedJob{
			request: plainRequest,
			first:   time.Duration((0.5 + f.random.Float64()) * float64(work)),
		}
	})
	f.runUntil(f.now() + 2*time.Second)
}

// runJobs sends the requests that newJob returns at this rate for a while.
func (f *speedFleet) runJobs(perSecond float64, duration time.Duration, newJob func() *speedJob) {
	next := f.now()
	for end := f.now() + duration; f.now() < end; {
		next += time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second))
		f.runUntil(next)
		job := newJob()
		job.router, job.arrived = f.random.IntN(len(f.routers)), f.now()
		f.send(job)
	}
}

func (f *speedFleet) runUntil(at time.Duration) {
	for len(f.events) > 0 && f.events[0].at <= at {
		e := heap.Pop(&f.events).(event)
		time.Sleep(max(e.at-f.now(), 0))
		e.do()
	}
	time.Sleep(max(at-f.now(), 0))
}

func (f *speedFleet) send(job *speedJob) {
	for range 3 {
		b := f.routers[job.router]
		lease, err := b.Acquire(job.request)
		if err != nil {
			return
		}
		job.lease = lease
		b.RecordSend(lease)
		index, _ := strconv.Atoi(lease.Backend.ID)
		f.sent[index]++
		f.notePrompt(job, index)
		if f.onSend != nil {
			f.onSend(job)
		}
		s := f.servers[index]
		if s.running < s.slots {
			f.start(index, job)
			return
		}
		if len(s.queue) < s.queued {
			s.queue = append(s.queue, job)
			return
		}
		f.rejected[index]++
		if f.onEnd != nil {
			f.onEnd(job)
		}
		b.Release(lease, slipwick.EvidenceShed)
	}
}

// notePrompt counts a prompt that was sent to the first engine last time.
func (f *speedFleet) notePrompt(job *speedJob, index int) {
	if len(job.request.Prompt) == 0 {
		return
	}
	key := job.request.Prompt[0].Key
	if last, known := f.engines[key]; known && last == 0 {
		if index == 0 {
			f.kept++
		} else {
			f.moved++
		}
	}
	f.engines[key] = index
}

// finish returns how long work takes that begins now, at a pace that may change meanwhile.
func (f *speedFleet) finish(s *speedServer, work time.Duration) time.Duration {
	const step = 10 * time.Millisecond
	took := time.Duration(0)
	for work > 0 {
		pace := s.pace(f.now() + took)
		part := min(time.Duration(float64(step)/pace), work)
		took += time.Duration(float64(part) * pace)
		work -= part
	}
	return took
}

func (f *speedFleet) start(index int, job *speedJob) {
	s := f.servers[index]
	s.running++
	f.waits = append(f.waits, f.now()-job.arrived)
	first := f.finish(s, job.first)
	if timeout := f.routers[job.router].FirstByteTimeout(job.lease); timeout > 0 && first > timeout {
		f.schedule(timeout, func() { f.routers[job.router].RecordOverdue(job.lease) })
	}
	f.schedule(first, func() {
		f.responses = append(f.responses, f.now()-job.arrived)
		b := f.routers[job.router]
		b.RecordLoad(job.lease, Load{
			Running: s.running,
			Waiting: len(s.queue),
			Slots:   s.slots,
			Pace:    usualPace * s.reported(f.now()),
		})
		b.RecordResponseStart(job.lease)
		b.RecordResponseTime(job.lease)
		if job.output == 0 {
			f.end(index, job)
			return
		}
		f.schedule(f.finish(s, job.output), func() { f.end(index, job) })
	})
}

func (f *speedFleet) end(index int, job *speedJob) {
	s := f.servers[index]
	s.running--
	if f.onEnd != nil {
		f.onEnd(job)
	}
	f.routers[job.router].Release(job.lease, slipwick.EvidenceGood)
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		f.start(index, next)
	}
}

// late returns the 0.99 quantile.
func late(values []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(values))
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(0.99*float64(len(sorted))), len(sorted)-1)]
}

// centralQueue is the reference: one queue that knows all servers, and gives each request to the
// fastest free one. It returns the 0.99 quantiles of the response times and of the waits.
func centralQueue(seed uint64, slots int, paces []float64, perSecond float64, work, duration time.Duration) (
	response, wait time.Duration,
) {
	random := rand.New(rand.NewPCG(1, seed))
	type slot struct {
		pace float64
		free time.Duration
	}
	var all []slot
	for _, pace := range paces {
		for range slots {
			all = append(all, slot{pace, 0})
		}
	}
	var responses, waits []time.Duration
	for at := time.Duration(0); at < duration; {
		at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		job := time.Duration((0.5 + random.Float64()) * float64(work))
		best := 0
		for i := range all {
			start, bestStart := max(all[i].free, at), max(all[best].free, at)
			if start < bestStart || start == bestStart && all[i].pace < all[best].pace {
				best = i
			}
		}
		start := max(all[best].free, at)
		all[best].free = start + time.Duration(float64(job)*all[best].pace)
		responses, waits = append(responses, all[best].free-at), append(waits, start-at)
	}
	return late(responses), late(waits)
}

// blinking returns a pace that is factor for some hundred ms, at random, for a share of the time.
func blinking(seed uint64, factor float64, slow time.Duration, share float64) func(time.Duration) float64 {
	random := rand.New(rand.NewPCG(seed, seed))
	var starts []time.Duration
	for at := time.Duration(0); at < 2*time.Minute; {
		gap := float64(slow) * (1 - share) / share
		at += time.Duration((0.5 + random.Float64()) * gap)
		starts = append(starts, at)
		at += slow
	}
	return func(at time.Duration) float64 {
		i, _ := slices.BinarySearch(starts, at+1)
		if i > 0 && at-starts[i-1] < slow {
			return factor
		}
		return 1
	}
}
