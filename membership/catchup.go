package membership

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/slipwick/slipwick/membership/memberpb"
)

const (
	// catchUpInterval is the time between two sync requests of a router that has just started: a
	// few round trips. Routers that start together learn more with each request.
	catchUpInterval = 25 * time.Millisecond
	// maxCatchUpTime bounds the catch-up; maxWaitForRouter is how long to wait for any other router
	// to appear. After the catch-up, until startupTime after its start, the router sends further
	// requests every slowCatchUpInterval, because routers that start with it may start a little later.
	maxCatchUpTime      = 2 * time.Second
	maxWaitForRouter    = 300 * time.Millisecond
	startupTime         = time.Second
	slowCatchUpInterval = 2 * catchUpInterval
	// The fleet counts as known after minMatchingResponses consecutive responses with the digest of
	// this node. Routers that die leave some routers with a different digest for seconds, so from
	// quietTime after the start on, minQuietResponses consecutive responses suffice that have the
	// digest of this node or no updates.
	minMatchingResponses = 2
	minQuietResponses    = 3
	quietTime            = 200 * time.Millisecond
	// maxKnownInPacket is how many fingerprints fit into one packet with the other fields; a node
	// that knows more boxes asks for one shard of them at a time. Up to maxKnownWithUpdates
	// fingerprints leave room for as many updates as in other packets.
	maxKnownInPacket    = 300
	maxKnownWithUpdates = 120
	// maxUpdatesInResponse bounds the updates in one packet of a response, and maxResponsePackets the
	// packets of a response: enough for a fleet of 1,000 routers. A starting router requests
	// only startupPackets and asks other routers for the rest: when many routers start at once,
	// nearly all of them ask the few seeds.
	maxUpdatesInResponse = 14
	maxResponsePackets   = 80
	startupPackets       = 2
)

// FleetKnown returns a channel that is closed once a started router knows the fleet, or has found
// no other router.
func (n *Node) FleetKnown() <-chan struct{} {
	return n.fleetKnown
}

// FinishCatchUp ends the catch-up. Call it if there is no other router to wait for.
func (n *Node) FinishCatchUp() {
	n.locked(n.finishCatchUp)
}

// finishCatchUp closes fleetKnown, and has OnChange called with what is known.
func (n *Node) finishCatchUp() {
	if !n.isFleetKnown() {
		close(n.fleetKnown)
		n.changed = true
	}
}

func (n *Node) isFleetKnown() bool {
	select {
	case <-n.fleetKnown:
		return true
	default:
		return false
	}
}

// catchUp sends sync requests to random routers, one at a time, for what this router does not know
// yet. Without these requests, routers that start together would take seconds to learn of each
// other by gossip.
func (n *Node) catchUp(ctx context.Context) {
	pause := catchUpInterval
	for n.isStarting() {
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		n.locked(n.syncWithRandom)
		if n.isFleetKnown() {
			pause = slowCatchUpInterval
		}
	}
}

// isStarting reports whether the fleet is not known yet, or routers may still be starting together
// with this one.
func (n *Node) isStarting() bool {
	return !n.isFleetKnown() || time.Since(n.startedAt) < startupTime
}

// syncWithRandom sends a sync request to a random router, or ends the catch-up if there is none or
// time is up.
func (n *Node) syncWithRandom() {
	others := n.randomMembers(1, "")
	waited := time.Since(n.startedAt)
	if len(others) == 0 && waited >= maxWaitForRouter || waited >= maxCatchUpTime {
		n.finishCatchUp()
		return
	}
	for _, m := range others {
		n.requestSync(m.update.GetAddress(), startupPackets)
	}
}

// syncBack sends a sync request to a router that has just sent one, if this router is starting too,
// at most once per catchUpInterval: thus both learn what the other knows.
func (n *Node) syncBack(address string, request *memberpb.Packet) {
	if !n.CatchUp {
		return
	}
	now := time.Now()
	isDue := now.Sub(n.syncedBackAt) >= catchUpInterval
	if isDue && n.isStarting() && !request.GetBack() && request.GetDigest() != n.digest {
		n.syncedBackAt = now
		n.send(address, n.syncRequest(startupPackets, true))
	}
}

// wantedPackets returns how many response packets to request from a router that a packet came from:
// startupPackets while this router is starting, then maxResponsePackets.
func (n *Node) wantedPackets() uint32 {
	if n.isStarting() {
		return startupPackets
	}
	return maxResponsePackets
}

