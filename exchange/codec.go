package exchange

import (
	"google.golang.org/protobuf/proto"

	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/exchange/exchangepb"
)

// maxCounts, maxReads and maxOutcomes bound a datagram to what fits one packet
// of 1,500 bytes: at most 14 bytes a count, 10 a read, 6 a server's outcomes, and
// 8 for the server of either. Reads and outcomes share a datagram with few counts
// alone; a server that leaves takes the place of one's outcomes.
const (
	maxCounts   = 50
	maxReads    = 30
	maxOutcomes = 25
)

// encode makes the datagrams of what is told; those of one call share a round.
func (t *Teller) encode(scope exchangepb.Scope, urgent bool, told balance.Told) [][]byte {
	round := t.sequence.Add(1)
	var packets [][]byte
	for first := true; first || len(told.InFlight)+newsIn(&told) > 0; first = false {
		e := &encoder{
			message: t.message(scope),
			place:   make(map[uint64]uint32),
		}
		e.message.Round, e.message.Urgent = round, urgent
		n := min(len(told.InFlight), maxCounts)
		e.addCounts(told.InFlight[:n])
		told.InFlight = told.InFlight[n:]
		if n < maxCounts/2 {
			n = min(len(told.Reads), maxReads)
			e.addReads(told.Reads[:n])
			told.Reads = told.Reads[n:]
			n = min(len(told.Outcomes), maxOutcomes)
			e.addOutcomes(told.Outcomes[:n])
			told.Outcomes = told.Outcomes[n:]
			n = min(len(told.Leaving), maxOutcomes-n)
			e.addLeaving(told.Leaving[:n])
			told.Leaving = told.Leaving[n:]
		}
		packets = append(packets, marshal(e.message))
	}
	return packets
}

// newsIn counts what is told once.
func newsIn(told *balance.Told) int {
	return len(told.Reads) + len(told.Outcomes) + len(told.Leaving)
}

func (t *Teller) message(scope exchangepb.Scope) *exchangepb.Told {
	return &exchangepb.Told{
		From:     t.Self,
		Sequence: t.sequence.Add(1),
		Scope:    scope,
	}
}

// marshal encodes a message; the generated types encode always.
func marshal(message *exchangepb.Told) []byte {
	packet, _ := proto.Marshal(message)
	return packet
}

// encoder fills one datagram.
type encoder struct {
	message *exchangepb.Told
	place   map[uint64]uint32
}

// at gives a backend server's place in the list.
func (e *encoder) at(server uint64) uint32 {
	index, ok := e.place[server]
	if !ok {
		index = uint32(len(e.message.GetServers()))
		e.place[server] = index
		e.message.Servers = append(e.message.Servers, server)
	}
	return index
}

// addCounts comes before addReads, so that counts stand in the list's order.
func (e *encoder) addCounts(list []balance.InFlight) {
	for _, in := range list {
		e.at(in.Server)
		e.message.InFlight = append(e.message.InFlight, uint32(in.Count))
		e.message.Reading = append(e.message.Reading, uint32(in.Reading))
	}
}

func (e *encoder) addReads(reads []balance.Read) {
	for _, read := range reads {
		e.message.Parts = append(e.message.Parts, read.Part)
		e.message.Readers = append(e.message.Readers, e.at(read.Server))
	}
}

func (e *encoder) addOutcomes(list []balance.Outcomes) {
	for _, o := range list {
		e.message.Ended = append(e.message.Ended, e.at(o.Server))
		e.message.Good = append(e.message.Good, uint32(o.Good))
		e.message.Failed = append(e.message.Failed, uint32(o.Failed))
	}
}

func (e *encoder) addLeaving(servers []uint64) {
	for _, server := range servers {
		e.message.Leaving = append(e.message.Leaving, e.at(server))
	}
}

// decode reads what a datagram tells; what does not fit together is left out.
func decode(message *exchangepb.Told) balance.Told {
	var told balance.Told
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
	for i, place := range message.GetEnded() {
		if int(place) >= len(servers) || i >= len(message.GetGood()) || i >= len(message.GetFailed()) {
			break
		}
		told.Outcomes = append(told.Outcomes, balance.Outcomes{
			Server: servers[place],
			Good:   int(min(message.GetGood()[i], maxOutcomeCount)),
			Failed: int(min(message.GetFailed()[i], maxOutcomeCount)),
		})
	}
	for _, place := range message.GetLeaving() {
		if int(place) < len(servers) {
			told.Leaving = append(told.Leaving, servers[place])
		}
	}
	return told
}

// maxOutcomeCount is more than can be of use: older outcomes weigh nothing.
const maxOutcomeCount = 1000
