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
	// catchUpPause lies between two questions of a router that has just started:
	// some round trips. Those that start together know more with each.
	catchUpPause = 25 * time.Millisecond
	// catchUpTime bounds how long it takes to know the others, loneTime how long it
	// waits for any to turn up. Until lateTime it goes on to ask every latePause:
	// routers that start with it may start later.
	catchUpTime = 2 * time.Second
	loneTime    = 300 * time.Millisecond
	lateTime    = time.Second
	latePause   = 2 * catchUpPause
	// sameAnswers in a row, from others that know just the same, tell it that it
	// knows the fleet. Routers that die leave some that know otherwise for
	// seconds: after quietTime quietAnswers that brought nothing new will do.
	sameAnswers  = 2
	quietAnswers = 3
	quietTime    = 200 * time.Millisecond
	// knownInPacket is how many fingerprints fit into one packet beside the
	// rest; with more the boxes are asked for by shards. Beside knownBesideNews
	// there is room for news as in other packets.
	knownInPacket   = 300
	knownBesideNews = 120
	// newsInAnswer is how many boxes are told in one packet, packetsInAnswer how
	// many packets an answer has at most: enough for the fleet designed for. A
	// router that starts wants earlyPackets alone and asks elsewhere for the rest:
	// when many do, the few that all start with are asked by nearly all.
	newsInAnswer    = 14
	packetsInAnswer = 24
	earlyPackets    = 2
)

// Settled is closed when a router that has started knows the others, or has
// found none.
func (n *Node) Settled() <-chan struct{} {
	return n.settled
}

// Alone says that there is no other router to wait for.
func (n *Node) Alone() {
	n.locked(n.settle)
}

func (n *Node) settle() {
	if !n.isSettled() {
		close(n.settled)
		n.changed = true
	}
}

func (n *Node) isSettled() bool {
	select {
	case <-n.settled:
		return true
	default:
		return false
	}
}

// catchUp asks one router after the other, chosen by chance, for what this one
// does not know yet. Routers that start together would else learn of each other
// within seconds only, as news passes.
func (n *Node) catchUp(ctx context.Context) {
	pause := catchUpPause
	for n.isEarly() {
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		n.locked(n.askAnother)
		if n.isSettled() {
			pause = latePause
		}
	}
}

// isEarly tells whether others may start at the same time, or are not known yet.
func (n *Node) isEarly() bool {
	return !n.isSettled() || time.Since(n.startedAt) < lateTime
}

// askAnother asks another router, if there is any and time is left.
func (n *Node) askAnother() {
	others := n.choose(1, "")
	waited := time.Since(n.startedAt)
	if len(others) == 0 && waited >= loneTime || waited >= catchUpTime {
		n.settle()
		return
	}
	for _, m := range others {
		n.ask(m.news.GetAddress(), earlyPackets)
	}
}

// askBack asks a router that asked, if this one has just started too, now and
// then: so each learns what the other knows.
func (n *Node) askBack(address string, question *memberpb.Packet) {
	if !n.CatchUp {
		return
	}
	now := time.Now()
	isDue := now.Sub(n.askedBackAt) >= catchUpPause
	if isDue && n.isEarly() && !question.GetBack() && question.GetDigest() != n.digest {
		n.askedBackAt = now
		n.send(address, n.question(earlyPackets, true))
	}
}

// wanted is how many packets of an answer a router wants that asks once.
func (n *Node) wanted() uint32 {
	if n.isEarly() {
		return earlyPackets
	}
	return packetsInAnswer
}

// ask asks a router at the address for what it knows and this one does not.
func (n *Node) ask(address string, packets uint32) {
	if n.CatchUp {
		n.send(address, n.question(packets, false))
		return
	}
	packet := n.packet(memberpb.Kind_KIND_SYNC, 0)
	packet.News = append(packet.News, n.self().news)
	n.send(address, packet)
}

