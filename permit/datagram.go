package permit

import (
	"google.golang.org/protobuf/proto"

	"github.com/slipwick/slipwick/permit/permitpb"
)

// outbox collects messages by recipient, so that those for one router share a datagram. It is not
// safe for concurrent use.
type outbox struct {
	packets map[recipient]*permitpb.Packet
	// order has the recipients in the order of their first message.
	order []recipient
}

// recipient is one run of a router.
type recipient struct {
	address string
	run     uint64
}

// maxMessages bounds the messages of one datagram, so that it fits a network packet.
const maxMessages = 24

// packet returns the datagram for the router to which messages can be added.
func (o *outbox) packet(address string, run uint64) *permitpb.Packet {
	to := recipient{
		address: address,
		run:     run,
	}
	if p := o.packets[to]; p != nil {
		return p
	}
	if o.packets == nil {
		o.packets = make(map[recipient]*permitpb.Packet)
	}
	p := &permitpb.Packet{
		Run: run,
	}
	o.packets[to] = p
	o.order = append(o.order, to)
	return p
}

// take returns all datagrams and empties the outbox.
func (o *outbox) take() []datagram {
	datagrams := make([]datagram, 0, len(o.order))
	for _, to := range o.order {
		for _, p := range split(o.packets[to]) {
			datagrams = append(datagrams, datagram{
				address: to.address,
				packet:  p,
			})
		}
	}
	o.packets, o.order = nil, o.order[:0]
	return datagrams
}

// split divides a packet with many messages.
func split(p *permitpb.Packet) []*permitpb.Packet {
	packets := []*permitpb.Packet{p}
	for len(p.Answers) > maxMessages || len(p.Audits) > maxMessages || len(p.Releases) > maxMessages {
		rest := &permitpb.Packet{
			Run: p.Run,
		}
		p.Answers, rest.Answers = cut(p.Answers)
		p.Audits, rest.Audits = cut(p.Audits)
		p.Releases, rest.Releases = cut(p.Releases)
		packets = append(packets, rest)
		p = rest
	}
	return packets
}

func cut[T any](messages []T) (first, rest []T) {
	n := min(len(messages), maxMessages)
	return messages[:n], messages[n:]
}

// datagram is a packet for a router.
type datagram struct {
	address string
	packet  *permitpb.Packet
}

// sendAll encodes and sends datagrams. The caller must not hold locks: a datagram to this router is
// handled at once.
func sendAll(transport Transport, datagrams []datagram) {
	for _, d := range datagrams {
		if packet, err := proto.Marshal(d.packet); err == nil {
			transport.Send(d.address, packet)
		}
	}
}
