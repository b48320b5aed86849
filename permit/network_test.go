package permit

import (
	"math/rand/v2"
	"sync"
	"time"
)

// headerBytes is the size of the IPv4 and UDP headers of a datagram.
const headerBytes = 28

// maxLateness is how much later than usual a delayed datagram arrives at most.
const maxLateness = time.Second

// centreDelays are the one-way delays between data centres.
var centreDelays = [][]time.Duration{
	{250 * time.Microsecond, 500 * time.Microsecond, 3400 * time.Microsecond},
	{500 * time.Microsecond, 250 * time.Microsecond, 2 * time.Millisecond},
	{3400 * time.Microsecond, 2 * time.Millisecond, 250 * time.Microsecond},
}

// testNetwork delivers datagrams between routers, and may lose, double and delay them.
type testNetwork struct {
	mu      sync.Mutex
	random  *rand.Rand
	nodes   map[string]*testRouter
	lost    float64
	doubled float64
	// delayed is the part of the datagrams that arrive up to maxLateness late.
	delayed float64
	// cut has the addresses that no datagram reaches or leaves, hung those that handle none until they
	// go on.
	cut, hung map[string]bool
	stopped   map[string][]func()
	// bytes counts, by address, what a router sent and received.
	bytes map[string]int
}

// testLink sends the datagrams of one router.
type testLink struct {
	network *testNetwork
	from    string
}

// Send implements Transport.
func (l *testLink) Send(address string, packet []byte) {
	n := l.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut[l.from] || n.cut[address] {
		return
	}
	n.bytes[l.from] += len(packet) + headerBytes
	if n.random.Float64() < n.lost {
		return
	}
	copies := 1
	if n.random.Float64() < n.doubled {
		copies = 2
	}
	to := n.nodes[address]
	if to == nil {
		return
	}
	for range copies {
		delay := centreDelays[n.nodes[l.from].centre][to.centre]
		delay += time.Duration(n.random.Float64() * float64(200*time.Microsecond))
		if n.random.Float64() < n.delayed {
			delay += time.Duration(n.random.Float64() * float64(maxLateness))
		}
		time.AfterFunc(delay, func() { n.deliver(l.from, address, packet) })
	}
}

func (n *testNetwork) deliver(from, address string, packet []byte) {
	n.mu.Lock()
	if n.hung[address] {
		n.stopped[address] = append(n.stopped[address], func() { n.deliver(from, address, packet) })
		n.mu.Unlock()
		return
	}
	n.bytes[address] += len(packet) + headerBytes
	endpoint := n.nodes[address].endpoint
	n.mu.Unlock()
	if endpoint != nil {
		endpoint.Receive(from, packet)
	}
}

// mostBytes returns what the busiest router sent and received.
func (n *testNetwork) mostBytes() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	most := 0
	for _, bytes := range n.bytes {
		most = max(most, bytes)
	}
	return most
}

func (n *testNetwork) setCut(r *testRouter, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[r.Address] = cut
}

func (n *testNetwork) setHung(r *testRouter) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hung[r.Address] = true
}

// resume delivers what arrived while a router hung.
func (n *testNetwork) resume(address string) {
	n.mu.Lock()
	stopped := n.stopped[address]
	n.stopped[address], n.hung[address] = nil, false
	n.mu.Unlock()
	for _, deliver := range stopped {
		deliver()
	}
}
