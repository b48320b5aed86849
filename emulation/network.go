package emulation

import (
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/slipwick/slipwick/peer/peerpb"
)

// Network carries messages between emulated routers: envelopes, which production
// routers send over TCP streams, and membership packets, which they send over UDP.
type Network struct {
	// Latency returns the one-way latency between two routers.
	Latency func(from, to *Router) time.Duration

	mu           sync.Mutex
	random       *rand.Rand
	routers      map[string]*Router
	byAddress    map[string]*Router
	faults       Faults
	traffic      map[string]*Traffic
	slotRequests int
}

// NewNetwork creates a network without routers, where each message takes a
// millisecond. The seed decides which messages the faults affect.
func NewNetwork(seed uint64) *Network {
	return &Network{
		Latency:   func(*Router, *Router) time.Duration { return time.Millisecond },
		random:    rand.New(rand.NewPCG(seed, 1)),
		routers:   make(map[string]*Router),
		byAddress: make(map[string]*Router),
		traffic:   make(map[string]*Traffic),
	}
}

// SetFaults replaces the faults; the zero value injects none.
func (n *Network) SetFaults(faults Faults) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = faults
}

func (n *Network) add(r *Router) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.routers[r.Self.ID] = r
	n.byAddress[r.Self.Address] = r
	if n.traffic[r.Self.ID] == nil {
		n.traffic[r.Self.ID] = &Traffic{}
	}
}

// reset clears the counts of traffic and slot requests.
func (n *Network) reset() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.slotRequests = 0
	for _, t := range n.traffic {
		*t = Traffic{}
	}
}

// Traffic returns the control traffic of each router by its ID, since the start
// or the end of the warm-up.
func (n *Network) Traffic() map[string]Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	traffic := make(map[string]Traffic, len(n.traffic))
	for id, t := range n.traffic {
		traffic[id] = *t
	}
	return traffic
}

// SlotRequests returns the number of slot requests sent between routers, since
// the start or the end of the warm-up.
func (n *Network) SlotRequests() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.slotRequests
}

// deliver counts a message and has the receiver handle it after the latency and
// the delay, unless Faults.Cut drops it; n.mu is held.
func (n *Network) deliver(from, to *Router, size int, delay time.Duration, handle func()) {
	n.traffic[from.Self.ID].add(size)
	if n.faults.Cut != nil && n.faults.Cut(from.Self.ID, to.Self.ID) {
		return
	}
	n.traffic[to.Self.ID].add(size)
	time.AfterFunc(n.Latency(from, to)+delay, func() { to.accept(handle) })
}

// envelopeTransport sends one router's envelopes.
type envelopeTransport struct {
	network *Network
	from    *Router
}

// Send sends an envelope to a router. It does not block.
func (t *envelopeTransport) Send(router string, envelope *peerpb.Envelope) {
	n := t.network
	n.mu.Lock()
	defer n.mu.Unlock()
	to := n.routers[router]
	if to == nil || t.from.isStopped() {
		return
	}
	n.slotRequests += len(envelope.GetRequests())
	size := proto.Size(envelope) + streamFraming + tcpHeaders
	// The envelope is not copied, so neither side may change it later.
	handle := func() { to.receive(t.from.Self.ID, envelope) }
	copies, delay := n.applyFaults(envelope)
	for range copies {
		n.deliver(t.from, to, size, delay, handle)
	}
}

// applyFaults returns how many copies of an envelope arrive, and with which
// delay on top of the latency; n.mu is held.
func (n *Network) applyFaults(envelope *peerpb.Envelope) (copies int, delay time.Duration) {
	const maxReorderDelay = 20 * time.Millisecond
	lossRate := n.faults.LossRate
	if loadsOnly(envelope) {
		lossRate = max(lossRate, n.faults.LoadLossRate)
		delay = n.faults.LoadDelay
	}
	if n.random.Float64() < lossRate {
		return 0, 0
	}
	if n.random.Float64() < n.faults.ReorderRate {
		delay += time.Duration(n.random.Int64N(int64(maxReorderDelay)))
	}
	if n.random.Float64() < n.faults.DuplicateRate {
		return 2, delay
	}
	return 1, delay
}

// loadsOnly reports whether an envelope carries load reports and totals only. An
// envelope that also carries claims, the configuration, notices or crashes (marks)
// counts as such too, because these are not checked.
func loadsOnly(e *peerpb.Envelope) bool {
	others := len(e.GetRequests()) + len(e.GetAnswers()) + len(e.GetReleases()) + len(e.GetRenewals()) +
		len(e.GetHandovers()) + len(e.GetPlaced()) + len(e.GetClaimRequests()) + len(e.GetClaimAnswers()) +
		len(e.GetClaimEndings()) + len(e.GetMarks()) + len(e.GetNotices())
	return others == 0 && e.ConfigurationAfter == nil && e.GetConfigurationObject() == nil
}

// packetTransport sends one router's packets.
type packetTransport struct {
	network *Network
	from    *Router
}

// Send sends a packet to an address. It does not block.
func (t *packetTransport) Send(address string, packet []byte) {
	n := t.network
	n.mu.Lock()
	defer n.mu.Unlock()
	to := n.byAddress[address]
	if to == nil || t.from.isStopped() || n.random.Float64() < n.faults.LossRate {
		return
	}
	from := t.from.Self.Address
	n.deliver(t.from, to, len(packet)+udpHeaders, 0, func() { to.receivePacket(from, packet) })
}
