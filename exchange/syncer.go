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
	// updateInterval is the interval between updates: shorter than requests run, but long enough
	// that updates cost a router little.
	updateInterval = 200 * time.Millisecond
	// urgentDelay is the delay before an urgent update, which reports the parts of a long prompt that
	// an engine has just begun to prefill, and before new crashes are sent. relayDelay is the delay
	// before a hub relays urgent parts. Together with the time to send the parts, the delays are
	// shorter than the shortest prefill that is reported as urgent.
	urgentDelay = 10 * time.Millisecond
	relayDelay  = 15 * time.Millisecond
	// sequenceBits is the number of low bits of a sequence number that count the datagrams within a
	// millisecond.
	sequenceBits = 16
	// fleetSource is passed to the balancer as the sender of the counts of the whole fleet, which a
	// hub sends.
	fleetSource = "fleet"
	// maxQueued bounds the cached parts, the outcomes and the leaving servers that a hub has queued
	// for relay.
	maxQueued = 4096
)

// Transport sends datagrams to other routers.
type Transport interface {
	Send(address string, packet []byte)
}

// Syncer sends the state of the balancer to the other routers, and passes what they send to the
// balancer. Set the exported fields before Run.
type Syncer struct {
	Self      string
	Balancer  *balance.Balancer
	Transport Transport
	// Routers returns the live routers, with or without this one.
	Routers func() []slipwick.Router
	// Address returns the address at which a router receives datagrams.
	Address func(slipwick.Router) string
	// OnCrashes is called with the crashes that the CrashGossiper of another router sent.
	OnCrashes func([]quarantine.Crash)
	// Usage has what this router uses of pools under pressure, and takes the sums of the fleet; nil
	// without admission control. A hub relays usage in any case.
	Usage UsageSource
	// Streams remembers where streams began; may be nil.
	Streams *Streams
	// Retries exchanges what routers count for the retry budget; may be nil.
	Retries *Retries
	// Returns remembers the refusals of other routers; nil without admission control.
	Returns *Returns

	sequence atomic.Uint64
	sendSoon chan struct{}
	// relaySoon is signalled when a hub has urgent parts to relay.
	relaySoon chan struct{}
	// hubs are chosen again when the live routers have changed since the last update. Only Run uses
	// the field.
	hubs *hubs
	// fleetSize is the number of live routers at the last update; 0 before the first.
	fleetSize atomic.Int64
	// speedTurn counts a hub's updates. Only Run uses the field.
	speedTurn uint64

	mu sync.Mutex
	// received are the counts received last, by router or hub.
	received map[string]*counts
	// fleetSender is the hub that sent the latest counts of the whole fleet.
	fleetSender string
	// own are the counts of this router's own requests at its last update.
	own   *counts
	usage usage
	// groupEvents and hubEvents are the cached parts, outcomes and leaving servers that a hub has
	// to relay: those from its own group and those from the other hubs.
	groupEvents, hubEvents balance.Update
	// memberEvents has the outcomes and observations of speed among groupEvents by the router of the
	// group that sent them. A hub doesn't send them back, because that router has counted them already.
	memberEvents map[string]*balance.Update
	// urgentGroupParts and urgentHubParts are the cached parts among these that are relayed at
	// once. They are sent again with the next update, since datagrams may be lost.
	urgentGroupParts, urgentHubParts []balance.CachedPart

	done chan struct{}
}

// NewSyncer returns a syncer for the router with this ID. Set the other exported fields before Run.
func NewSyncer(self string) *Syncer {
	s := &Syncer{
		Self:      self,
		OnCrashes: func([]quarantine.Crash) {},

		received: make(map[string]*counts),
		own:      newCounts(nil),
		usage: usage{
			received: make(map[string]receivedUsage),
		},
		memberEvents: make(map[string]*balance.Update),

		sendSoon: make(chan struct{}, 1),

		relaySoon: make(chan struct{}, 1),
		hubs:      chooseHubs(nil),

		done: make(chan struct{}),
	}
	s.sequence.Store(firstSequence())
	return s
}

