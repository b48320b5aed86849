package exchange

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/exchange/exchangepb"
	"github.com/slipwick/slipwick/quarantine"
)

const (
	// pause lies between two tellings: shorter than a request runs, long
	// enough to cost a router little.
	pause = 200 * time.Millisecond
	// leastPause lies between tellings that cannot wait, passPause between those
	// of a hub that passes such news on: together with a telling they take less
	// than the shortest reading that is urgent.
	leastPause = 10 * time.Millisecond
	passPause  = 15 * time.Millisecond
	// sequenceBits leave room for the datagrams of a millisecond.
	sequenceBits = 16
	// fleetSource names what a hub tells of the whole fleet.
	fleetSource = "fleet"
	// maxPassed bounds the reads, the outcomes and the leaving servers that a hub has
	// yet to pass on.
	maxPassed = 4096
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
	// OnMarks takes the marks of requests that others tell on the same way.
	OnMarks func([]quarantine.Mark)

	sequence atomic.Uint64
	soon     chan struct{}
	// passSoon says that a hub has urgent news to pass on.
	passSoon chan struct{}
	// hubs are those of the routers that lived at the telling before, chosen anew when
	// these change; they belong to Run.
	hubs *hubs
	// size is that of the fleet when this router told last; 0 before.
	size atomic.Int64

	mu sync.Mutex
	// told are the counts that others told, by router or hub.
	told map[string]*counts
	// own is what this router told last.
	own *counts
	// fromGroup and fromHubs are reads and outcomes to pass on. A router that
	// tells a hub gets its own outcomes back with those of the fleet, and
	// counts them twice.
	fromGroup, fromHubs balance.Told
	// urgentGroup and urgentHubs are the reads among these that are passed on at
	// once. They are told with the others as well, as datagrams get lost.
	urgentGroup, urgentHubs []balance.Read

	done chan struct{}
}

// NewTeller makes a teller; its exported fields are to be set.
func NewTeller(self string) *Teller {
	t := &Teller{
		Self:    self,
		OnMarks: func([]quarantine.Mark) {},

		told: make(map[string]*counts),
		own:  newCounts(nil),
		soon: make(chan struct{}, 1),

		passSoon: make(chan struct{}, 1),
		hubs:     chooseHubs(nil),

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

// Soon has the next telling come without a pause, but for leastPause.
func (t *Teller) Soon() {
	signal(t.soon)
}

// signal has whoever waits for the channel wake up, now or when it waits next.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// Run tells until ctx ends.
func (t *Teller) Run(ctx context.Context) {
	defer close(t.done)
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	t.tell(false)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			t.tell(false)
		case <-t.soon:
			time.Sleep(leastPause)
			t.tellUrgent()
		case <-t.passSoon:
			time.Sleep(passPause)
			t.passOn()
		}
	}
}

// tell tells those that this router tells in a fleet of this size.
func (t *Teller) tell(urgent bool) {
	if routers := t.Routers(); !slices.Equal(routers, t.hubs.routers) {
		t.hubs = chooseHubs(routers)
	}
	hubs := t.hubs
	others := len(without(hubs.routers, t.Self))
	t.size.Store(int64(len(hubs.routers)))
	told := t.Balancer.Tell()
	t.mu.Lock()
	t.own = newCounts(told.InFlight)
	t.mu.Unlock()
	switch {
	case len(hubs.chosen) == 0:
		peers := without(hubs.routers, t.Self)
		t.Balancer.SetPeers(idsOf(peers), others)
		t.send(peers, t.encode(exchangepb.Scope_SCOPE_OWN, urgent, told))
	case hubs.has(t.Self):
		t.tellAsHub(hubs, told, others)
	default:
		t.mu.Lock()
		t.fromGroup, t.fromHubs = balance.Told{}, balance.Told{}
		t.urgentGroup, t.urgentHubs = nil, nil
		t.mu.Unlock()
		hub, _ := hubs.of(t.Self)
		t.Balancer.SetPeers([]string{fleetSource}, others)
		t.send([]slipwick.Router{hub}, t.encode(exchangepb.Scope_SCOPE_OWN, urgent, told))
	}
}

// tellAsHub tells the other hubs of the group, and the group of the fleet.
func (t *Teller) tellAsHub(hubs *hubs, own balance.Told, fleet int) {
	group, others := hubs.group(t.Self), without(hubs.chosen, t.Self)
	t.Balancer.SetPeers(slices.Concat(idsOf(group), idsOf(others)), fleet)
	ofGroup, ofHubs := t.sums(idsOf(group), idsOf(others))
	t.mu.Lock()
	news, fromHubs := t.fromGroup, t.fromHubs
	t.fromGroup, t.fromHubs = balance.Told{}, balance.Told{}
	t.mu.Unlock()
	addNews(&news, own)
	news.InFlight = ofGroup.list()
	t.send(others, t.encode(exchangepb.Scope_SCOPE_GROUP, false, news))
	ofGroup.add(ofHubs, 1)
	addNews(&news, fromHubs)
	news.InFlight = ofGroup.list()
	t.send(group, t.encode(exchangepb.Scope_SCOPE_FLEET, false, news))
}

