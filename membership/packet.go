package membership

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/slipwick/slipwick/membership/memberpb"
)

// packet returns a packet with updates from the queue.
func (n *Node) packet(kind memberpb.Kind, sequence uint64) *memberpb.Packet {
	return &memberpb.Packet{
		Kind:     kind,
		Sequence: sequence,
		From:     n.Self.ID,
		Digest:   n.digest,

		Configuration: n.version,
		News:          n.queue.take(n.Policy.UpdatesPerPacket, len(n.members)),
	}
}

func (n *Node) send(address string, packet *memberpb.Packet) {
	n.tellFleetSize(packet)
	encoded, err := proto.Marshal(packet)
	if err != nil || address == "" {
		return
	}
	n.Transport.Send(address, encoded)
}

// Receive handles a packet; responses go to address. Packets that cannot be decoded are dropped.
func (n *Node) Receive(address string, encoded []byte) {
	packet := &memberpb.Packet{}
	if proto.Unmarshal(encoded, packet) != nil {
		return
	}
	n.locked(func() { n.receive(address, packet) })
}

func (n *Node) receive(address string, packet *memberpb.Packet) {
	n.learnFleetSize(packet)
	n.syncWithUnknown(address, packet.GetFrom())
	for _, update := range packet.GetNews() {
		n.apply(update)
	}
	if packet.GetConfiguration() > n.version {
		n.OnVersion(packet.GetFrom(), packet.GetConfiguration())
	}
	switch packet.GetKind() {
	case memberpb.Kind_KIND_PROBE:
		n.checkDigest(address, packet)
		n.queueForRefutation(packet.GetFrom())
		n.send(address, n.packet(memberpb.Kind_KIND_ACK, packet.GetSequence()))
	case memberpb.Kind_KIND_ACK:
		n.receiveAck(packet)
		n.checkDigest(address, packet)
	case memberpb.Kind_KIND_PROBE_FOR:
		n.probeFor(address, packet)
	case memberpb.Kind_KIND_NEWS:
		n.receiveResponse(packet)
	case memberpb.Kind_KIND_SYNC:
		n.respond(address, packet)
		n.syncBack(address, packet)
	}
}

// unknownSyncInterval is the minimum time between sync requests to unknown routers.
const unknownSyncInterval = 100 * time.Millisecond

// syncWithUnknown sends a sync request to a sender that is not known here. A router that restarts
// at the same address is still probed by those that knew it, and so finds the fleet even if none of
// its seeds is up.
func (n *Node) syncWithUnknown(address, from string) {
	now := time.Now()
	if from == "" || n.members[from] != nil || now.Sub(n.unknownSyncedAt) < unknownSyncInterval {
		return
	}
	n.unknownSyncedAt = now
	n.requestSync(address, n.wantedPackets())
}

// queueForRefutation queues the state of a probing router that counts as dead or suspect here, so
// that the reply carries it and the router refutes it.
func (n *Node) queueForRefutation(id string) {
	if m := n.members[id]; m != nil && (m.dead() || m.update.GetState() == memberpb.State_STATE_SUSPECT) {
		n.queue.add(m.update)
	}
}

// receiveAck ends the probe that the ack belongs to, or forwards the ack to the router on whose
// behalf the probe was sent.
func (n *Node) receiveAck(packet *memberpb.Packet) {
	p := n.probes[packet.GetSequence()]
	if p == nil {
		return
	}
	delete(n.probes, packet.GetSequence())
	if p.forAddress != "" {
		n.send(p.forAddress, n.packet(memberpb.Kind_KIND_ACK, p.forSequence))
		return
	}
	// A router that was announced as suspect stays so until it refutes. A leaving one is suspected
	// without an announcement, and its ack ends that.
	if m := n.members[p.target]; m != nil && m.update.GetState() != memberpb.State_STATE_SUSPECT {
		m.suspectedAt = time.Time{}
	}
}

// probeFor probes a target on behalf of another router.
func (n *Node) probeFor(address string, packet *memberpb.Packet) {
	n.probeSequence++
	sequence := n.probeSequence
	n.probes[sequence] = &probe{
		target:      packet.GetTarget(),
		forAddress:  address,
		forSequence: packet.GetSequence(),
	}
	n.send(packet.GetTargetAddress(), n.packet(memberpb.Kind_KIND_PROBE, sequence))
	time.AfterFunc(n.Policy.ProbeInterval, func() { n.locked(func() { delete(n.probes, sequence) }) })
}

// checkDigest sends a sync request after SyncAfter packets in a row with a different digest.
func (n *Node) checkDigest(address string, packet *memberpb.Packet) {
	if packet.GetDigest() == n.digest {
		n.digestMismatches = 0
		return
	}
	n.digestMismatches++
	now := time.Now()
	if n.digestMismatches < n.Policy.SyncAfter || now.Sub(n.syncedAt) < n.Policy.MinSyncInterval {
		return
	}
	n.digestMismatches, n.syncedAt = 0, now
	n.requestSync(address, n.wantedPackets())
}

// Join sends a sync request to the router at the address.
func (n *Node) Join(address string) {
	n.locked(func() { n.requestSync(address, startupPackets) })
}