// firstSequence returns the sequence number from which a process counts its datagrams: it is taken from
// the time of day, so that the datagrams of a restarted router are newer than those it sent before.
func firstSequence() uint64 {
	return uint64(time.Now().UnixMilli()) << sequenceBits
}

// Done returns a channel that is closed when Run has returned.
func (s *Syncer) Done() <-chan struct{} {
	return s.done
}

// TriggerUpdate makes Run send the next update after urgentDelay. It doesn't block.
func (s *Syncer) TriggerUpdate() {
	signal(s.sendSoon)
}

// signal wakes the receiver of a channel with a buffer of one, now or when it receives next. It
// never blocks.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// Run sends updates until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	defer close(s.done)
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	s.sendUpdate(false)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.sendUpdate(false)
		case <-s.sendSoon:
			time.Sleep(urgentDelay)
			s.sendUrgent()
		case <-s.relaySoon:
			time.Sleep(relayDelay)
			s.relayUrgent()
		}
	}
}

// sendUpdate sends an update as the router's role requires: to all others in a full mesh, to its
// hub, or as a hub to the other hubs and to its group.
func (s *Syncer) sendUpdate(urgent bool) {
	if routers := s.Routers(); !slices.Equal(routers, s.hubs.routers) {
		s.hubs = chooseHubs(routers)
	}
	hubs := s.hubs
	if s.Retries != nil && !urgent {
		s.Retries.sendRound(hubs)
	}
	otherCount := len(excluding(hubs.routers, s.Self))
	s.fleetSize.Store(int64(len(hubs.routers)))
	update := s.Balancer.TakeUpdate()
	s.mu.Lock()
	s.own = newCounts(update.InFlight)
	s.mu.Unlock()
	switch {
	case len(hubs.chosen) == 0:
		s.clearQueues()
		peers := excluding(hubs.routers, s.Self)
		s.Balancer.SetPeers(idsOf(peers), otherCount)
		if !urgent {
			s.exchangeInMesh(idsOf(peers))
		}
		s.send(peers, s.encodeWithUsage(exchangepb.Scope_SCOPE_OWN, urgent, update, s.ownUsage()))
	case hubs.isHub(s.Self):
		s.sendHubUpdates(hubs, update, otherCount)
	default:
		s.clearQueues()
		hub, _ := hubs.hubOf(s.Self)
		s.Balancer.SetPeers([]string{fleetSource}, otherCount)
		s.mu.Lock()
		s.usage.keep([]string{fleetSource + "/" + hub.ID})
		s.mu.Unlock()
		if !urgent {
			s.takeReport(len(hubs.chosen) + len(hubs.groupOf(hub.ID)))
		}
		s.send([]slipwick.Router{hub}, s.encodeWithUsage(exchangepb.Scope_SCOPE_OWN, urgent, update, s.ownUsage()))
	}
}

// clearQueues drops the events queued for relay, because this router is no hub: it received them before
// its first update, or as a hub of a fleet that has become smaller.
func (s *Syncer) clearQueues() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.groupEvents, s.hubEvents = balance.Update{}, balance.Update{}
	s.memberEvents = make(map[string]*balance.Update)
	s.urgentGroupParts, s.urgentHubParts = nil, nil
}

