package tunnel

import (
	"cmp"
	"slices"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/placement"
)

// The tiers of routers, the best first. A tunnel through a router in this router's data centre or that of the
// backend server crosses no more data centres than a connection without it.
const (
	tierInUse = iota
	tierOnTheWay
	tierSameRegion
	tierOtherRegion
)

// tierOf returns the tier of a router.
func (d *Dialer) tierOf(h *helper, backend *slipwick.Backend, now time.Time) int {
	switch {
	case !h.usedAt.IsZero() && now.Sub(h.usedAt) < keptTime:
		return tierInUse
	case h.router.DataCentre == d.Self.DataCentre || h.router.DataCentre == backend.DataCentre:
		return tierOnTheWay
	case h.router.Region == d.Self.Region:
		return tierSameRegion
	default:
		return tierOtherRegion
	}
}

// bestLocked returns up to spread routers of the best tier that were not asked and are not excluded. Routers prefer
// different ones, so that those with a path share the tunnels evenly.
func (d *Dialer) bestLocked(backend *slipwick.Backend, asked []string, now time.Time) []*helper {
	var best []*helper
	tier := tierOtherRegion
	for id, h := range d.routers {
		t := d.tierOf(h, backend, now)
		if t > tier || now.Before(h.excludedUntil) || slices.Contains(asked, id) {
			continue
		}
		if t < tier {
			best, tier = best[:0], t
		}
		best = append(best, h)
	}
	self := placement.IDHash(d.Self.ID)
	slices.SortFunc(best, func(a, b *helper) int {
		return cmp.Compare(placement.Score(self, placement.IDHash(b.router.ID)),
			placement.Score(self, placement.IDHash(a.router.ID)))
	})
	return best[:min(len(best), spread)]
}
