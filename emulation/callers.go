package emulation

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/placement"
)

// hold bounds a request's wait for a slot.
const hold = 10 * time.Second

// Chat is one emulated chat.
type Chat struct {
	world     *World
	random    *rand.Rand
	workspace string
	key       uint64
	turns     int
}

// NewChat makes the i-th chat.
func (w *World) NewChat(workspace string, i int) *Chat {
	return &Chat{
		world:     w,
		random:    rand.New(rand.NewPCG(w.Setup.Seed, uint64(i)+3)),
		workspace: workspace,
		key:       placement.ChatKey(workspace, fmt.Sprintf("chat-%d", i)),
	}
}

// StartChats has all chats of the setup think and return until Close. Those of
// the last workspace are started by Surge alone.
func (w *World) StartChats() {
	for i := range w.Setup.Chats {
		c := w.NewChat(workspaces[i%(len(workspaces)-1)], i)
		w.parts.Go(c.run)
	}
}

func (c *Chat) run() {
	w := c.world
	think := w.Setup.Think
	if c.random.Float64() >= w.Setup.Hot {
		const cold = 10
		think *= cold
	}
	// The fleet starts in its steady state, not with a burst.
	wait := time.Duration(c.random.Float64() * float64(think+w.Setup.Service))
	for c.think(wait) {
		_ = c.Turn()
		wait = time.Duration(c.random.ExpFloat64() * float64(think))
	}
}

// think waits, or returns within a second when all chats are called back.
func (c *Chat) think(wait time.Duration) bool {
	w := c.world
	w.mu.Lock()
	back := w.back
	w.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-w.done:
		return false
	case <-timer.C:
		return true
	case <-back:
		return w.pause(time.Duration(c.random.Int64N(int64(time.Second))))
	}
}

// CallBack has all chats that think return within one second.
func (w *World) CallBack() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.back)
	w.back = make(chan struct{})
}

// Surge has count new chats of a workspace arrive within one second.
func (w *World) Surge(workspace string, count, from int) {
	for i := range count {
		c := w.NewChat(workspace, from+i)
		w.parts.Go(func() {
			if w.pause(time.Duration(c.random.Int64N(int64(time.Second)))) {
				_ = c.Turn()
			}
		})
	}
}

// errLost is a request that its engine took down with it.
var errLost = errors.New("the engine was lost")

// Turn has one request through a random router and gives how it ended.
func (c *Chat) Turn() error {
	w := c.world
	w.Meter.arrived(c.workspace)
	ask := slipwick.AcquireRequest{
		Pool:      poolName,
		Workspace: c.workspace,
		Chat:      c.key,
	}
	const tries = 3
	var err error
	for range tries {
		var at string
		at, err = c.try(ask)
		if !errors.Is(err, errLost) {
			break
		}
		ask.Exclude = append(ask.Exclude, at)
	}
	if err != nil && !errors.Is(err, errLost) {
		w.Meter.refuse(c.workspace)
	}
	return err
}

func (c *Chat) try(ask slipwick.AcquireRequest) (engine string, err error) {
	w := c.world
	admits := w.anyRouter(c.random)
	ctx, cancel := context.WithTimeout(context.Background(), hold)
	defer cancel()
	started := time.Now()
	grant, err := admits.Acquire(ctx, ask)
	if err != nil {
		return "", err
	}
	id := grant.Backend.ID
	w.Meter.granted(id, time.Since(started))
	evidence := c.serve(id)
	w.Meter.released(id)
	admits.Release(grant, evidence)
	if evidence.IsFailure() {
		w.Meter.broke()
		return id, errLost
	}
	return id, nil
}

// serve has the engine answer, and gives what it showed of its health.
func (c *Chat) serve(id string) slipwick.Evidence {
	w := c.world
	w.mu.Lock()
	e := w.engines[id]
	hangs := e.hangs
	w.mu.Unlock()
	if e.isLost() {
		return slipwick.EvidenceUnreachable
	}
	service := time.Duration((0.5 + c.random.Float64()) * float64(w.Setup.Service))
	if hangs {
		const firstTokenLimit = 2 * time.Second
		time.Sleep(firstTokenLimit)
		return slipwick.EvidenceTimeout
	}
	cached := e.serve(c.key)
	if !cached {
		service += prefill
	}
	if c.turns++; c.turns > 1 {
		w.Meter.turn(cached)
	}
	timer := time.NewTimer(service)
	defer timer.Stop()
	select {
	case <-timer.C:
		return slipwick.EvidenceGood
	case <-e.lost:
		return slipwick.EvidenceError
	}
}

// anyRouter is the platform's balancer: any router that runs.
func (w *World) anyRouter(random *rand.Rand) slipwick.Admission {
	w.mu.Lock()
	defer w.mu.Unlock()
	for {
		r := w.routers[random.IntN(len(w.routers))]
		if !r.isStopped() {
			return w.admits[r.Self.ID]
		}
	}
}
