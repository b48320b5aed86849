package balance

import "time"

// maxPrefills bounds the prefills that are remembered.
const maxPrefills = 512

// prefill is a prompt that an engine prefills for the first time. Other requests for the same
// prompt wait for it. Otherwise the prompt would be prefilled twice, on this engine or on
// another that could fetch it from this one.
type prefill struct {
	engine    uint64
	startedAt time.Time
	// deadline is when the prefill is over at the latest.
	deadline time.Time
	// done is closed when the engine has begun to respond. It is nil for prefills of other
	// routers.
	done chan struct{}
}

// prefills has the recent prefills by the last shared part of their prompt.
type prefills map[uint64]*prefill

// start records a prefill. It returns false if the prompt is being prefilled already, or too
// many prefills are under way.
func (p prefills) start(part uint64, started *prefill) bool {
	if known := p[part]; known != nil && started.startedAt.Before(known.deadline) {
		return false
	}
	if len(p) >= maxPrefills {
		p.dropExpired(started.startedAt)
	}
	if len(p) >= maxPrefills {
		return false
	}
	p[part] = started
	return true
}

// dropExpired drops prefills whose deadline is over.
func (p prefills) dropExpired(now time.Time) {
	for part, known := range p {
		if now.After(known.deadline) {
			delete(p, part)
		}
	}
}

// startPrefillLocked records that an engine prefills a prompt for the lease.
func (b *Balancer) startPrefillLocked(part uint64, lease *Lease, now time.Time) {
	started := &prefill{
		engine:    lease.server.hash,
		startedAt: now,
		deadline:  now.Add(b.timingsLocked(lease.server.Pool).maxPrefillTime(lease.tokensToPrefill)),
		done:      make(chan struct{}),
	}
	if b.prefills.start(part, started) {
		lease.part, lease.prefill = part, started
	}
}

// endPrefillLocked wakes the requests that wait for the lease's prefill.
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

// awaitPrefillLocked delays the lease if its prompt is being prefilled for the first time. An
// engine other than the one that prefills it will fetch it from there.
func (b *Balancer) awaitPrefillLocked(request *Request, part uint64, lease *Lease, now time.Time) {
	tokens := request.tokens()
	known, p := b.prefills[part], b.timingsLocked(lease.server.Pool)
	if known == nil || known.done == nil && tokens < p.prefill.TokensWithin(longPrefillTime) {
		// Short prefills of other routers are over before their updates arrive.
		return
	}
	wait := known.startedAt.Add(p.maxPrefillTime(tokens)).Sub(now)
	if wait <= 0 {
		return
	}
	lease.Wait, lease.PrefillDone = wait, known.done
	if source := b.serversByHash[known.engine]; source != nil && source != lease.server && request.allows(source) {
		lease.FetchFrom = source.Address
	}
}
