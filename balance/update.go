package balance

import (
	"slices"
	"time"

	"github.com/slipwick/slipwick/clock"
)

// Update is what one router sends the others about the backend servers that it uses, by the
// hash of their incarnation: its requests there, what engines cached for it, the outcomes of
// requests where some failed, and which servers announced that they are leaving.
type Update struct {
	InFlight    []InFlight
	CachedParts []CachedPart
	Outcomes    []OutcomeCounts
	Leaving     []uint64
	Speeds      []SpeedCounts
}

// OutcomeCounts has the numbers of requests that ended since the last update, at a server or, in a
// canary, at all servers of one side.
type OutcomeCounts struct {
	// Server is the hash of the server's incarnation, or the key of the side of a canary.
	Server uint64
	Good   int
	Failed int
}

// InFlight counts a router's requests at a backend server.
type InFlight struct {
	Server uint64
	Count  int
	// PrefillTokens is how many tokens the server has yet to prefill for the router.
	PrefillTokens int
}

// CachedPart says that an engine prefilled, and thus has cached, a part of a prompt.
type CachedPart struct {
	Part   uint64
	Server uint64
}

const (
	// remoteCountsTTL is how long the counts of a peer are used.
	remoteCountsTTL = time.Second
	// maxPendingItems bounds the cached parts, and also the leaving servers, that wait for the next
	// update. More are dropped.
	maxPendingItems = 512
)

// remoteCounts has the latest counts of a peer: of one router, or the sum of several.
type remoteCounts struct {
	receivedAt time.Time
	sequence   uint64
	inFlight   []InFlight
}

// TakeUpdate returns what there is to send to the other routers. It returns cached parts,
// outcomes and leaving servers only once.
func (b *Balancer) TakeUpdate() Update {
	b.mu.Lock()
	defer b.mu.Unlock()
	update := Update{
		CachedParts: b.pendingCachedParts,
		Leaving:     b.pendingLeaving,
	}
	b.pendingCachedParts, b.pendingLeaving = nil, nil
	b.addCanaryCountsLocked(&update)
	now := clock.Now()
	b.updateLoadWeightsLocked(now)
	for s := range b.active {
		if b.serversByHash[s.hash] != s {
			// The server is no longer listed.
			delete(b.active, s)
			continue
		}
		if good, failed := s.errors.takeUnsent(len(b.pools[s.Pool]) <= smallPool); good+failed > 0 {
			update.Outcomes = append(update.Outcomes, OutcomeCounts{
				Server: s.hash,
				Good:   good,
				Failed: failed,
			})
		}
		b.addSpeedCountsLocked(&update, s, now)
		if s.inFlight > 0 {
			update.InFlight = append(update.InFlight, InFlight{
				Server:        s.hash,
				Count:         s.inFlight,
				PrefillTokens: max(s.prefillTokens, 0),
			})
		} else if s.speed.pending.isEmpty() {
			delete(b.active, s)
		}
	}
	return update
}

// TakeCachedParts returns only the parts that engines cached since the last update, and each
// only once.
func (b *Balancer) TakeCachedParts() []CachedPart {
	b.mu.Lock()
	defer b.mu.Unlock()
	parts := b.pendingCachedParts
	b.pendingCachedParts = nil
	return parts
}

// ReceiveCounts takes the counts that a peer sent. It ignores counts that arrive after later ones, and
// those of the same message again: sequence increases with each message of the peer.
func (b *Balancer) ReceiveCounts(peer string, sequence uint64, counts []InFlight) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if sequence <= b.countsByPeer[peer].sequence {
		return
	}
	if slices.Contains(b.peers, peer) {
		b.addRemoteCountsLocked(b.countsByPeer[peer].inFlight, -1)
		b.addRemoteCountsLocked(counts, 1)
	}
	b.countsByPeer[peer] = remoteCounts{
		receivedAt: clock.Now(),
		sequence:   sequence,
		inFlight:   slices.Clone(counts),
	}
}

