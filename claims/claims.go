package claims

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"

	"golang.org/x/time/rate"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/peer/peerpb"
	"github.com/slipwick/slipwick/placement"
)

// Transport sends envelopes to other routers. Send does not block and may drop envelopes.
type Transport interface {
	Send(router string, envelope *peerpb.Envelope)
}

// Claims claims keys for the requests of one router, and holds the journals assigned to it. Set the
// exported fields before Run.
type Claims struct {
	// Self is the router's ID.
	Self      string
	Store     slipwick.Store
	Transport Transport
	Policy    Policy
	Stats     Stats

	mu sync.Mutex
	// runCtx is the context of Run, nil before; stopped is set when Run ends.
	runCtx  context.Context
	stopped bool
	routers []slipwick.Router
	// held holds the journals assigned to this router, by number.
	held map[int]*heldJournal
	// answers holds the channel of each Claim call that waits for an answer, by claimant.
	answers map[uint64]chan *peerpb.ClaimAnswer
	tasks   sync.WaitGroup
	done    chan struct{}
}

// heldJournal is a journal that this router writes, and the function that stops it.
type heldJournal struct {
	journal *journal
	cancel  context.CancelFunc
}

// inboxLength bounds the messages queued for one journal.
const inboxLength = 4096

// New returns a Claims; Run starts it.
func New(self string, store slipwick.Store, transport Transport, policy Policy) *Claims {
	return &Claims{
		Self:      self,
		Store:     store,
		Transport: transport,
		Policy:    policy,
		held:      make(map[int]*heldJournal),
		answers:   make(map[uint64]chan *peerpb.ClaimAnswer),
		done:      make(chan struct{}),
	}
}

// Run holds the journals assigned to this router, and blocks until ctx ends.
func (c *Claims) Run(ctx context.Context) {
	defer close(c.done)
	c.mu.Lock()
	c.runCtx = ctx
	c.reassign()
	c.mu.Unlock()
	<-ctx.Done()
	// No goroutine starts after this, so Wait covers all of them.
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	c.tasks.Wait()
}

// Done returns a channel that is closed when Run has ended.
func (c *Claims) Done() <-chan struct{} {
	return c.done
}

// SetRouters sets the routers among which journals are distributed.
func (c *Claims) SetRouters(routers []slipwick.Router) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.routers = routers
	c.reassign()
}

// reassign starts the journals that are now assigned to this router, and stops the others; c.mu
// must be held.
func (c *Claims) reassign() {
	if c.runCtx == nil || c.stopped {
		return
	}
	for number := range c.Policy.Journals {
		isAssigned := c.holder(number) == c.Self
		held := c.held[number]
		switch {
		case isAssigned && held == nil:
			c.startJournal(number)
		case !isAssigned && held != nil:
			held.cancel()
			delete(c.held, number)
		}
	}
}

// holder returns the ID of the router that a journal is assigned to; empty if there are no routers.
func (c *Claims) holder(number int) string {
	index := placement.BestRouter(placement.IDHash(fmt.Sprintf("journal/%d", number)), c.routers)
	if index < 0 {
		return ""
	}
	return c.routers[index].ID
}

func (c *Claims) startJournal(number int) {
	ctx, cancel := context.WithCancel(c.runCtx)
	h := &heldJournal{
		journal: &journal{
			number:    number,
			policy:    &c.Policy,
			store:     c.Store,
			limiter:   rate.NewLimiter(rate.Limit(c.Policy.WritesPerSecond/float64(c.Policy.Journals)), 1),
			answer:    c.answer,
			writeBase: rand.Uint64(),
			inbox:     make(chan message, inboxLength),
			stats:     &c.Stats,
		},
		cancel: cancel,
	}
	c.held[number] = h
	c.tasks.Go(func() {
		h.journal.run(ctx)
	})
}

// HeldJournals returns the numbers of the journals that this router holds, in ascending order.
func (c *Claims) HeldJournals() []int {
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

// Receive handles the parts of an envelope that concern claims.
func (c *Claims) Receive(from string, envelope *peerpb.Envelope) {
	for _, request := range envelope.GetClaimRequests() {
		c.enqueue(message{
			from:  from,
			claim: request,
		})
	}
	for _, ending := range envelope.GetClaimEndings() {
		c.enqueue(message{
			from:   from,
			ending: ending,
		})
	}
	for _, answer := range envelope.GetClaimAnswers() {
		c.receiveAnswer(answer)
	}
}

// enqueue queues a message for its journal, or answers a claim request at once if that is not
// possible.
func (c *Claims) enqueue(m message) {
	raw := m.claim.GetKey()
	if m.ending != nil {
		raw = m.ending.GetKey()
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
		if m.claim == nil || !held.journal.storeFailing.Load() {
			select {
			case held.journal.inbox <- m:
				return
			default:
			}
		}
		result = peerpb.ClaimResult_CLAIM_UNAVAILABLE
	}
	if m.claim != nil {
		c.answer(m.from, &peerpb.ClaimAnswer{
			Claimant: m.claim.GetClaimant(),
			Result:   result,
		})
	}
}

// answer sends an answer to the router that requested the claim.
func (c *Claims) answer(router string, answer *peerpb.ClaimAnswer) {
	if router == c.Self {
		c.receiveAnswer(answer)
		return
	}
	c.Transport.Send(router, &peerpb.Envelope{
		ClaimAnswers: []*peerpb.ClaimAnswer{answer},
	})
}

// receiveAnswer passes an answer to the Claim call that waits for it.
func (c *Claims) receiveAnswer(answer *peerpb.ClaimAnswer) {
	c.mu.Lock()
	answers := c.answers[answer.GetClaimant()]
	c.mu.Unlock()
	if answers == nil {
		return
	}
	select {
	case answers <- answer:
	default:
		// The channel still holds an answer to an earlier copy of the request. Claim reads that
		// one, and repeats the request if it is CLAIM_MOVED.
	}
}
