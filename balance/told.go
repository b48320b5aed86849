package balance

import (
	"slices"
	"time"

	"github.com/slipwick/slipwick/clock"
)

// Told is what one router tells the others of the backend servers it uses, by
// the hash of their ID: its requests there, what engines read for it, how
// requests ended where some failed, and which ones said that they leave.
type Told struct {
	InFlight []InFlight
	Reads    []Read
	Outcomes []Outcomes
	Leaving  []uint64
}

// Outcomes counts requests that ended since they were told last, at a server or, in a trial, at
// all servers of one side.
type Outcomes struct {
	Server uint64
	Good   int
	Failed int
}

// InFlight counts a router's requests at a backend server.
type InFlight struct {
	Server uint64
	Count  int
	// Reading is how many tokens it has to read for the router yet.
	Reading int
}

// Read says that an engine read, and so keeps, a part of a prompt.
type Read struct {
	Part   uint64
	Server uint64
}

const (
	// toldLife is how long counts of another router are believed.
	remoteCountsLifetime = time.Second
	// maxReads bounds what waits to be told; more is forgotten.
	maxPendingReads = 512
)

// remoteCounts is the latest that another router told.
type remoteCounts struct {
	receivedAt time.Time
	sequence   uint64
	inFlight   []InFlight
}

// Tell gives what there is to tell the other routers. Reads, outcomes and those that
// leave are told once.
func (b *Balancer) Tell() Told {
	b.mu.Lock()
	defer b.mu.Unlock()
	told := Told{
		Reads:   b.pendingReads,
		Leaving: b.pendingLeaving,
	}
	b.pendingReads, b.pendingLeaving = nil, nil
	b.addCanaryCountsLocked(&told)
	for s := range b.active {
		if b.hashes[s.hash] != s {
			// It is no longer listed.
			delete(b.active, s)
			continue
		}
		if good, failed := s.errors.takeUnsent(); failed > 0 {
			told.Outcomes = append(told.Outcomes, Outcomes{
				Server: s.hash,
				Good:   good,
				Failed: failed,
			})
		}
		if s.inFlight > 0 {
			told.InFlight = append(told.InFlight, InFlight{
				Server:  s.hash,
				Count:   s.inFlight,
				Reading: max(s.prefillTokens, 0),
			})
		} else {
			delete(b.active, s)
		}
	}
	return told
}

// TellReads gives what engines read since it was told last, and nothing else.
func (b *Balancer) TellReads() []Read {
	b.mu.Lock()
	defer b.mu.Unlock()
	reads := b.pendingReads
	b.pendingReads = nil
	return reads
}

// Hear takes the counts that another router told; those that were overtaken
// are dropped.
func (b *Balancer) Hear(router string, sequence uint64, list []InFlight) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if sequence <= b.countsByRouter[router].sequence {
		return
	}
	if slices.Contains(b.peers, router) {
		b.addRemoteCountsLocked(b.countsByRouter[router].inFlight, -1)
		b.addRemoteCountsLocked(list, 1)
	}
	b.countsByRouter[router] = remoteCounts{
		receivedAt: clock.Now(),
		sequence:   sequence,
		inFlight:   list,
	}
}

// HearMore takes more of the counts that another router told last.
func (b *Balancer) HearMore(router string, list []InFlight) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.countsByRouter[router]
	h.receivedAt = clock.Now()
	h.inFlight = append(h.inFlight, list...)
	b.countsByRouter[router] = h
	if slices.Contains(b.peers, router) {
		b.addRemoteCountsLocked(list, 1)
	}
}

// addToldLocked adds counts, times the sign, to the servers' sums.
func (b *Balancer) addRemoteCountsLocked(list []InFlight, sign int) {
	for _, in := range list {
		if s := b.hashes[in.Server]; s != nil {
			s.remoteInFlight += sign * in.Count
			s.remotePrefillTokens += sign * in.Reading
		}
	}
}

// sumToldLocked sums what those that tell this router told.
func (b *Balancer) recountRemoteLocked() {
	for _, s := range b.servers {
		s.remoteInFlight, s.remotePrefillTokens = 0, 0
	}
	for _, id := range b.peers {
		b.addRemoteCountsLocked(b.countsByRouter[id].inFlight, 1)
	}
}

// HearReads takes what engines read for other routers.
func (b *Balancer) HearReads(reads []Read) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, read := range reads {
		if s := b.hashes[read.Server]; s != nil {
			b.cacheIndex.addReported(read.Part, s.hash)
		}
	}
}

// HearReadings takes what engines have just begun to read for other routers.
func (b *Balancer) HearReadings(reads []Read) {
	b.mu.Lock()
	now := clock.Now()
	for _, read := range reads {
		s := b.hashes[read.Server]
		if known, _ := b.cacheIndex.holders.Peek(read.Part); len(known) > 0 || s == nil {
			continue
		}
		// How much is read is not told.
		p := b.paceLocked(s.Pool)
		b.prefills.start(read.Part, &prefill{
			engine:    read.Server,
			startedAt: now,
			deadline:  now.Add(p.maxPrefillTime(p.prefill.Tokens(remotePrefillTime))),
		})
	}
	b.mu.Unlock()
	b.HearReads(reads)
}

// InFlight counts the requests of all routers at a pool, as far as known.
func (b *Balancer) InFlight(pool string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	each := b.loadsLocked(b.pools[pool], clock.Now())
	sum := 0.0
	for _, load := range each {
		sum += load
	}
	return sum
}

// SetPeers takes the IDs of those that tell this router, and how many other
// routers they speak for. Only when all of them have told their counts do these
// stand for the fleet's.
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
		if h, ok := b.countsByRouter[id]; ok {
			live[id] = h
		}
	}
	b.countsByRouter = live
	b.recountRemoteLocked()
}

// allToldLocked tells whether all that tell this router did lately: the servers'
// sums then stand for the fleet.
func (b *Balancer) hasAllUpdatesLocked(now time.Time) bool {
	for _, id := range b.peers {
		h, known := b.countsByRouter[id]
		if !known || now.Sub(h.receivedAt) > remoteCountsLifetime {
			return false
		}
	}
	return len(b.peers) > 0
}