// sendHubUpdates sends the counts and events of the group to the other hubs, and those of the fleet
// to the group.
func (s *Syncer) sendHubUpdates(hubs *hubs, own balance.Update, otherCount int) {
	group, others := hubs.groupOf(s.Self), excluding(hubs.chosen, s.Self)
	s.Balancer.SetPeers(slices.Concat(idsOf(group), idsOf(others)), otherCount)
	groupSum, hubSum := s.sumCounts(idsOf(group), idsOf(others))
	s.speedTurn++
	s.mu.Lock()
	update, hubEvents := s.groupEvents, s.hubEvents
	s.groupEvents, s.hubEvents = balance.Update{}, balance.Update{}
	addEvents(&update, own)
	update.Speeds, s.groupEvents.Speeds = splitByTurn(update.Speeds, s.speedTurn)
	hubEvents.Speeds, s.hubEvents.Speeds = splitByTurn(hubEvents.Speeds, s.speedTurn)
	var memberEvents map[string]*balance.Update
	memberEvents, s.memberEvents = splitMembers(s.memberEvents, s.groupEvents.Speeds)
	s.mu.Unlock()
	update.InFlight = groupSum.list()
	groupUsage, fleetUsage := s.exchangeAsHub(idsOf(group), idsOf(others))
	s.send(others, s.encodeWithUsage(exchangepb.Scope_SCOPE_GROUP, false, update, groupUsage))
	groupSum.add(hubSum, 1)
	addEvents(&update, hubEvents)
	update.InFlight = groupSum.list()
	s.sendToGroup(group, update, fleetUsage, memberEvents)
}

// addEvents appends the events of another update.
func addEvents(events *balance.Update, more balance.Update) {
	events.CachedParts = append(events.CachedParts, more.CachedParts...)
	events.Outcomes = append(events.Outcomes, more.Outcomes...)
	events.Leaving = append(events.Leaving, more.Leaving...)
	events.Speeds = addSpeeds(events.Speeds, more.Speeds)
}

// queueEvents appends the events of another update, as far as the queues have room.
func queueEvents(events *balance.Update, more balance.Update) {
	events.CachedParts = appendBounded(events.CachedParts, more.CachedParts)
	events.Outcomes = appendBounded(events.Outcomes, more.Outcomes)
	events.Leaving = appendBounded(events.Leaving, more.Leaving)
	events.Speeds = queueSpeeds(events.Speeds, more.Speeds)
}

// appendBounded appends as many items to a queue as fit maxQueued.
func appendBounded[T any](queue, items []T) []T {
	return append(queue, items[:min(len(items), maxQueued-len(queue))]...)
}

// sumCounts returns the counts of the group including this router, and those of the other hubs. It
// forgets the counts of all other routers.
func (s *Syncer) sumCounts(group, hubs []string) (groupSum, hubSum *counts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	groupCounts, hubCounts := make(map[string]*counts), make(map[string]*counts)
	for _, id := range group {
		if c := s.received[id]; c != nil {
			groupCounts[id] = c
		}
	}
	for _, id := range hubs {
		if c := s.received[id]; c != nil {
			hubCounts[id] = c
		}
	}
	s.received = make(map[string]*counts, len(groupCounts)+len(hubCounts))
	for _, kept := range []map[string]*counts{groupCounts, hubCounts} {
		for id, c := range kept {
			s.received[id] = c
		}
	}
	groupSum, hubSum = sumFresh(groupCounts), sumFresh(hubCounts)
	groupSum.add(s.own, 1)
	return groupSum, hubSum
}

func (s *Syncer) send(routers []slipwick.Router, packets [][]byte) {
	for _, r := range routers {
		address := s.Address(r)
		for _, packet := range packets {
			s.Transport.Send(address, packet)
		}
	}
}

// Receive handles a datagram of another router. The datagram names its sender, so that the address
// that it came from is not used. Receive drops a datagram that can't be decoded.
func (s *Syncer) Receive(_ string, packet []byte) {
	message := &exchangepb.Told{}
	if proto.Unmarshal(packet, message) != nil || message.GetFrom() == s.Self {
		return
	}
	if crashes := decodeCrashes(message); len(crashes) > 0 {
		s.OnCrashes(crashes)
		return
	}
	if s.Streams != nil && s.Streams.receive(message) {
		return
	}
	if s.Retries != nil && s.Retries.receive(message, s.Routers) {
		return
	}
	if s.Returns != nil && s.Returns.receive(message) {
		return
	}
	update := decode(message)
	s.queueForRelay(message, update)
	if hasCounts(message) {
		s.receiveCounts(message, update.InFlight)
	}
	s.receiveUsage(message)
	s.Balancer.ReceivePrefills(update.CachedParts)
	s.Balancer.ReceiveOutcomes(update.Outcomes)
	s.Balancer.ReceiveLeaving(update.Leaving)
	s.Balancer.ReceiveSpeedCounts(update.Speeds)
}