// ReceiveMoreCounts adds to the counts that a peer sent with the sequence, in several messages. It
// ignores them if the counts known have another sequence.
func (b *Balancer) ReceiveMoreCounts(peer string, sequence uint64, counts []InFlight) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, known := b.countsByPeer[peer]
	if !known || c.sequence != sequence {
		return
	}
	c.receivedAt = clock.Now()
	c.inFlight = append(c.inFlight, counts...)
	b.countsByPeer[peer] = c
	if slices.Contains(b.peers, peer) {
		b.addRemoteCountsLocked(counts, 1)
	}
}

// ForgetSequence makes the next counts of a peer count as later ones, because another sender, with
// sequences of its own, takes its place.
func (b *Balancer) ForgetSequence(peer string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c, known := b.countsByPeer[peer]; known {
		c.sequence = 0
		b.countsByPeer[peer] = c
	}
}

// addRemoteCountsLocked adds counts, multiplied by sign, to the servers' sums.
func (b *Balancer) addRemoteCountsLocked(counts []InFlight, sign int) {
	for _, in := range counts {
		if s := b.serversByHash[in.Server]; s != nil {
			s.remoteInFlight += sign * in.Count
			s.remotePrefillTokens += sign * in.PrefillTokens
		}
	}
}

// recountRemoteLocked recomputes the servers' sums from the counts of the current peers.
func (b *Balancer) recountRemoteLocked() {
	for _, s := range b.servers {
		s.remoteInFlight, s.remotePrefillTokens = 0, 0
	}
	for _, id := range b.peers {
		b.addRemoteCountsLocked(b.countsByPeer[id].inFlight, 1)
	}
}

// ReceiveCachedParts takes what engines cached for other routers.
func (b *Balancer) ReceiveCachedParts(parts []CachedPart) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, part := range parts {
		if s := b.serversByHash[part.Server]; s != nil {
			b.cacheIndex.addReported(part.Part, s.hash)
		}
	}
}

// ReceivePrefills takes what engines have just begun to prefill for other routers.
func (b *Balancer) ReceivePrefills(parts []CachedPart) {
	b.mu.Lock()
	now := clock.Now()
	for _, part := range parts {
		s := b.serversByHash[part.Server]
		if known, _ := b.cacheIndex.holdersByPart.Peek(part.Part); len(known) > 0 || s == nil {
			continue
		}
		// The length of the prompt is not sent.
		p := b.timingsLocked(s.Pool)
		b.prefills.start(part.Part, &prefill{
			engine:    part.Server,
			startedAt: now,
			deadline:  now.Add(p.maxPrefillTime(p.prefill.TokensWithin(remotePrefillTime))),
		})
	}
	b.mu.Unlock()
	b.ReceiveCachedParts(parts)
}

// RequestsInFlight returns the requests of all routers at a pool, as far as known.
func (b *Balancer) RequestsInFlight(pool string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := b.loadsLocked(b.pools[pool], clock.Now())
	sum := 0.0
	for _, load := range loads {
		sum += load
	}
	return sum
}

// SetPeers sets the IDs of the senders whose updates this router receives, and how many other
// routers they represent. The counts are those of the whole fleet only once all senders have sent
// theirs.
func (b *Balancer) SetPeers(ids []string, others int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.otherRouters = others
	if slices.Equal(b.peers, ids) {
		return
	}
	b.peers = ids
	live := make(map[string]remoteCounts, len(ids))
	for _, id := range ids {
		if c, ok := b.countsByPeer[id]; ok {
			live[id] = c
		}
	}
	b.countsByPeer = live
	b.recountRemoteLocked()
}

// hasAllUpdatesLocked reports whether all peers have sent counts recently, so that the servers'
// sums cover the whole fleet.
func (b *Balancer) hasAllUpdatesLocked(now time.Time) bool {
	for _, id := range b.peers {
		c, known := b.countsByPeer[id]
		if !known || now.Sub(c.receivedAt) > remoteCountsTTL {
			return false
		}
	}
	return len(b.peers) > 0
}

// awaitsFirstUpdatesLocked reports whether this router has just started and can't know the requests of
// other routers yet. When a whole fleet restarts, the requests that callers kept for it fill the servers
// at once, so that a rejection says nothing about a server that seems to have free slots.
func (b *Balancer) awaitsFirstUpdatesLocked(now time.Time) bool {
	return now.Sub(b.firstListAt) < remoteCountsTTL && len(b.peers) > 0 && !b.hasAllUpdatesLocked(now)
}
