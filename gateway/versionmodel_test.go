package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/exchange"
	"github.com/slipwick/slipwick/routing"
)

// The times of the model. Routers learn of a change of the list within listDelay, and a list that they copy is as old
// at most. A leaving server is listed as such for drainTime.
const (
	modelTimeout     = 8 * time.Second
	modelListDelay   = 2 * time.Second
	modelDrainTime   = 2 * time.Second
	modelRestartTime = 700 * time.Millisecond
	modelServers     = 4
	modelRequestRate = 10
)

// versionModel is a fleet of routers before servers of versions that come and go, with callers who take up streams that
// broke off, at any router. Routers are killed; their successors know nothing.
type versionModel struct {
	mu      sync.Mutex
	random  *rand.Rand
	routers []*modelRouter
	// lists are the states of the store, in order.
	lists []modelList
	// deadline is for how long a caller comes back for a stream, also after refusals; maxReturns is how often.
	deadline   time.Duration
	maxReturns int
	route      routing.Route

	began, takenUp, wentOn int
	// interrupted is how many requests ended with the process of their router.
	interrupted int
	refused     map[string]int
	// mixed describes the streams with events of several versions.
	mixed []string
	// endsAt is when no further streams begin.
	endsAt time.Time
}

// modelList is the list of servers from a time on.
type modelList struct {
	at      time.Time
	entries []balance.Entry
}

// modelRouter is one router; balancer and syncer are those of its current process, nil while it doesn't run.
type modelRouter struct {
	model    *versionModel
	router   slipwick.Router
	gateway  *Gateway
	syncer   *exchange.Syncer
	listedAt time.Time
	// life counts its processes; ended is closed when the current one is killed.
	life  int
	ended chan struct{}
}

func newVersionModel(routers, maxReturns int, deadline time.Duration, seed uint64) *versionModel {
	m := &versionModel{
		random:     rand.New(rand.NewPCG(seed, uint64(routers))),
		deadline:   deadline,
		maxReturns: maxReturns,
		refused:    make(map[string]int),
		route: routing.Route{
			Name:      "stream",
			Kind:      routing.KindStream,
			Resumable: true,
			Timeout:   modelTimeout,
			Targets: []routing.Target{
				{
					Pool:   "p",
					Weight: 1,
				},
			},
		},
	}
	for i := range routers {
		m.routers = append(m.routers, &modelRouter{
			model: m,
			router: slipwick.Router{
				ID:         fmt.Sprint("r", i),
				Address:    fmt.Sprint("r", i),
				DataCentre: fmt.Sprint("d", i%4),
			},
		})
	}
	return m
}

// setVersions sets the state of the store: the listed versions, and those among them that leave. Each router that runs
// learns of it within modelListDelay.
func (m *versionModel) setVersions(listed, leaving []string) {
	m.mu.Lock()
	list := modelList{
		at: time.Now(),
	}
	for _, version := range listed {
		for i := range modelServers {
			list.entries = append(list.entries, balance.Entry{
				Backend: slipwick.Backend{
					ID: fmt.Sprint(version, "-", i),
				},
				Pool:    "p",
				Version: version,
				Leaving: slices.Contains(leaving, version),
			})
		}
	}
	m.lists = append(m.lists, list)
	m.mu.Unlock()
	for _, r := range m.routers {
		m.mu.Lock()
		delay := time.Duration(m.random.Int64N(int64(modelListDelay)))
		m.mu.Unlock()
		time.AfterFunc(delay, func() { r.apply(&list) })
	}
}

// apply applies a state of the store unless a later one is known.
func (r *modelRouter) apply(list *modelList) {
	r.model.mu.Lock()
	defer r.model.mu.Unlock()
	if r.gateway != nil && !list.at.Before(r.listedAt) {
		r.gateway.Balancer.SetBackends(list.entries)
		r.listedAt = list.at
	}
}

// listAge returns how long ago the store was in the state that the router knows.
func (r *modelRouter) listAge() time.Duration {
	r.model.mu.Lock()
	defer r.model.mu.Unlock()
	for _, l := range r.model.lists {
		if l.at.After(r.listedAt) {
			return time.Since(l.at)
		}
	}
	return 0
}

