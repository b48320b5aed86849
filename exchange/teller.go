package exchange

import (
	"context"
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
	maxReads  = 30
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

	sequence uint64
	done     chan struct{}
}

// NewTeller makes a teller; its exported fields are to be set.
func NewTeller(self string) *Teller {
	return &Teller{
		Self: self,
		// Of a restarted router all is newer than of its earlier life.
		sequence: uint64(time.Now().UnixMilli()) << 16,
		done:     make(chan struct{}),
	}
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
	var packets [][]byte
	for first := true; first || len(told.Reads) > 0; first = false {
		t.sequence++
		message := &exchangepb.Told{
			From:     t.Self,
			Sequence: t.sequence,
		}
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
		}
		count := min(len(told.Reads), maxReads)
		for _, read := range told.Reads[:count] {
			message.Parts = append(message.Parts, read.Part)
			message.Readers = append(message.Readers, at(read.Server))
		}
		told.Reads = told.Reads[count:]
		if packet, err := proto.Marshal(message); err == nil {
			packets = append(packets, packet)
		}
	}
	return packets
}

// Receive takes a datagram of another router. What can't be read is dropped.
func (t *Teller) Receive(_ string, packet []byte) {
	message := &exchangepb.Told{}
	if proto.Unmarshal(packet, message) != nil || message.GetFrom() == t.Self {
		return
	}
	told := &balance.Told{}
	servers := message.GetServers()
	for i, count := range message.GetInFlight() {
		if i < len(servers) {
			told.InFlight = append(told.InFlight, balance.InFlight{
				Server: servers[i],
				Count:  int(count),
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
