package membership

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/slipwick/slipwick/membership/memberpb"
)

func (n *Node) packet(kind memberpb.Kind, sequence uint64) *memberpb.Packet {
	return &memberpb.Packet{
		Kind:     kind,
		Sequence: sequence,
		From:     n.Self.ID,
		Digest:   n.digest,

		Configuration: n.version,
		News:          n.rumours.take(n.Policy.NewsPerPacket, len(n.members)),
	}
}

func (n *Node) send(address string, packet *memberpb.Packet) {
	encoded, err := proto.Marshal(packet)
	if err != nil || address == "" {
		return
	}
	n.Wire.Send(address, encoded)
}

// Receive takes a packet; address is where answers go. What can't be read is
// dropped.
func (n *Node) Receive(address string, encoded []byte) {
	packet := &memberpb.Packet{}
	if proto.Unmarshal(encoded, packet) != nil {
		return
	}
	n.locked(func() { n.receive(address, packet) })
}

func (n *Node) receive(address string, packet *memberpb.Packet) {
	n.meet(address, packet.GetFrom())
	for _, news := range packet.GetNews() {
		n.apply(news)
	}
	if packet.GetConfiguration() > n.version {
		n.OnVersion(packet.GetFrom(), packet.GetConfiguration())
	}
	switch packet.GetKind() {
	case memberpb.Kind_KIND_PROBE:
		n.compare(address, packet)
		n.accuse(packet.GetFrom())
		n.send(address, n.packet(memberpb.Kind_KIND_ACK, packet.GetSequence()))
	case memberpb.Kind_KIND_ACK:
		n.acked(packet)
		n.compare(address, packet)
	case memberpb.Kind_KIND_PROBE_FOR:
		n.probeFor(address, packet)
	case memberpb.Kind_KIND_NEWS:
		n.answered(packet)
	case memberpb.Kind_KIND_SYNC:
		n.answer(address, packet)
		n.askBack(address, packet)
	}
}

// meetEvery bounds how often a router asks others that it does not know.
const meetEvery = 100 * time.Millisecond

// meet asks a router that is not known here for all it knows. A router that
// restarts at the same address is still probed by those that knew it: so it
// finds the fleet though none of its seeds is up.
func (n *Node) meet(address, from string) {
	now := time.Now()
	if from == "" || n.members[from] != nil || now.Sub(n.metAt) < meetEvery {
		return
	}
	n.metAt = now
	n.ask(address, n.wanted())
}

// accuse tells a router that probes, though it counts as dead or suspect here,
// what is said of it, so that it refutes.
func (n *Node) accuse(id string) {
	if m := n.members[id]; m != nil && (m.dead() || m.news.GetState() == memberpb.State_STATE_SUSPECT) {
		n.rumours.add(m.news)
	}
}

func (n *Node) acked(packet *memberpb.Packet) {
	p := n.probes[packet.GetSequence()]
	if p == nil {
		return
	}
	delete(n.probes, packet.GetSequence())
	if p.forAddress != "" {
		n.send(p.forAddress, n.packet(memberpb.Kind_KIND_ACK, p.forSequence))
		return
	}
	if m := n.members[p.target]; m != nil && m.news.GetState() != memberpb.State_STATE_SUSPECT {
		m.suspectedAt = time.Time{}
	}
}

// probeFor probes a target for another router.
func (n *Node) probeFor(address string, packet *memberpb.Packet) {
	n.sequence++
	sequence := n.sequence
	n.probes[sequence] = &probe{
		target:      packet.GetTarget(),
		forAddress:  address,
		forSequence: packet.GetSequence(),
	}
	n.send(packet.GetTargetAddress(), n.packet(memberpb.Kind_KIND_PROBE, sequence))
	time.AfterFunc(n.Policy.Period, func() { n.locked(func() { delete(n.probes, sequence) }) })
}

// compare asks for everything when the other router keeps knowing otherwise.
func (n *Node) compare(address string, packet *memberpb.Packet) {
	if packet.GetDigest() == n.digest {
		n.differed = 0
		return
	}
	n.differed++
	now := time.Now()
	if n.differed < n.Policy.SyncAfter || now.Sub(n.syncedAt) < n.Policy.SyncEvery {
		return
	}
	n.differed, n.syncedAt = 0, now
	n.ask(address, n.wanted())
}

// Join asks a router at the address for what it knows.
func (n *Node) Join(address string) {
	n.locked(func() { n.ask(address, earlyPackets) })
}
