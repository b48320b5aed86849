package balance

import "time"

// readingsKept bounds the readings that are remembered.
const maxPrefills = 512

// prefill is a prompt that an engine reads for the first time. Requests for
// the same prompt that come meanwhile would have it read again, at this engine
// or at another that fetches from it: they wait.
type prefill struct {
	engine    uint64
	startedAt time.Time
	// deadline is when the prompt is read at the latest.
	deadline time.Time
	// done is closed when the engine has begun to answer; nil for readings of
	// other routers.
	done chan struct{}
}

// prefills are those of the last moments, by the last shared part.
type prefills map[uint64]*prefill

// start notes a reading, unless the prompt is being read already.
func (r prefills) start(part uint64, begun *prefill) bool {
	if known := r[part]; known != nil && begun.startedAt.Before(known.deadline) {
		return false
	}
	if len(r) >= maxPrefills {
		r.dropExpired(begun.startedAt)
	}
	if len(r) >= maxPrefills {
		return false
	}
	r[part] = begun
	return true
}

// dropExpired drops readings that nobody waits for any more.
func (r prefills) dropExpired(now time.Time) {
	for part, known := range r {
		if now.After(known.deadline) {
			delete(r, part)
		}
	}
}

// beginReadingLocked notes that an engine reads a prompt for the lease.
func (b *Balancer) startPrefillLocked(part uint64, lease *Lease, now time.Time) {
	begun := &prefill{
		engine:    lease.server.hash,
		startedAt: now,
		deadline:  now.Add(b.paceLocked(lease.server.Pool).maxPrefillTime(lease.promptTokensToPrefill)),
		done:      make(chan struct{}),
	}
	if b.prefills.start(part, begun) {
		lease.part, lease.prefill = part, begun
	}
}

// endReadingLocked lets those go on that wait for the lease's reading.
func (b *Balancer) endPrefillLocked(lease *Lease) {
	if lease.prefill == nil {
		return
	}
	close(lease.prefill.done)
	if b.prefills[lease.part] == lease.prefill {
		delete(b.prefills, lease.part)
	}
	lease.prefill = nil
}

// awaitReadingLocked has the lease wait if the prompt is being read for the
// first time. An engine other than the one that reads it fetches it from there.
func (b *Balancer) awaitPrefillLocked(request *Ask, part uint64, lease *Lease, now time.Time) {
	tokens := request.tokens()
	known, p := b.prefills[part], b.paceLocked(lease.server.Pool)
	if known == nil || known.done == nil && tokens < p.prefill.Tokens(longPrefillTime) {
		// Other routers tell of short readings when these are over.
		return
	}
	wait := known.startedAt.Add(p.maxPrefillTime(tokens)).Sub(now)
	if wait <= 0 {
		return
	}
	lease.Wait, lease.Read = wait, known.done
	if reader := b.hashes[known.engine]; reader != nil && reader != lease.server && request.allows(reader) {
		lease.FetchFrom = reader.Address
	}
}
