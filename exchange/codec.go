package exchange

import (
	"google.golang.org/protobuf/proto"

	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/exchange/exchangepb"
	"github.com/slipwick/slipwick/quota"
)

// maxCounts, maxCachedParts and maxOutcomes bound a datagram so that it fits one packet of 1,500
// bytes: a count takes at most 14 bytes, a cached part 10 and the outcomes of a server 6; the
// server of a part or of outcomes takes another 8. Parts and outcomes are added only to a datagram
// with few counts, and each leaving server takes the place of one server's outcomes.
const (
	maxCounts      = 50
	maxCachedParts = 30
	maxOutcomes    = 25
)

// encode splits an update without usage into datagrams.
func (s *Syncer) encode(scope exchangepb.Scope, urgent bool, update balance.Update) [][]byte {
	return s.encodeWithUsage(scope, urgent, update, nil)
}

// encodeWithUsage splits an update into datagrams. They all carry the same round number, by which the
// receiver adds up their counts. The first one has the usage.
func (s *Syncer) encodeWithUsage(
	scope exchangepb.Scope, urgent bool, update balance.Update, usage []quota.Entry,
) [][]byte {
	r := s.newRound(scope, urgent, update, usage)
	packets := r.encodeRest()
	s.sequence.Store(r.sequence)
	return packets
}

// round is what is left to send of an update. A copy of it can be encoded with other events, for
// receivers that already got the same datagrams.
type round struct {
	from   string
	scope  exchangepb.Scope
	urgent bool
	number uint64
	// sequence is the sequence number of the last datagram.
	sequence uint64
	isBegun  bool
	update   balance.Update
	usage    []quota.Entry
}

// newRound begins a round. The caller has to store the sequence number of the last datagram in s.
func (s *Syncer) newRound(scope exchangepb.Scope, urgent bool, update balance.Update, usage []quota.Entry) *round {
	number := s.sequence.Add(1)
	return &round{
		from:     s.Self,
		scope:    scope,
		urgent:   urgent,
		number:   number,
		sequence: number,
		update:   update,
		usage:    usage,
	}
}

func (r *round) isDone() bool {
	return r.isBegun && len(r.update.InFlight)+countEvents(&r.update) == 0
}

// countsInNext returns how many counts the next datagram has, and whether events are added to it.
func (r *round) countsInNext() (n int, hasEvents bool) {
	room := maxCounts
	if !r.isBegun {
		room = max(room-usageCounts(r.usage), 0)
	}
	n = min(len(r.update.InFlight), room)
	return n, n+maxCounts-room < maxCounts/2
}

// encodeNext encodes the next datagram.
func (r *round) encodeNext() []byte {
	r.sequence++
	e := &encoder{
		message: &exchangepb.Told{
			From:     r.from,
			Sequence: r.sequence,
			Scope:    r.scope,
			Round:    r.number,
			Urgent:   r.urgent,
		},
		indexes: make(map[uint64]uint32),
	}
	update := &r.update
	n, hasEvents := r.countsInNext()
	e.addCounts(update.InFlight[:n])
	update.InFlight = update.InFlight[n:]
	if !r.isBegun {
		e.addUsage(r.usage)
	}
	if hasEvents {
		n = min(len(update.CachedParts), maxCachedParts)
		e.addCachedParts(update.CachedParts[:n])
		update.CachedParts = update.CachedParts[n:]
		n = min(len(update.Outcomes), maxOutcomes)
		e.addOutcomes(update.Outcomes[:n])
		update.Outcomes = update.Outcomes[n:]
		n = min(len(update.Leaving), maxOutcomes-n)
		e.addLeaving(update.Leaving[:n])
		update.Leaving = update.Leaving[n:]
		update.Speeds = e.addSpeeds(update.Speeds, maxOutcomes-len(e.message.GetEnded())-n)
	}
	r.isBegun = true
	return marshal(e.message)
}

// encodeRest encodes all datagrams that are left.
func (r *round) encodeRest() [][]byte {
	var packets [][]byte
	for !r.isDone() {
		packets = append(packets, r.encodeNext())
	}
	return packets
}

