package emulation

import (
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/slipwick/slipwick/peer/peerpb"
)

// Network carries envelopes and packets between emulated routers.
type Network struct {
	// Latency is the time one way between two routers.
	Latency func(from, to *Router) time.Duration

	mu       sync.Mutex
	random   *rand.Rand
	routers  map[string]*Router
	address  map[string]*Router
	faults   Faults
	traffic  map[string]*Traffic
	requests int
	spy      func(*peerpb.Envelope, int)
}

// NewNetwork makes a network without routers.
func NewNetwork(seed uint64) *Network {
	return &Network{
		Latency: func(*Router, *Router) time.Duration { return time.Millisecond },
		random:  rand.New(rand.NewPCG(seed, 1)),
		routers: make(map[string]*Router),
		address: make(map[string]*Router),
		traffic: make(map[string]*Traffic),
	}
}

// SetFaults switches faults on and off.
func (n *Network) SetFaults(faults Faults) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = faults
}

func (n *Network) add(r *Router) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.routers[r.Self.ID] = r
	n.address[r.Self.Address] = r
	if n.traffic[r.Self.ID] == nil {
		n.traffic[r.Self.ID] = &Traffic{}
	}
}

func (n *Network) reset() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.requests = 0
	for _, t := range n.traffic {
		*t = Traffic{}
	}
}

// Traffic gives what each router has sent and received so far.
func (n *Network) Traffic() map[string]Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	traffic := make(map[string]Traffic, len(n.traffic))
	for id, t := range n.traffic {
		traffic[id] = *t
	}
	return traffic
}

// SlotRequests counts the slot requests sent so far.
func (n *Network) SlotRequests() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.requests
}

// deliver has a message arrive later, if the faults let it.
func (n *Network) deliver(from, to *Router, size int, delay time.Duration, arrive func()) {
	n.traffic[from.Self.ID].add(size)
	if n.faults.Cut != nil && n.faults.Cut(from.Self.ID, to.Self.ID) {
		return
	}
	n.traffic[to.Self.ID].add(size)
	time.AfterFunc(n.Latency(from, to)+delay, func() { to.whenRunning(arrive) })
}

// link is one router's way to send envelopes.
type link struct {
	network *Network
	from    *Router
}

// Send carries an envelope.
func (l *link) Send(router string, envelope *peerpb.Envelope) {
	n := l.network
	n.mu.Lock()
	defer n.mu.Unlock()
	to := n.routers[router]
	if to == nil || l.from.isStopped() {
		return
	}
	n.requests += len(envelope.GetRequests())
	size := proto.Size(envelope) + streamFraming + tcpHeaders
	if n.spy != nil {
		n.spy(envelope, size)
	}
	// The receiver may not see later changes to what the sender keeps.
	arrive := func() { to.receive(l.from.Self.ID, envelope) }
	times, delay := n.fate(envelope)
	for range times {
		n.deliver(l.from, to, size, delay, arrive)
	}
}

// fate tells how often an envelope arrives, and how much later.
func (n *Network) fate(envelope *peerpb.Envelope) (times int, delay time.Duration) {
	const reorderDelay = 20 * time.Millisecond
	lose := n.faults.Lose
	if loadsOnly(envelope) {
		lose = max(lose, n.faults.LoadLose)
		delay = n.faults.LoadDelay
	}
	if n.random.Float64() < lose {
		return 0, 0
	}
	if n.random.Float64() < n.faults.Reorder {
		delay += time.Duration(n.random.Int64N(int64(reorderDelay)))
	}
	if n.random.Float64() < n.faults.Double {
		return 2, delay
	}
	return 1, delay
}

func loadsOnly(e *peerpb.Envelope) bool {
	others := len(e.GetRequests()) + len(e.GetAnswers()) + len(e.GetReleases()) + len(e.GetRenewals()) +
		len(e.GetHandovers()) + len(e.GetPlaced())
	return others == 0
}

// wire is one router's way to send packets.
type wire struct {
	network *Network
	from    *Router
}

// Send carries a packet.
func (w *wire) Send(address string, packet []byte) {
	n := w.network
	n.mu.Lock()
	defer n.mu.Unlock()
	to := n.address[address]
	if to == nil || w.from.isStopped() || n.random.Float64() < n.faults.Lose {
		return
	}
	from := w.from.Self.Address
	n.deliver(w.from, to, len(packet)+udpHeaders, 0, func() { to.receivePacket(from, packet) })
}
