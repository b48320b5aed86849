package gatewayd

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/gateway"
)

const (
	// Callers give up after callerTimeout, and want the first event within firstEventObjective.
	callerTimeout       = 10 * time.Second
	firstEventObjective = time.Second
	// reconnectInterval is the interval at which callers try other routers while one doesn't run.
	reconnectInterval = 20 * time.Millisecond
	// The gateway waits for the caches of engines for maxCacheWait at most, and looks at them every
	// cachePollInterval (gateway/startupwait.go).
	maxCacheWait      = 400 * time.Millisecond
	cachePollInterval = 20 * time.Millisecond
)

// requestKind is a kind of request: its rate, the number of different shared parts of prompts, the
// tokens of a prompt, and for how many steps of the engine the response lasts.
type requestKind struct {
	perSecond, prompts         int
	sharedTokens, uniqueTokens int
	steps                      int
}

// requestKinds are those observed with 84 routers before 90 engines.
var requestKinds = []requestKind{
	{76, 100, 10512, 1300, 380},
	{290, 300, 699, 130, 290},
	{132, 150, 2041, 360, 20},
}

// servedRequest says when a request arrived at its caller's first router, and how long it waited for a
// router that runs, for its router to be ready, for the caches of engines and for its first event from the
// engine. isMiss says that the engine had to prefill all of its prompt, isServed that it had a response.
type servedRequest struct {
	arrived                            time.Time
	forRouter, forReady, forCaches, at time.Duration
	isMiss, isServed                   bool
}

// took returns the time to the first event.
func (r *servedRequest) took() time.Duration {
	return r.forRouter + r.forReady + r.forCaches + r.at
}

// restartTraffic sends requests to a startingFleet, whose routers choose the engines. It waits as the
// gateway does, since this one's connections can't be used in virtual time.
type restartTraffic struct {
	fleet *startingFleet
	done  chan struct{}
	// running are the senders and requests.
	running sync.WaitGroup

	mu       sync.Mutex
	requests []servedRequest
}

// start begins to send requests of all kinds. The returned function ends that.
func (s *restartTraffic) start() (stop func()) {
	s.done = make(chan struct{})
	for k := range requestKinds {
		s.running.Go(func() { s.sendAll(&requestKinds[k], fmt.Sprint("k", k)) })
	}
	return func() {
		close(s.done)
		s.running.Wait()
	}
}

// sendAll sends requests of a kind at random times.
func (s *restartTraffic) sendAll(kind *requestKind, name string) {
	for {
		interval := rand.ExpFloat64() / float64(kind.perSecond)
		select {
		case <-s.done:
			return
		case <-time.After(time.Duration(interval * float64(time.Second))):
		}
		s.running.Go(func() {
			r := servedRequest{
				arrived: time.Now(),
			}
			s.send(&r, kind, fmt.Sprint(name, "-", rand.IntN(kind.prompts)))
			s.mu.Lock()
			defer s.mu.Unlock()
			s.requests = append(s.requests, r)
		})
	}
}

// send sends one request and waits for its first event.
func (s *restartTraffic) send(r *servedRequest, kind *requestKind, part string) {
	router := s.fleet.chooseRouter()
	for !router.isRunning.Load() {
		if time.Since(r.arrived) > callerTimeout {
			return
		}
		time.Sleep(reconnectInterval)
		router = s.fleet.chooseRouter()
	}
	r.forRouter = time.Since(r.arrived)
	began := time.Now()
	select {
	case <-router.ready:
	case <-router.stopped:
		return
	case <-time.After(callerTimeout / 2):
		return
	}
	r.forReady = time.Since(began)
	request := &balance.Request{
		Pool: startPool,
		Prompt: []balance.Part{
			{
				Key:    gateway.PartKey(part),
				Tokens: kind.sharedTokens,
			},
		},
		UniqueTokens: kind.uniqueTokens,
	}
	r.forCaches = awaitCaches(router, request, r.forReady)
	began = time.Now()
	r.isMiss, r.isServed = s.serve(router, request, kind, part)
	r.at = time.Since(began)
}

// awaitCaches waits until the router knows where the prompt is cached, as the gateway does for a request
// that has waited before.
func awaitCaches(router *startingRouter, request *balance.Request, waited time.Duration) time.Duration {
	b, began := router.balancer, time.Now()
	limit := min(maxCacheWait, b.PrefillTime(request), firstEventObjective-b.MaxPrefillTime(request)) - waited
	for time.Since(began) < limit && !isOver(router.cachesKnown) && !b.HasCachedPrompt(request) {
		time.Sleep(cachePollInterval)
	}
	return time.Since(began)
}

// serve sends a request to the engine that the router chooses and waits for the first event. The slot is
// occupied until the response ends.
func (s *restartTraffic) serve(
	router *startingRouter, request *balance.Request, kind *requestKind, part string,
) (isMiss, isServed bool) {
	lease, err := router.balancer.Acquire(request)
	if err != nil {
		return false, false
	}
	if lease.Wait > 0 {
		select {
		case <-lease.PrefillDone:
		case <-time.After(lease.Wait):
		}
	}
	router.balancer.RecordSend(lease)
	time.Sleep(latency())
	engine := s.fleet.engines[lease.Backend.Address]
	engine.slots <- struct{}{}
	wait, isMiss := engine.prefill(part, kind.sharedTokens, kind.uniqueTokens)
	time.Sleep(wait)
	router.balancer.RecordResponseStart(lease)
	s.running.Go(func() {
		time.Sleep(time.Duration(kind.steps) * stepTime)
		<-engine.slots
		router.balancer.Release(lease, slipwick.EvidenceGood)
	})
	return isMiss, !isOver(router.stopped)
}
