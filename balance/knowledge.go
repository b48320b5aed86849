package balance

import "github.com/slipwick/slipwick"

// Knowledge is what a router knows of the caches of engines, by the hash of
// their ID.
type Knowledge struct {
	// Covered are the engines whose caches it knows, but for what was read
	// there within the last moments.
	Covered []uint64
	// Reads are all parts that are known to be kept, of any engine.
	Reads []Read
}

// Knowledge gives what this router knows, for one that knows less.
func (b *Balancer) Knowledge() Knowledge {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := Knowledge{
		Reads: b.homes.all(b.hashes),
	}
	for hash, s := range b.hashes {
		if s.covered {
			k.Covered = append(k.Covered, hash)
		}
	}
	return k
}

// Learn takes what another router knows.
func (b *Balancer) Learn(k *Knowledge) {
	b.HearReads(k.Reads)
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, hash := range k.Covered {
		if s := b.hashes[hash]; s != nil {
			s.covered = true
		}
	}
}

// Keeps takes the parts that an engine says it keeps.
func (b *Balancer) Keeps(id string, parts []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[id]
	if s == nil {
		return
	}
	for _, part := range parts {
		b.homes.heard(part, s.hash)
	}
	s.covered = true
}

// HasHome tells whether a listed engine is known to keep the whole shared part
// of the prompt.
func (b *Balancer) HasHome(ask *Ask) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(ask.Prompt) == 0 {
		return false
	}
	prompt := ask.Prompt[len(ask.Prompt)-1].Key
	for _, s := range b.pools[ask.Pool] {
		if !s.Leaving && b.homes.has(prompt, s) {
			return true
		}
	}
	return false
}

// Uncovered gives the engines of a pool whose caches this router does not
// know, without those that leave.
func (b *Balancer) Uncovered(pool string) []slipwick.Backend {
	b.mu.Lock()
	defer b.mu.Unlock()
	var engines []slipwick.Backend
	for _, s := range b.pools[pool] {
		if !s.Leaving && !s.covered {
			engines = append(engines, s.Backend)
		}
	}
	return engines
}

// CoverAll notes that no engine keeps anything yet that this router does not
// know: the whole fleet starts for the first time.
func (b *Balancer) CoverAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.servers {
		s.covered = true
	}
}

// KnownParts counts the parts that are known to be kept somewhere.
func (b *Balancer) KnownParts() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.homes.holders.Len()
}
