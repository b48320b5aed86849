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
	toldLife = time.Second
	// maxReads bounds what waits to be told; more is forgotten.
	maxReads = 512
)

// heard is the latest that another router told.
type heard struct {
	at       time.Time
	sequence uint64
	inFlight []InFlight
}

// Tell gives what there is to tell the other routers. Reads, outcomes and those that
// leave are told once.
func (b *Balancer) Tell() Told {
	b.mu.Lock()
	defer b.mu.Unlock()
	told := Told{
		Reads:   b.reads,
		Leaving: b.leaving,
	}
	b.reads, b.leaving = nil, nil
	b.tellTrialsLocked(&told)
	for s := range b.inUse {
		if b.hashes[s.hash] != s {
			// It is no longer listed.
			delete(b.inUse, s)
			continue
		}
		if good, failed := s.errors.untold(); failed > 0 {
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
				Reading: max(s.reading, 0),
			})
		} else {
			delete(b.inUse, s)
		}
	}
	return told
}

// TellReads gives what engines read since it was told last, and nothing else.
func (b *Balancer) TellReads() []Read {
	b.mu.Lock()
	defer b.mu.Unlock()
	reads := b.reads
	b.reads = nil
	return reads
}

// Hear takes the counts that another router told; those that were overtaken
// are dropped.
func (b *Balancer) Hear(router string, sequence uint64, list []InFlight) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if sequence <= b.heard[router].sequence {
		return
	}
	if slices.Contains(b.peers, router) {
		b.addToldLocked(b.heard[router].inFlight, -1)
		b.addToldLocked(list, 1)
	}
	b.heard[router] = heard{
		at:       clock.Now(),
		sequence: sequence,
		inFlight: list,
	}
}

// HearMore takes more of the counts that another router told last.
func (b *Balancer) HearMore(router string, list []InFlight) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.heard[router]
	h.at = clock.Now()
	h.inFlight = append(h.inFlight, list...)
	b.heard[router] = h
	if slices.Contains(b.peers, router) {
		b.addToldLocked(list, 1)
	}
}

// addToldLocked adds counts, times the sign, to the servers' sums.
func (b *Balancer) addToldLocked(list []InFlight, sign int) {
	for _, in := range list {
		if s := b.hashes[in.Server]; s != nil {
			s.told += sign * in.Count
			s.toldReading += sign * in.Reading
		}
	}
}

// sumToldLocked sums what those that tell this router told.
func (b *Balancer) sumToldLocked() {
	for _, s := range b.servers {
		s.told, s.toldReading = 0, 0
	}
	for _, id := range b.peers {
		b.addToldLocked(b.heard[id].inFlight, 1)
	}
}

// HearReads takes what engines read for other routers.
func (b *Balancer) HearReads(reads []Read) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, read := range reads {
		if s := b.hashes[read.Server]; s != nil {
			b.homes.heard(read.Part, s.hash)
		}
	}
}

// HearReadings takes what engines have just begun to read for other routers.
func (b *Balancer) HearReadings(reads []Read) {
	b.mu.Lock()
	now := clock.Now()
	for _, read := range reads {
		s := b.hashes[read.Server]
		if known, _ := b.homes.holders.Peek(read.Part); len(known) > 0 || s == nil {
			continue
		}
		// How much is read is not told.
		p := b.paceLocked(s.Pool)
		b.readings.begin(read.Part, &reading{
			engine: read.Server,
			began:  now,
			until:  now.Add(p.readBy(p.reading.Tokens(toldReadTime))),
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
	b.others = others
	if slices.Equal(b.peers, ids) {
		return
	}
	b.peers = ids
	live := make(map[string]heard, len(ids))
	for _, id := range ids {
		if h, ok := b.heard[id]; ok {
			live[id] = h
		}
	}
	b.heard = live
	b.sumToldLocked()
}

// allToldLocked tells whether all that tell this router did lately: the servers'
// sums then stand for the fleet.
func (b *Balancer) allToldLocked(now time.Time) bool {
	for _, id := range b.peers {
		h, known := b.heard[id]
		if !known || now.Sub(h.at) > toldLife {
			return false
		}
	}
	return len(b.peers) > 0
}