// hasCounts reports whether a datagram carries counts of requests in flight.
func hasCounts(message *exchangepb.Told) bool {
	return message.GetScope() != exchangepb.Scope_SCOPE_NONE && message.GetScope() != exchangepb.Scope_SCOPE_NEWS
}

// queueForRelay queues the events of an update for relay, unless the fleet is known to be too small
// for hubs. If this router turns out to be no hub, its next update clears the queue.
func (s *Syncer) queueForRelay(message *exchangepb.Told, events balance.Update) {
	size := s.fleetSize.Load()
	if countEvents(&events) == 0 || size > 0 && size <= maxMeshSize {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	urgent := message.GetUrgent()
	switch message.GetScope() {
	case exchangepb.Scope_SCOPE_OWN:
		queued := len(s.groupEvents.Outcomes)
		queueEvents(&s.groupEvents, events)
		s.recordMemberLocked(message.GetFrom(), s.groupEvents.Outcomes[queued:], events.Speeds)
		s.queueUrgentLocked(&s.urgentGroupParts, urgent, events.CachedParts)
	case exchangepb.Scope_SCOPE_GROUP:
		queueEvents(&s.hubEvents, events)
	case exchangepb.Scope_SCOPE_NEWS:
		s.queueUrgentLocked(&s.urgentHubParts, urgent, events.CachedParts)
	default:
	}
}

// receiveCounts passes the counts of a datagram to the balancer. The first datagram of a round
// replaces the counts of the round before, the others of the round add to it.
func (s *Syncer) receiveCounts(message *exchangepb.Told, list []balance.InFlight) {
	isMore, isOld := s.storeCounts(message, list)
	if isOld {
		return
	}
	source := message.GetFrom()
	if message.GetScope() == exchangepb.Scope_SCOPE_FLEET {
		source, list = fleetSource, s.subtractOwn(list)
		if s.changesFleetSender(message.GetFrom(), isMore) {
			s.Balancer.ForgetSequence(fleetSource)
		}
	}
	if isMore {
		s.Balancer.ReceiveMoreCounts(source, message.GetRound(), list)
		return
	}
	s.Balancer.ReceiveCounts(source, message.GetRound(), list)
}

// changesFleetSender reports whether another hub than before begins a round of the fleet's counts: the
// router has a new hub, which numbers its rounds on its own.
func (s *Syncer) changesFleetSender(from string, isMore bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if isMore || s.fleetSender == from {
		return false
	}
	s.fleetSender = from
	return true
}

// storeCounts stores the counts of a datagram, for a hub to add up. isMore says that the datagram
// adds to the stored round, isOld that a later round is stored already. Counts of the whole fleet
// are not stored, since no hub adds them up again.
func (s *Syncer) storeCounts(message *exchangepb.Told, list []balance.InFlight) (isMore, isOld bool) {
	if message.GetScope() == exchangepb.Scope_SCOPE_FLEET {
		list = nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id, round := message.GetFrom(), message.GetRound()
	known := s.received[id]
	switch {
	case known != nil && known.round > round:
		return false, true
	case known != nil && known.round == round:
		known.merge(list)
		return true, false
	}
	counts := newCounts(list)
	counts.round = round
	s.received[id] = counts
	return false, false
}

// subtractOwn returns the fleet's counts less those that this router sent last. It reuses the list.
func (s *Syncer) subtractOwn(list []balance.InFlight) []balance.InFlight {
	s.mu.Lock()
	defer s.mu.Unlock()
	others := list[:0]
	for _, in := range list {
		own := s.own.byServer[in.Server]
		in.Count, in.PrefillTokens = max(in.Count-own.Count, 0), max(in.PrefillTokens-own.PrefillTokens, 0)
		if in.Count > 0 || in.PrefillTokens > 0 {
			others = append(others, in)
		}
	}
	return others
}
