package quota

import (
	"time"

	"github.com/slipwick/slipwick"
)

// refresh computes the limits anew and serves waiting requests.
func (p *pool) refresh(capacity *slipwick.PoolCapacity, size *fleetSize, now time.Time) {
	p.round++
	p.refreshedAt = now
	p.dropIdle(now)
	p.slots = float64(capacity.Slots()) * size.part()
	p.attainable = 0
	p.hasPressure = capacity.InFlight() > pressureShare*float64(capacity.Slots())
	var claims []*claim
	own, usable := p.ownReport(now), now.Sub(p.fleetAt) <= fleetTTL
	switch {
	case size.most == 1:
		current := p.currentEntries(now)
		claims = p.shareClaims(current, current, 1, 0)
	case !capacity.Complete:
		p.limit = float64(capacity.Slots()) / float64(size.most)
	case usable && len(p.fleet) > 0:
		claims = p.shareFleet(capacity, &own, size.live)
	default:
		others := othersInFlight(capacity)
		p.limit = equalPart(p.slots, others, ownInFlight(own.entries), size.live)
		if others+ownInFlight(own.entries) < p.slots {
			p.attainable = p.slots / float64(size.live)
		}
	}
	p.routers = size.live
	p.hasShares = len(claims) > 0
	p.assign(claims)
	p.roundLimit(len(capacity.Servers))
	p.setReserve(claims, now)
	p.setFairRates(now)
	p.serve(now)
}

// shareClaims sets the limit from the fleet's sums and returns the claims.
func (p *pool) shareClaims(fleet, own []Entry, routers int, unattributed float64) []*claim {
	claims := newClaims(fleet)
	newClaimIndex(claims).addOwn(own)
	queued := newQueuedPart(fleet, own)
	for _, c := range claims {
		p.hasPressure = p.hasPressure || c.wanted > 0
	}
	slots := max(p.slots-unattributed, 0)
	spare := allocate(slots, claims)
	p.limit = share(claims, spare, queued, routers)
	free, wanted := slots, 0.0
	for _, c := range claims {
		free -= c.inFlight
		wanted += c.wanted
	}
	p.attainable = slots / float64(max(routers, 1)) * min(max(free, 0)/(wanted+1), 1)
	return claims
}

// shareFleet sets the limit from the fleet's sums. What this router has in flight but didn't report is no
// part of the sums; it keeps these slots.
func (p *pool) shareFleet(capacity *slipwick.PoolCapacity, own *report, routers int) []*claim {
	reported, unreported := own.entries, 0.0
	if !own.isSent {
		reported, unreported = nil, ownInFlight(own.entries)
	}
	claims := p.shareClaims(p.fleet, reported, routers, p.unattributed(capacity, reported)+unreported)
	p.limit += unreported
	if own.isSent {
		shift := p.trend.shift(p.slots, ownInFlight(reported), float64(p.inFlight), routers)
		p.limit = max(p.limit+shift, 0)
	}
	return claims
}

// ownReport returns this router's report that the fleet's sums contain.
func (p *pool) ownReport(now time.Time) report {
	if now.Sub(p.fleetAt) <= fleetTTL && len(p.fleet) > 0 {
		return p.reports.asOf(p.ownAsOf)
	}
	return p.reports.asOf(now.Add(-reportDelay))
}

// currentEntries returns what this router uses and wants now.
func (p *pool) currentEntries(now time.Time) []Entry {
	var entries []Entry
	for _, r := range p.records {
		if entry, ok := r.entry(p.hash, p.urgentPriority, now); ok {
			entries = append(entries, entry)
		}
	}
	sortEntries(entries)
	return entries
}

// unattributed returns the requests of other routers that the fleet's sums don't have, as those of
// routers that don't report usage.
func (p *pool) unattributed(capacity *slipwick.PoolCapacity, own []Entry) float64 {
	reported := ownInFlight(p.fleet) - ownInFlight(own)
	return max(othersInFlight(capacity)-reported-unattributedTolerance*p.slots, 0)
}

func ownInFlight(entries []Entry) float64 {
	sum := 0
	for i := range entries {
		sum += entries[i].InFlight
	}
	return float64(sum)
}

// othersInFlight returns the requests of the other routers that the balancer knows of.
func othersInFlight(capacity *slipwick.PoolCapacity) float64 {
	own := 0
	for i := range capacity.Servers {
		own += capacity.Servers[i].Own
	}
	return max(capacity.InFlight()-float64(own), 0)
}

// equalPart returns a router's limit if nothing is known of demand: what it uses and an equal part of
// the free slots.
func equalPart(slots, others, own float64, routers int) float64 {
	if others+own > slots {
		return slots * own / (others + own)
	}
	return own + (slots-others-own)/float64(max(routers, 1))
}

// assign connects the records with their claims and divides the limits of operators.
func (p *pool) assign(claims []*claim) {
	index := newClaimIndex(claims)
	for _, c := range claims {
		c.allowed = int(c.limit + dither(p.self, c.workspace^uint32(c.priority), p.round))
	}
	for _, r := range p.records {
		r.claim = index.find(r.hash, r.priority)
		if r.claim != nil {
			r.claim.used += r.inFlight
		}
	}
	p.setLocalWeights()
	for workspace, a := range p.allowances {
		total := workspaceTotal(claims, Hash(workspace))
		a.divide(total, p.routers, dither(p.self, Hash(workspace), p.round))
	}
}

// workspaceTotal sums up the claims of a workspace over the priorities.
func workspaceTotal(claims []*claim, workspace uint32) *claim {
	total := &claim{}
	for _, c := range claims {
		if c.workspace == workspace {
			total.inFlight += c.inFlight
			total.wanted += c.wanted
			total.ownInFlight += c.ownInFlight
			total.ownWanted += c.ownWanted
		}
	}
	return total
}

// roundLimit rounds the limit.
func (p *pool) roundLimit(servers int) {
	if servers == 0 {
		p.allowed = unlimited
		return
	}
	p.allowed = int(p.limit + dither(p.self, 0, p.round))
}