// requestSync asks the router at the address for what it knows and this one does not; without
// CatchUp, for all that it knows.
func (n *Node) requestSync(address string, packets uint32) {
	if n.CatchUp {
		n.send(address, n.syncRequest(packets, false))
		return
	}
	packet := n.packet(memberpb.Kind_KIND_SYNC, 0)
	packet.News = append(packet.News, n.self().update)
	n.send(address, packet)
}

// syncRequest returns a sync request for the boxes of one shard; each request takes the next shard.
// back is set in a request that is sent in return for one of the receiver.
func (n *Node) syncRequest(packets uint32, back bool) *memberpb.Packet {
	n.syncSequence++
	boxes := len(n.members) + len(n.backends)
	shards := uint64(boxes+maxKnownInPacket-1) / maxKnownInPacket
	packet := &memberpb.Packet{
		Kind:          memberpb.Kind_KIND_SYNC,
		Sequence:      n.syncSequence,
		From:          n.Self.ID,
		Digest:        n.digest,
		Configuration: n.version,
		News:          []*memberpb.News{n.self().update},
		Shard:         uint32(n.syncSequence % shards),
		Shards:        uint32(shards),
		Packets:       packets,
		Back:          back,
	}
	for _, m := range n.shard(packet) {
		packet.Known = append(packet.Known, uint32(m.fingerprint()))
	}
	if len(packet.Known) <= maxKnownWithUpdates {
		packet.News = append(packet.News, n.queue.take(n.Policy.UpdatesPerPacket, len(n.members))...)
	}
	return packet
}

// shard returns the boxes that a sync request is about.
func (n *Node) shard(request *memberpb.Packet) []*member {
	shards := uint64(max(request.GetShards(), 1))
	var boxes []*member
	for _, known := range []map[string]*member{n.members, n.backends} {
		for id, m := range known {
			if xxhash.Sum64String(id)%shards == uint64(request.GetShard()) {
				boxes = append(boxes, m)
			}
		}
	}
	return boxes
}

// respond sends the boxes that the requester does not know, in packets of bounded size. At least
// one packet is sent: its digest shows the requester whether both know the same. A request without
// a number of packets gets all boxes.
func (n *Node) respond(address string, request *memberpb.Packet) {
	if request.GetPackets() == 0 {
		n.sendAll(address)
		return
	}
	known := make(map[uint32]bool, len(request.GetKnown()))
	for _, fingerprint := range request.GetKnown() {
		known[fingerprint] = true
	}
	var missing []*memberpb.News
	for _, m := range n.shard(request) {
		if !known[uint32(m.fingerprint())] {
			missing = append(missing, m.update)
		}
	}
	// Shuffled, so that routers that receive many requests send different boxes first. Sorted
	// before, because map order would make the shuffle irreproducible.
	slices.SortFunc(missing, func(a, b *memberpb.News) int { return strings.Compare(a.GetId(), b.GetId()) })
	n.Random.Shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
	for i := range min(request.GetPackets(), maxResponsePackets) {
		count := min(len(missing), maxUpdatesInResponse)
		if count == 0 && i > 0 {
			return
		}
		n.send(address, &memberpb.Packet{
			Kind:          memberpb.Kind_KIND_NEWS,
			Sequence:      request.GetSequence(),
			From:          n.Self.ID,
			Digest:        n.digest,
			Configuration: n.version,
			News:          missing[:count],
		})
		missing = missing[count:]
	}
}

// receiveResponse counts a KIND_NEWS packet, after its updates were applied, if it is a response to
// a sync request of this router. Other packets of the kind have the sequence 0.
func (n *Node) receiveResponse(packet *memberpb.Packet) {
	switch {
	case packet.GetSequence() == 0:
		return
	case packet.GetDigest() == n.digest:
		n.matchingResponses++
	case len(packet.GetNews()) == 0:
		n.quietResponses++
	default:
		n.matchingResponses, n.quietResponses = 0, 0
	}
	late := time.Since(n.startedAt) >= quietTime
	if n.matchingResponses >= minMatchingResponses || late && n.matchingResponses+n.quietResponses >= minQuietResponses {
		n.finishCatchUp()
	}
}

// sendAll sends all that this router knows, in packets of bounded size.
func (n *Node) sendAll(address string) {
	const updatesPerPacket = 16
	var all []*memberpb.News
	for _, known := range []map[string]*member{n.members, n.backends} {
		for _, id := range slices.Sorted(maps.Keys(known)) {
			all = append(all, known[id].update)
		}
	}
	for updates := range slices.Chunk(all, updatesPerPacket) {
		n.send(address, &memberpb.Packet{
			Kind:   memberpb.Kind_KIND_NEWS,
			From:   n.Self.ID,
			Digest: n.digest,
			News:   updates,
		})
	}
}