// addNews adds what is told once, as far as there is room.
func addNews(news *balance.Told, more balance.Told) {
	if len(news.Reads) < maxPassed {
		news.Reads = append(news.Reads, more.Reads...)
	}
	if len(news.Outcomes) < maxPassed {
		news.Outcomes = append(news.Outcomes, more.Outcomes...)
	}
	if len(news.Leaving) < maxPassed {
		news.Leaving = append(news.Leaving, more.Leaving...)
	}
}

// sums adds what the group and this router, and what the other hubs have, and
// forgets what others told.
func (t *Teller) sums(group, hubs []string) (ofGroup, ofHubs *counts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fromGroup, fromHubs := make(map[string]*counts), make(map[string]*counts)
	for _, id := range group {
		if c := t.told[id]; c != nil {
			fromGroup[id] = c
		}
	}
	for _, id := range hubs {
		if c := t.told[id]; c != nil {
			fromHubs[id] = c
		}
	}
	t.told = make(map[string]*counts, len(fromGroup)+len(fromHubs))
	for _, kept := range []map[string]*counts{fromGroup, fromHubs} {
		for id, c := range kept {
			t.told[id] = c
		}
	}
	ofGroup, ofHubs = sumOf(fromGroup), sumOf(fromHubs)
	ofGroup.add(t.own, 1)
	return ofGroup, ofHubs
}

func (t *Teller) send(routers []slipwick.Router, packets [][]byte) {
	for _, r := range routers {
		address := t.Address(r)
		for _, packet := range packets {
			t.Wire.Send(address, packet)
		}
	}
}

// Receive takes a datagram of another router. What can't be read is dropped.
func (t *Teller) Receive(_ string, packet []byte) {
	message := &exchangepb.Told{}
	if proto.Unmarshal(packet, message) != nil || message.GetFrom() == t.Self {
		return
	}
	if marks := decodeMarks(message); len(marks) > 0 {
		t.OnMarks(marks)
		return
	}
	told := decode(message)
	t.passLater(message.GetScope(), message.GetUrgent(), told)
	if hasCounts(message) {
		t.hear(message, told.InFlight)
	}
	t.Balancer.HearReadings(told.Reads)
	t.Balancer.HearOutcomes(told.Outcomes)
	t.Balancer.HearLeaving(told.Leaving)
}

// hasCounts tells whether a datagram counts requests.
func hasCounts(message *exchangepb.Told) bool {
	return message.GetScope() != exchangepb.Scope_SCOPE_NONE && message.GetScope() != exchangepb.Scope_SCOPE_NEWS
}

// passLater keeps news to pass on, in case this router is a hub.
func (t *Teller) passLater(scope exchangepb.Scope, urgent bool, news balance.Told) {
	size := t.size.Load()
	if newsIn(&news) == 0 || size > 0 && size <= meshSize {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch scope {
	case exchangepb.Scope_SCOPE_OWN:
		addNews(&t.fromGroup, news)
		t.urgentLocked(&t.urgentGroup, urgent, news.Reads)
	case exchangepb.Scope_SCOPE_GROUP:
		addNews(&t.fromHubs, news)
	case exchangepb.Scope_SCOPE_NEWS:
		t.urgentLocked(&t.urgentHubs, urgent, news.Reads)
	default:
	}
}

// hear takes the counts of a datagram. The first of a round takes the place of the round
// before, the others add to it.
func (t *Teller) hear(message *exchangepb.Told, list []balance.InFlight) {
	isMore, isOld := t.collect(message, list)
	if isOld {
		return
	}
	source := message.GetFrom()
	if message.GetScope() == exchangepb.Scope_SCOPE_FLEET {
		source, list = fleetSource, t.withoutOwn(list)
	}
	if isMore {
		t.Balancer.HearMore(source, list)
		return
	}
	t.Balancer.Hear(source, message.GetSequence(), list)
}

// collect keeps the counts of a round's datagrams, for a hub to sum up, and tells whether
// they add to a round or are of one that is over. Nobody sums up what is the fleet's already.
func (t *Teller) collect(message *exchangepb.Told, list []balance.InFlight) (isMore, isOld bool) {
	if message.GetScope() == exchangepb.Scope_SCOPE_FLEET {
		list = nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	id, round := message.GetFrom(), message.GetRound()
	known := t.told[id]
	switch {
	case known != nil && known.sequence > round:
		return false, true
	case known != nil && known.sequence == round:
		known.take(list)
		return true, false
	}
	counts := newCounts(list)
	counts.sequence = round
	t.told[id] = counts
	return false, false
}

// withoutOwn gives the fleet's counts without this router's own.
func (t *Teller) withoutOwn(list []balance.InFlight) []balance.InFlight {
	t.mu.Lock()
	defer t.mu.Unlock()
	others := list[:0]
	for _, in := range list {
		own := t.own.each[in.Server]
		in.Count, in.Reading = max(in.Count-own.Count, 0), max(in.Reading-own.Reading, 0)
		if in.Count > 0 || in.Reading > 0 {
			others = append(others, in)
		}
	}
	return others
}
