package claims

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/peer/peerpb"
	"github.com/slipwick/slipwick/placement"
)

// Link carries envelopes to other routers. Send does not block and may lose
// what it is given.
type Link interface {
	Send(router string, envelope *peerpb.Envelope)
}

// Claims is one router's part in claims: it asks holders of journals, and
// holds the journals that fall to it. Set the exported fields before Run.
type Claims struct {
	// Self is the router's ID.
	Self   string
	Store  slipwick.Store
	Link   Link
	Policy Policy
	Stats  Stats

	mu      sync.Mutex
	running context.Context
	stopped bool
	routers []slipwick.Router
	held    map[int]*holding
	asks    map[uint64]chan *peerpb.ClaimAnswer
	parts   sync.WaitGroup
	done    chan struct{}
}

// holding is a journal that this router writes.
type holding struct {
	journal *journal
	cancel  context.CancelFunc
}

// inboxLength bounds the claims that wait for one journal.
const inboxLength = 4096

// New makes a router's part that Run starts.
func New(self string, store slipwick.Store, link Link, policy Policy) *Claims {
	return &Claims{
		Self:   self,
		Store:  store,
		Link:   link,
		Policy: policy,
		held:   make(map[int]*holding),
		asks:   make(map[uint64]chan *peerpb.ClaimAnswer),
		done:   make(chan struct{}),
	}
}

// Run holds journals until ctx ends.
func (c *Claims) Run(ctx context.Context) {
	defer close(c.done)
	c.mu.Lock()
	c.running = ctx
	c.share()
	c.mu.Unlock()
	<-ctx.Done()
	// Nothing is begun after this, so that the wait sees all parts.
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	c.parts.Wait()
}

// Done is closed when Run has ended.
func (c *Claims) Done() <-chan struct{} {
	return c.done
}

// SetRouters takes the routers among which journals are shared.
func (c *Claims) SetRouters(routers []slipwick.Router) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.routers = routers
	c.share()
}

// share begins to hold what falls to this router, and stops holding the rest;
// c.mu is held.
func (c *Claims) share() {
	if c.running == nil || c.stopped {
		return
	}
	for number := range c.Policy.Journals {
		mine := c.holder(number) == c.Self
		held := c.held[number]
		switch {
		case mine && held == nil:
			c.hold(number)
		case !mine && held != nil:
			held.cancel()
			delete(c.held, number)
		}
	}
}

// holder gives the router that a journal falls to; empty without any.
func (c *Claims) holder(number int) string {
	index := placement.BestRouter(placement.IDHash(fmt.Sprintf("journal/%d", number)), c.routers)
	if index < 0 {
		return ""
	}
	return c.routers[index].ID
}

func (c *Claims) hold(number int) {
	ctx, cancel := context.WithCancel(c.running)
	h := &holding{
		journal: &journal{
			number:    number,
			policy:    &c.Policy,
			store:     c.Store,
			limiter:   rate.NewLimiter(rate.Limit(c.Policy.WritesPerSecond/float64(c.Policy.Journals)), 1),
			answer:    c.answer,
			writeBase: rand.Uint64(),
			inbox:     make(chan work, inboxLength),
			stats:     &c.Stats,
		},
		cancel: cancel,
	}
	c.held[number] = h
	c.parts.Go(func() {
		h.journal.run(ctx)
	})
}

// Held lists the journals that this router holds.
func (c *Claims) Held() []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := make([]int, 0, len(c.held))
	for number := range c.Policy.Journals {
		if c.held[number] != nil {
			held = append(held, number)
		}
	}
	return held
}

// Receive takes what of an envelope concerns claims.
func (c *Claims) Receive(from string, envelope *peerpb.Envelope) {
	for _, request := range envelope.GetClaimRequests() {
		c.onWork(work{
			from:  from,
			claim: request,
		})
	}
	for _, ending := range envelope.GetClaimEndings() {
		c.onWork(work{
			from:   from,
			ending: ending,
		})
	}
	for _, answer := range envelope.GetClaimAnswers() {
		c.onAnswer(answer)
	}
}

// onWork gives a message to its journal, or says at once why it can't.
func (c *Claims) onWork(w work) {
	raw := w.claim.GetKey()
	if w.ending != nil {
		raw = w.ending.GetKey()
	}
	if len(raw) != keyBytes {
		return
	}
	key := Key{}
	copy(key.hash[:], raw)
	c.mu.Lock()
	held := c.held[key.journal(c.Policy.Journals)]
	c.mu.Unlock()
	result := peerpb.ClaimResult_CLAIM_MOVED
	if held != nil {
		if w.claim == nil || !held.journal.failing.Load() {
			select {
			case held.journal.inbox <- w:
				return
			default:
			}
		}
		result = peerpb.ClaimResult_CLAIM_UNAVAILABLE
	}
	if w.claim != nil {
		c.answer(w.from, &peerpb.ClaimAnswer{
			Claimant: w.claim.GetClaimant(),
			Result:   result,
		})
	}
}

func (c *Claims) answer(router string, answer *peerpb.ClaimAnswer) {
	if router == c.Self {
		c.onAnswer(answer)
		return
	}
	c.Link.Send(router, &peerpb.Envelope{
		ClaimAnswers: []*peerpb.ClaimAnswer{answer},
	})
}

func (c *Claims) onAnswer(answer *peerpb.ClaimAnswer) {
	c.mu.Lock()
	ask := c.asks[answer.GetClaimant()]
	c.mu.Unlock()
	if ask == nil {
		return
	}
	select {
	case ask <- answer:
	default:
		// Answers to asks that were repeated say the same.
	}
}

// askAgain is the pause before a holder that moved is looked for again.
const askAgain = 50 * time.Millisecond
