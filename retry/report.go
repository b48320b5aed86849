package retry

import (
	"time"

	"github.com/slipwick/slipwick/placement"
)

// Report is what one or several routers have counted for a pool.
type Report struct {
	// Pool is the hash of the pool's name.
	Pool uint32
	// Requests and Retries are those since a start; they wrap around.
	Requests, Retries uint32
	// Unused is how many more retries the shares allow.
	Unused int
}

// FleetUnused is how many more retries the shares of routers allow.
type FleetUnused struct {
	// ByPool has them by the hash of the pool's name. HasOwn says that they, and what CountFleet takes, contain what this
	// router reported.
	ByPool map[uint32]int
	HasOwn bool
	// IsKnown says that other routers have reported recently. Routers is the number of live routers, this one included.
	IsKnown bool
	Routers int
}

// poolHash identifies the name of a pool in reports.
func poolHash(name string) uint32 { return uint32(placement.IDHash(name)) }

// Reports returns this router's reports of the pools for which it has counted something recently.
func (b *Budget) Reports() []Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	var reports []Report
	for pool := range b.pools {
		w := b.windowOfLocked(pool)
		if w.requests.sum(0, w.slot)+w.retries.sum(0, w.slot) == 0 {
			continue
		}
		unused := b.shareLocked(w, float64(w.requestCount())) - float64(w.retryCount()) + w.rounding
		reports = append(reports, Report{
			Pool:     pool,
			Requests: w.requestTotal,
			Retries:  w.retryTotal,
			Unused:   max(int(unused), 0),
		})
	}
	return reports
}

// CountFleet counts requests and retries that other routers have reported, of the time since an earlier report, by
// package clock. Requests count evenly over that time, retries as late as they can have been made.
func (b *Budget) CountFleet(pool uint32, requests, retries int, since time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowOfLocked(pool)
	slots := min(max(w.slot-b.slotAt(since), 1), windowSlots)
	w.fleetRequests.spread(w.slot-slots+1, w.slot, requests)
	w.fleetRetries.add(w.slot, retries)
}

// SetFleetUnused takes how many more retries the shares of other routers allow.
func (b *Budget) SetFleetUnused(unused *FleetUnused) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fleet = *unused
}