func (n *Node) question(packets uint32, back bool) *memberpb.Packet {
	n.questions++
	boxes := len(n.members) + len(n.backends)
	shards := uint64(boxes+knownInPacket-1) / knownInPacket
	packet := &memberpb.Packet{
		Kind:          memberpb.Kind_KIND_SYNC,
		Sequence:      n.questions,
		From:          n.Self.ID,
		Digest:        n.digest,
		Configuration: n.version,
		News:          []*memberpb.News{n.self().news},
		Shard:         uint32(n.questions % shards),
		Shards:        uint32(shards),
		Packets:       packets,
		Back:          back,
	}
	for _, m := range n.shard(packet) {
		packet.Known = append(packet.Known, uint32(m.fingerprint()))
	}
	if len(packet.Known) <= knownBesideNews {
		packet.News = append(packet.News, n.rumours.take(n.Policy.NewsPerPacket, len(n.members))...)
	}
	return packet
}

// shard gives the boxes that a question is about.
func (n *Node) shard(question *memberpb.Packet) []*member {
	shards := uint64(max(question.GetShards(), 1))
	var boxes []*member
	for _, known := range []map[string]*member{n.members, n.backends} {
		for id, m := range known {
			if xxhash.Sum64String(id)%shards == uint64(question.GetShard()) {
				boxes = append(boxes, m)
			}
		}
	}
	return boxes
}

// answer tells a router that asked what it does not know, in packets of bounded
// size. There is always one: its digest tells whether both know the same.
func (n *Node) answer(address string, question *memberpb.Packet) {
	if question.GetPackets() == 0 {
		n.sendAll(address)
		return
	}
	known := make(map[uint32]bool, len(question.GetKnown()))
	for _, fingerprint := range question.GetKnown() {
		known[fingerprint] = true
	}
	var lacking []*memberpb.News
	for _, m := range n.shard(question) {
		if !known[uint32(m.fingerprint())] {
			lacking = append(lacking, m.news)
		}
	}
	// Routers that are asked by many tell them different boxes first.
	slices.SortFunc(lacking, func(a, b *memberpb.News) int { return strings.Compare(a.GetId(), b.GetId()) })
	n.Random.Shuffle(len(lacking), func(i, j int) { lacking[i], lacking[j] = lacking[j], lacking[i] })
	for i := range min(question.GetPackets(), packetsInAnswer) {
		count := min(len(lacking), newsInAnswer)
		if count == 0 && i > 0 {
			return
		}
		n.send(address, &memberpb.Packet{
			Kind:          memberpb.Kind_KIND_NEWS,
			Sequence:      question.GetSequence(),
			From:          n.Self.ID,
			Digest:        n.digest,
			Configuration: n.version,
			News:          lacking[:count],
		})
		lacking = lacking[count:]
	}
}

// answered takes an answer to a question of this router, after its news.
func (n *Node) answered(packet *memberpb.Packet) {
	switch {
	case packet.GetSequence() == 0:
		return
	case packet.GetDigest() == n.digest:
		n.same++
	case len(packet.GetNews()) == 0:
		n.quiet++
	default:
		n.same, n.quiet = 0, 0
	}
	late := time.Since(n.startedAt) >= quietTime
	if n.same >= sameAnswers || late && n.same+n.quiet >= quietAnswers {
		n.settle()
	}
}

// sendAll tells all that this router knows, in packets of bounded size.
func (n *Node) sendAll(address string) {
	const newsPerPacket = 16
	var all []*memberpb.News
	for _, known := range []map[string]*member{n.members, n.backends} {
		for _, id := range slices.Sorted(maps.Keys(known)) {
			all = append(all, known[id].news)
		}
	}
	for news := range slices.Chunk(all, newsPerPacket) {
		n.send(address, &memberpb.Packet{
			Kind:   memberpb.Kind_KIND_NEWS,
			From:   n.Self.ID,
			Digest: n.digest,
			News:   news,
		})
	}
}