// live returns the routers that run.
func (m *versionModel) live() []slipwick.Router {
	m.mu.Lock()
	defer m.mu.Unlock()
	var live []slipwick.Router
	for _, r := range m.routers {
		if r.gateway != nil {
			live = append(live, r.router)
		}
	}
	return live
}

// Send implements exchange.Transport: a datagram takes 3 ms.
func (r *modelRouter) Send(address string, packet []byte) {
	time.AfterFunc(3*time.Millisecond, func() {
		m := r.model
		m.mu.Lock()
		i := slices.IndexFunc(m.routers, func(o *modelRouter) bool { return o.router.Address == address })
		syncer := m.routers[i].syncer
		m.mu.Unlock()
		if syncer != nil {
			syncer.Receive(r.router.Address, packet)
		}
	})
}

// start starts a process of the router. Its first list is up to modelListDelay old, as if copied from another router,
// or the current one.
func (r *modelRouter) start(isFirst bool) {
	m := r.model
	balancer := balance.New(r.router.DataCentre)
	syncer := exchange.NewSyncer(r.router.ID)
	syncer.Balancer = balancer
	syncer.Streams = exchange.NewStreams(r.router.ID)
	syncer.Streams.Transport = r
	syncer.Streams.Routers = m.live
	syncer.Streams.Address = func(o slipwick.Router) string { return o.Address }
	syncer.Streams.FleetSize = func() int { return len(m.routers) }
	m.mu.Lock()
	defer m.mu.Unlock()
	list := m.listAsOf(time.Now().Add(-time.Duration(m.random.Int64N(int64(modelListDelay)))))
	balancer.SetBackends(list.entries)
	if isFirst {
		balancer.MarkCachesKnown()
	}
	r.listedAt, r.syncer, r.ended = list.at, syncer, make(chan struct{})
	r.life++
	r.gateway = &Gateway{
		Headers:  DefaultHeaders(),
		Balancer: balancer,
		Streams:  syncer.Streams,
		Observer: &recordingObserver{},

		BackendsAge:    r.listAge,
		MaxBackendsAge: func() time.Duration { return modelListDelay },
	}
	r.gateway.SetTable(routing.NewTable(1, routing.Limits{}, nil, []routing.Route{m.route}, nil))
	life := r.life
	// It knows the current list a little later.
	time.AfterFunc(modelListDelay, func() {
		m.mu.Lock()
		latest, isSame := m.lists[len(m.lists)-1], r.life == life
		m.mu.Unlock()
		if isSame {
			r.apply(&latest)
		}
	})
}

// listAsOf returns the state of the store at a time, or the first one.
func (m *versionModel) listAsOf(at time.Time) modelList {
	list := m.lists[0]
	for _, l := range m.lists {
		if !l.at.After(at) {
			list = l
		}
	}
	return list
}

// kill kills a share of the routers at once and starts them again.
func (m *versionModel) kill(share float64) {
	m.mu.Lock()
	count := max(int(share*float64(len(m.routers))), 1)
	killed := m.random.Perm(len(m.routers))[:count]
	for _, i := range killed {
		r := m.routers[i]
		if r.gateway != nil {
			close(r.ended)
		}
		r.gateway, r.syncer = nil, nil
	}
	m.mu.Unlock()
	for _, i := range killed {
		time.AfterFunc(modelRestartTime, func() { m.routers[i].start(false) })
	}
}

// run begins streams at random routers until endsAt, and waits for the last caller.
func (m *versionModel) run() {
	var callers sync.WaitGroup
	for i := 0; time.Now().Before(m.endsAt); i++ {
		callers.Go(func() { m.stream(i) })
		time.Sleep(time.Second / modelRequestRate)
	}
	callers.Wait()
}

