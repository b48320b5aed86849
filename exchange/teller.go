package exchange

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/exchange/exchangepb"
)

const (
	// shortestPause lies between two tellings in a small fleet: shorter than
	// a request runs, long enough to cost a router little.
	shortestPause = 200 * time.Millisecond
	// pausePerRouter bounds the datagrams of a large fleet, to some 60 a
	// second sent and received.
	pausePerRouter = 16 * time.Millisecond
	// maxCounts and maxReads bound a datagram to what fits one packet.
	maxCounts = 60
	maxReads  = 80
	// sequenceBits leave room for the datagrams of a millisecond.
	sequenceBits = 16
)

// Wire carries datagrams between routers.
type Wire interface {
	Send(address string, packet []byte)
}

// Teller tells the other routers what the balancer knows, and the balancer
// what they tell. Set the exported fields before Run.
type Teller struct {
	Self     string
	Balancer *balance.Balancer
	Wire     Wire
	// Routers gives the routers that live, this one among them or not.
	Routers func() []slipwick.Router
	// Address gives where a router hears what is told.
	Address func(slipwick.Router) string

	// Knows is set once this router knows which engines keep which parts;
	// OthersKnow once another router said so of itself.
	Knows      atomic.Bool
	OthersKnow atomic.Bool

	sequence atomic.Uint64
	done     chan struct{}
}

// NewTeller makes a teller; its exported fields are to be set.
func NewTeller(self string) *Teller {
	t := &Teller{
		Self: self,
		done: make(chan struct{}),
	}
	// What a restarted router tells is newer than what it told before.
	t.sequence.Store(uint64(time.Now().UnixMilli()) << sequenceBits)
	return t
}

// Done is closed when Run has ended.
func (t *Teller) Done() <-chan struct{} {
	return t.done
}

// Run tells until ctx ends.
func (t *Teller) Run(ctx context.Context) {
	defer close(t.done)
	for {
		pause := t.tell()
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// tell tells all others and gives the pause until the next time.
func (t *Teller) tell() time.Duration {
	var ids, addresses []string
	for _, r := range t.Routers() {
		if r.ID != t.Self {
			ids = append(ids, r.ID)
			addresses = append(addresses, t.Address(r))
		}
	}
	t.Balancer.SetPeers(ids)
	for _, packet := range t.packets() {
		for _, address := range addresses {
			t.Wire.Send(address, packet)
		}
	}
	return max(shortestPause, time.Duration(len(ids))*pausePerRouter)
}

// packets encodes what there is to tell; counts stand in the first one, reads
// in as many as they take.
func (t *Teller) packets() [][]byte {
	told := t.Balancer.Tell()
	first := &told
	var packets [][]byte
	for first != nil || len(told.Reads) > 0 {
		packets = append(packets, t.encode(&told))
		told.InFlight, first = nil, nil
	}
	return packets
}

// encode makes a datagram of the counts and as many reads as fit, which it
// removes.
func (t *Teller) encode(told *balance.Told) []byte {
	message := t.message()
	place := make(map[uint64]uint32)
	at := func(server uint64) uint32 {
		index, ok := place[server]
		if !ok {
			index = uint32(len(message.GetServers()))
			place[server] = index
			message.Servers = append(message.Servers, server)
		}
		return index
	}
	for _, in := range told.InFlight[:min(len(told.InFlight), maxCounts)] {
		at(in.Server)
		message.InFlight = append(message.InFlight, uint32(in.Count))
		message.Reading = append(message.Reading, uint32(in.Reading))
	}
	count := min(len(told.Reads), maxReads)
	for _, read := range told.Reads[:count] {
		message.Parts = append(message.Parts, read.Part)
		message.Readers = append(message.Readers, at(read.Server))
	}
	told.Reads = told.Reads[count:]
	return marshal(message)
}

func (t *Teller) message() *exchangepb.Told {
	return &exchangepb.Told{
		From:     t.Self,
		Sequence: t.sequence.Add(1),
		Knows:    t.Knows.Load(),
	}
}

// marshal encodes a message; the generated types encode always.
func marshal(message *exchangepb.Told) []byte {
	packet, _ := proto.Marshal(message)
	return packet
}

// Ask asks one of the other routers for all it knows of parts and engines, as
// a router that starts knows nothing; false if there is no other.
func (t *Teller) Ask() bool {
	routers := t.Routers()
	for _, i := range rand.Perm(len(routers)) {
		if routers[i].ID == t.Self {
			continue
		}
		message := t.message()
		message.Asks = true
		t.Wire.Send(t.Address(routers[i]), marshal(message))
		return true
	}
	return false
}

// answer tells all that this router knows of parts and engines.
func (t *Teller) answer(address string) {
	told := balance.Told{
		Reads: t.Balancer.AllReads(),
	}
	for len(told.Reads) > 0 {
		t.Wire.Send(address, t.encode(&told))
	}
}

// Receive takes a datagram of another router. What can't be read is dropped.
func (t *Teller) Receive(address string, packet []byte) {
	message := &exchangepb.Told{}
	if proto.Unmarshal(packet, message) != nil || message.GetFrom() == t.Self {
		return
	}
	if message.GetAsks() {
		t.answer(address)
		return
	}
	if message.GetKnows() {
		t.OthersKnow.Store(true)
	}
	told := &balance.Told{}
	servers := message.GetServers()
	for i, count := range message.GetInFlight() {
		if i < len(servers) && i < len(message.GetReading()) {
			told.InFlight = append(told.InFlight, balance.InFlight{
				Server:  servers[i],
				Count:   int(count),
				Reading: int(message.GetReading()[i]),
			})
		}
	}
	for i, part := range message.GetParts() {
		if i >= len(message.GetReaders()) || int(message.GetReaders()[i]) >= len(servers) {
			break
		}
		told.Reads = append(told.Reads, balance.Read{
			Part:   part,
			Server: servers[message.GetReaders()[i]],
		})
	}
	t.Balancer.Hear(message.GetFrom(), message.GetSequence(), told)
}