// countEvents counts the events of an update: the cached parts, the outcomes, the leaving servers and
// the observations of servers' speeds. The balancer returns each of them only once, unlike the counts
// of requests in flight.
func countEvents(update *balance.Update) int {
	return len(update.CachedParts) + len(update.Outcomes) + len(update.Leaving) + len(update.Speeds)
}

// marshal encodes a message. The generated types never fail to encode.
func marshal(message *exchangepb.Told) []byte {
	packet, _ := proto.Marshal(message)
	return packet
}

// encoder fills one datagram.
type encoder struct {
	message *exchangepb.Told
	indexes map[uint64]uint32
}

// indexOf returns the index of a backend server in the datagram's list of servers, and adds it if
// it is not listed yet.
func (e *encoder) indexOf(server uint64) uint32 {
	index, ok := e.indexes[server]
	if !ok {
		index = uint32(len(e.message.GetServers()))
		e.indexes[server] = index
		e.message.Servers = append(e.message.Servers, server)
	}
	return index
}

// addCounts has to be called before the other add methods, because each count belongs to the server
// at the same index of the list.
func (e *encoder) addCounts(list []balance.InFlight) {
	for _, in := range list {
		e.indexOf(in.Server)
		e.message.InFlight = append(e.message.InFlight, uint32(in.Count))
		e.message.Reading = append(e.message.Reading, uint32(in.PrefillTokens))
	}
}

func (e *encoder) addCachedParts(parts []balance.CachedPart) {
	for _, part := range parts {
		e.message.Parts = append(e.message.Parts, part.Part)
		e.message.Readers = append(e.message.Readers, e.indexOf(part.Server))
	}
}

func (e *encoder) addOutcomes(list []balance.OutcomeCounts) {
	for _, o := range list {
		e.message.Ended = append(e.message.Ended, e.indexOf(o.Server))
		e.message.Good = append(e.message.Good, uint32(o.Good))
		e.message.Failed = append(e.message.Failed, uint32(o.Failed))
	}
}

func (e *encoder) addLeaving(servers []uint64) {
	for _, server := range servers {
		e.message.Leaving = append(e.message.Leaving, e.indexOf(server))
	}
}

// decode returns the update in a datagram. Invalid entries are those that one of their lists is too
// short for, or whose index is out of range; they are left out.
func decode(message *exchangepb.Told) balance.Update {
	var update balance.Update
	servers := message.GetServers()
	for i, count := range message.GetInFlight() {
		if i < len(servers) && i < len(message.GetReading()) {
			update.InFlight = append(update.InFlight, balance.InFlight{
				Server:        servers[i],
				Count:         int(count),
				PrefillTokens: int(message.GetReading()[i]),
			})
		}
	}
	for i, part := range message.GetParts() {
		if i >= len(message.GetReaders()) || int(message.GetReaders()[i]) >= len(servers) {
			continue
		}
		update.CachedParts = append(update.CachedParts, balance.CachedPart{
			Part:   part,
			Server: servers[message.GetReaders()[i]],
		})
	}
	for i, index := range message.GetEnded() {
		if int(index) >= len(servers) || i >= len(message.GetGood()) || i >= len(message.GetFailed()) {
			continue
		}
		update.Outcomes = append(update.Outcomes, balance.OutcomeCounts{
			Server: servers[index],
			Good:   int(min(message.GetGood()[i], maxOutcomeCount)),
			Failed: int(min(message.GetFailed()[i], maxOutcomeCount)),
		})
	}
	for _, index := range message.GetLeaving() {
		if int(index) < len(servers) {
			update.Leaving = append(update.Leaving, servers[index])
		}
	}
	update.Speeds = decodeSpeeds(message)
	return update
}

// maxOutcomeCount bounds each count of outcomes accepted from a datagram. A server's error rate
// covers about its last ten outcomes, so that more outcomes than this would not change it.
const maxOutcomeCount = 1000
