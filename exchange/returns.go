package exchange

import (
	"context"
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/exchange/exchangepb"
	"github.com/slipwick/slipwick/placement"
)

var _ slipwick.ReturnSource = (*Returns)(nil)

const (
	// maxReturnKeys bounds the refused requests that one router remembers for the fleet, of 100 bytes each.
	// The oldest are forgotten first.
	maxReturnKeys = 8192
	// earlyReturn is how much earlier than told a caller may return: the refusal takes that long to the
	// router that remembers it. returnWindow is how much later.
	earlyReturn  = 20 * time.Millisecond
	returnWindow = 10 * time.Second
	// maxReturnSends and maxHubReturnSends bound the datagrams that a router sends within a second for its
	// own refusals and returns. Above it, callers aren't recognised. With these bounds, a router receives
	// some 7.5 KB/s for its own requests and those of others, and a hub 0.8 KB/s for its own.
	maxReturnSends, maxHubReturnSends = 300, 100
	// maxReturnDelay bounds the Retry-After accepted from a datagram.
	maxReturnDelay = time.Minute
)

// Returns recognises callers who return to another router than the one that refused them. One router remembers
// the refusals of each key: rendezvous hashing chooses it, but no hub, because hubs receive the most. A lost
// datagram has no other effect than that a caller isn't recognised. Set the exported fields before the first call.
type Returns struct {
	Self      string
	Transport Transport
	// Routers returns the live routers, with or without this one.
	Routers func() []slipwick.Router
	// Address returns the address at which a router receives datagrams.
	Address func(slipwick.Router) string

	mu   sync.Mutex
	hubs *hubs
	// dueAt has when the caller of each refused request that this router remembers may return.
	dueAt *lru.LRU[uint32, time.Time]
	// asked has those who wait for an answer about a key.
	asked map[uint32][]chan bool
	// sent counts the datagrams since secondAt.
	sent     int
	secondAt time.Time
}

// NewReturns returns the returns for the router with this ID. Set the other exported fields before the first call.
func NewReturns(self string) *Returns {
	// The error is for sizes below 1.
	dueAt, _ := lru.NewLRU[uint32, time.Time](maxReturnKeys, nil)
	return &Returns{
		Self:  self,
		hubs:  chooseHubs(nil),
		dueAt: dueAt,
		asked: make(map[uint32][]chan bool),
	}
}

// NoteRefusal implements slipwick.ReturnSource.
func (r *Returns) NoteRefusal(key uint64, retryAfter time.Duration) {
	short := uint32(key)
	keeper, isSelf := r.keeper(short)
	if isSelf {
		r.remember(short, retryAfter)
		return
	}
	r.sendBounded(keeper, &exchangepb.Told{
		Scope:        exchangepb.Scope_SCOPE_NONE,
		RefusedKeys:  []uint32{short},
		RefusedAfter: []uint32{uint32(retryAfter.Milliseconds())},
	})
}

