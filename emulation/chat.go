package emulation

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/placement"
)

// maxSlotWait limits how long a request waits for a slot.
const maxSlotWait = 10 * time.Second

// Chat emulates a caller that sends the requests of one chat, one at a time.
type Chat struct {
	world     *World
	random    *rand.Rand
	workspace string
	key       uint64
	turns     int
}

// NewChat creates the i-th chat, in the workspace. Its random numbers and its
// key follow from i and the seed of the setup; streams 1 and 2 of the seed are
// those of the network and the world.
func (w *World) NewChat(workspace string, i int) *Chat {
	return &Chat{
		world:     w,
		random:    rand.New(rand.NewPCG(w.Setup.Seed, uint64(i)+3)),
		workspace: workspace,
		key:       placement.ChatKey(workspace, fmt.Sprintf("chat-%d", i)),
	}
}

// StartChats starts all chats of the setup, which send requests until
// StopChats. None is in the last workspace; only Surge starts chats there.
func (w *World) StartChats() {
	for i := range w.Setup.Chats {
		c := w.NewChat(workspaces[i%(len(workspaces)-1)], i)
		w.goroutines.Go(c.run)
	}
}

func (c *Chat) run() {
	w := c.world
	think := w.Setup.ThinkTime
	if c.random.Float64() >= w.Setup.HotShare {
		const coldThinkFactor = 10
		think *= coldThinkFactor
	}
	// The first requests are spread out, so that the fleet starts in its steady
	// state and not with a burst.
	wait := time.Duration(c.random.Float64() * float64(think+w.Setup.ServiceTime))
	for c.think(wait) {
		_ = c.SendRequest()
		wait = time.Duration(c.random.ExpFloat64() * float64(think))
	}
}

// think waits before the next request. When ReturnChats is called, it returns
// within a second. It reports false if StopChats was called in the meantime.
func (c *Chat) think(wait time.Duration) bool {
	w := c.world
	w.mu.Lock()
	returning := w.returnChats
	w.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-w.done:
		return false
	case <-timer.C:
		return true
	case <-returning:
		return w.sleep(time.Duration(c.random.Int64N(int64(time.Second))))
	}
}

// ReturnChats makes all chats that wait send their next request within one
// second.
func (w *World) ReturnChats() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.returnChats)
	w.returnChats = make(chan struct{})
}

// Surge sends the first request of count new chats of a workspace within one
// second. The chats are numbered from the given index.
func (w *World) Surge(workspace string, count, from int) {
	for i := range count {
		c := w.NewChat(workspace, from+i)
		w.goroutines.Go(func() {
			if w.sleep(time.Duration(c.random.Int64N(int64(time.Second)))) {
				_ = c.SendRequest()
			}
		})
	}
}

// errEngineFailed says that the engine failed or hung while it had the request.
var errEngineFailed = errors.New("engine failed")

// SendRequest sends one request through a random router and retries it at
// other engines if its engine fails. It returns the last error.
func (c *Chat) SendRequest() error {
	w := c.world
	w.Meter.recordArrival(c.workspace)
	request := slipwick.AcquireRequest{
		Pool:      poolName,
		Workspace: c.workspace,
		Chat:      c.key,
	}
	const maxAttempts = 3
	var err error
	for range maxAttempts {
		var engine string
		engine, err = c.attempt(request)
		if !errors.Is(err, errEngineFailed) {
			break
		}
		request.Exclude = append(request.Exclude, engine)
	}
	if err != nil && !errors.Is(err, errEngineFailed) {
		w.Meter.recordRefusal(c.workspace)
	}
	return err
}

// attempt sends the request once. It returns the engine that served it, with
// errEngineFailed if that engine failed, or the error of the admission.
func (c *Chat) attempt(request slipwick.AcquireRequest) (engine string, err error) {
	w := c.world
	router := w.anyRouter(c.random)
	if router == nil {
		return "", &slipwick.Error{
			Kind:    slipwick.KindNotReady,
			Message: "all routers are stopped",
			Remedy:  "start one",
			Outcome: slipwick.OutcomeNotRun,
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxSlotWait)
	defer cancel()
	started := time.Now()
	grant, err := router.Acquire(ctx, request)
	if err != nil {
		return "", err
	}
	id := grant.Backend.ID
	w.Meter.recordGrant(id, time.Since(started))
	evidence := c.serve(id)
	w.Meter.recordRelease(id)
	router.Release(grant, evidence)
	if evidence.IsFailure() {
		w.Meter.recordFailedAttempt()
		return id, errEngineFailed
	}
	return id, nil
}

// serve runs the request at the engine and returns the evidence of the engine's
// health that a router would get from it.
func (c *Chat) serve(id string) slipwick.Evidence {
	w := c.world
	w.mu.Lock()
	e := w.engines[id]
	hanging := e.hanging
	w.mu.Unlock()
	if e.isCrashed() {
		return slipwick.EvidenceUnreachable
	}
	service := time.Duration((0.5 + c.random.Float64()) * float64(w.Setup.ServiceTime))
	if hanging {
		const firstTokenTimeout = 2 * time.Second
		time.Sleep(firstTokenTimeout)
		return slipwick.EvidenceTimeout
	}
	cached := e.serve(c.key)
	if !cached {
		service += prefillTime
	}
	if c.turns++; c.turns > 1 {
		w.Meter.recordReturn(cached)
	}
	timer := time.NewTimer(service)
	defer timer.Stop()
	select {
	case <-timer.C:
		return slipwick.EvidenceGood
	case <-e.crashed:
		return slipwick.EvidenceError
	}
}

// anyRouter returns the admission of a random running router, as the platform's
// load balancer would choose it; nil if all are stopped.
func (w *World) anyRouter(random *rand.Rand) slipwick.Admission {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !slices.ContainsFunc(w.routers, func(r *Router) bool { return !r.isStopped() }) {
		return nil
	}
	for {
		r := w.routers[random.IntN(len(w.routers))]
		if !r.isStopped() {
			return w.admissions[r.Self.ID]
		}
	}
}