// stream is one caller: it begins a stream and comes back when it breaks off or is refused.
func (m *versionModel) stream(number int) {
	begunBy, version, returns := "", "", 0
	end := time.Now().Add(m.deadline)
	for attempt := 0; time.Now().Before(end) && returns <= m.maxReturns; attempt++ {
		id := fmt.Sprintf("s%d-%d", number, attempt)
		c, ended := m.newCall(id, begunBy, time.Until(end))
		if c == nil {
			// The connection is refused; the caller comes back at another router.
			time.Sleep(200 * time.Millisecond)
			continue
		}
		returns++
		served, ok := m.serve(c, version, ended)
		if !ok {
			time.Sleep(time.Second)
			continue
		}
		if begunBy == "" {
			begunBy, version = id, served
		}
		m.mu.Lock()
		// Most streams last for a second or two, some as long as the route allows.
		lasts := 2 * time.Second
		if m.random.Float64() < 0.3 {
			lasts = modelTimeout
		}
		lasts = time.Duration(float64(lasts) * (0.5 + m.random.Float64()/2))
		pause := time.Duration(m.random.Int64N(int64(500 * time.Millisecond)))
		m.mu.Unlock()
		select {
		case <-ended:
		case <-time.After(lasts):
		}
		time.Sleep(pause)
	}
}

// newCall returns a request at a random router, or nil if that one doesn't run. The channel is closed when the router
// is killed.
func (m *versionModel) newCall(id, resumes string, left time.Duration) (*call, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.routers[m.random.IntN(len(m.routers))]
	if r.gateway == nil {
		return nil, nil
	}
	c := &call{
		gateway: r.gateway,
		request: &http.Request{
			Header: make(http.Header),
		},
		table: &routing.Table{},
		route: &m.route,
		id:    id,
		ctx:   context.Background(),

		arrived: time.Now(),
	}
	c.request.Header.Set(c.gateway.Headers.Deadline, fmt.Sprint(left.Milliseconds()))
	c.setPool("p")
	c.progress.isTakenUp = resumes != ""
	c.resumes = resumes
	return c, r.ended
}

// serve decides about a request as the gateway does, and returns the version that serves it. begun is the version that
// began the stream. A request whose router was killed while it waited, as ended says, is neither sent nor noted.
func (m *versionModel) serve(c *call, begun string, ended <-chan struct{}) (version string, ok bool) {
	c.recordDeadline()
	refusal := c.bindToOrigin()
	select {
	case <-ended:
		m.mu.Lock()
		defer m.mu.Unlock()
		m.interrupted++
		return "", false
	default:
	}
	var lease *balance.Lease
	if refusal == nil {
		lease, _ = c.gateway.Balancer.Acquire(&c.selection)
	}
	if lease != nil {
		c.gateway.Balancer.Release(lease, slipwick.EvidenceGood)
		c.selection.Version, c.selection.HasVersion = lease.Version, true
		c.noteOrigin()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.progress.isTakenUp {
		m.takenUp++
	} else {
		m.began++
	}
	switch {
	case refusal != nil:
		m.refused[refusal.Reason]++
		return "", false
	case lease == nil:
		m.refused["no-server"]++
		return "", false
	case c.progress.isTakenUp:
		m.wentOn++
		if lease.Version != begun {
			m.mixed = append(m.mixed, fmt.Sprintf("%s: begun by %s at %s, goes on at %s", c.id, c.resumes, begun, lease.Version))
		}
	}
	return lease.Version, true
}

// play plays one history: v1 serves, v2 joins at 4 s, v1 leaves at 20 s, and streams begin until 50 s. A share of the
// routers is killed at times relative to that at which v1 begins to leave.
func (m *versionModel) play(killAt []time.Duration, share float64) {
	const leavesAt = 20 * time.Second
	m.setVersions([]string{"v1"}, nil)
	for _, r := range m.routers {
		r.start(true)
	}
	m.endsAt = time.Now().Add(50 * time.Second)
	time.AfterFunc(4*time.Second, func() { m.setVersions([]string{"v1", "v2"}, nil) })
	time.AfterFunc(leavesAt, func() { m.setVersions([]string{"v1", "v2"}, []string{"v1"}) })
	time.AfterFunc(leavesAt+modelDrainTime, func() { m.setVersions([]string{"v2"}, nil) })
	for _, at := range killAt {
		time.AfterFunc(leavesAt+at, func() { m.kill(share) })
	}
	m.run()
}