// TakeReturn implements slipwick.ReturnSource.
func (r *Returns) TakeReturn(ctx context.Context, key uint64, wait time.Duration) bool {
	short := uint32(key)
	keeper, isSelf := r.keeper(short)
	if isSelf {
		return r.take(short)
	}
	if wait <= 0 {
		return false
	}
	answer := make(chan bool, 1)
	r.mu.Lock()
	r.asked[short] = append(r.asked[short], answer)
	r.mu.Unlock()
	defer r.stopWaiting(short, answer)
	if !r.ask(keeper, short) {
		return false
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	select {
	case isReturning := <-answer:
		return isReturning
	case <-timeout.C:
	case <-ctx.Done():
	}
	return false
}

// Forget implements slipwick.ReturnSource.
func (r *Returns) Forget(key uint64) {
	short := uint32(key)
	if keeper, isSelf := r.keeper(short); isSelf {
		r.take(short)
	} else {
		r.ask(keeper, short)
	}
}

// keeper returns the router that remembers a key.
func (r *Returns) keeper(key uint32) (keeper slipwick.Router, isSelf bool) {
	routers := r.Routers()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Equal(routers, r.hubs.routers) {
		r.hubs = chooseHubs(routers)
	}
	others := r.hubs.withoutHubs()
	best := placement.BestRouter(uint64(key), others)
	if best < 0 {
		return slipwick.Router{}, true
	}
	return others[best], others[best].ID == r.Self
}

func (r *Returns) ask(keeper slipwick.Router, key uint32) bool {
	return r.sendBounded(keeper, &exchangepb.Told{
		From:      r.Self,
		Scope:     exchangepb.Scope_SCOPE_NONE,
		AskedKeys: []uint32{key},
	})
}

// sendBounded sends a datagram unless too many were sent within the second.
func (r *Returns) sendBounded(to slipwick.Router, message *exchangepb.Told) bool {
	r.mu.Lock()
	if now := clock.Now(); now.Sub(r.secondAt) >= time.Second {
		r.sent, r.secondAt = 0, now
	}
	r.sent++
	limit := maxReturnSends
	if r.hubs.isHub(r.Self) {
		limit = maxHubReturnSends
	}
	isAllowed := r.sent <= limit
	r.mu.Unlock()
	if isAllowed {
		r.Transport.Send(r.Address(to), marshal(message))
	}
	return isAllowed
}

func (r *Returns) remember(key uint32, retryAfter time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dueAt.Add(key, clock.Now().Add(min(retryAfter, maxReturnDelay)))
}

// take reports whether the caller of a request that this router remembers returns as told. It forgets the
// request then. A caller that returns earlier gets no precedence for it.
func (r *Returns) take(key uint32) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	due, known := r.dueAt.Peek(key)
	late := clock.Since(due)
	if !known || late < -earlyReturn {
		return false
	}
	r.dueAt.Remove(key)
	return late <= returnWindow
}

func (r *Returns) stopWaiting(key uint32, answer chan bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	waiting := slices.DeleteFunc(r.asked[key], func(c chan bool) bool { return c == answer })
	if r.asked[key] = waiting; len(waiting) == 0 {
		delete(r.asked, key)
	}
}

// answer passes an answer about a key to the first who waits for one.
func (r *Returns) answer(key uint32, isReturning bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if waiting := r.asked[key]; len(waiting) > 0 {
		waiting[0] <- isReturning
		r.asked[key] = waiting[1:]
	}
}

// receive handles a datagram of another router. It reports whether the datagram is one of refusals or returns.
func (r *Returns) receive(message *exchangepb.Told) bool {
	refused, asked := message.GetRefusedKeys(), message.GetAskedKeys()
	returning, unknown := message.GetReturningKeys(), message.GetUnknownKeys()
	for i := range min(len(refused), len(message.GetRefusedAfter())) {
		r.remember(refused[i], time.Duration(message.GetRefusedAfter()[i])*time.Millisecond)
	}
	for _, key := range asked {
		r.reply(message.GetFrom(), key)
	}
	for _, key := range returning {
		r.answer(key, true)
	}
	for _, key := range unknown {
		r.answer(key, false)
	}
	return len(refused)+len(asked)+len(returning)+len(unknown) > 0
}

// reply answers whether the caller of a request returns.
func (r *Returns) reply(to string, key uint32) {
	routers := r.Routers()
	i := slices.IndexFunc(routers, func(x slipwick.Router) bool { return x.ID == to })
	if i < 0 {
		return
	}
	message := &exchangepb.Told{
		Scope: exchangepb.Scope_SCOPE_NONE,
	}
	if r.take(key) {
		message.ReturningKeys = []uint32{key}
	} else {
		message.UnknownKeys = []uint32{key}
	}
	r.Transport.Send(r.Address(routers[i]), marshal(message))
}
