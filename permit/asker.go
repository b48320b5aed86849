package permit

import (
	"time"

	"github.com/slipwick/slipwick/fairqueue"
)

const (
	// askerRetention is for how long a router without leases is remembered, tombstoneRetention for how
	// long a released permit is: datagrams that arrive later count as new.
	askerRetention     = 10 * time.Second
	tombstoneRetention = time.Second
)

// asker is a router that asks the coordinator for permits.
type asker struct {
	address    string
	dataCentre string
	// run identifies the router's process.
	run    uint64
	seenAt time.Time
	// live says that the router was once in the list of live routers: it is dead if it leaves the list.
	live    bool
	leases  map[uint64]*lease
	waiting map[uint64]*fairqueue.Item
	// released has the IDs of permits that were released, with the times. An ask that arrives after its
	// release is ignored.
	released map[uint64]time.Time
}

func newAsker(address string, run uint64) *asker {
	return &asker{
		address:  address,
		run:      run,
		leases:   make(map[uint64]*lease),
		waiting:  make(map[uint64]*fairqueue.Item),
		released: make(map[uint64]time.Time),
	}
}

// forgetReleased drops old IDs.
func (a *asker) forgetReleased(now time.Time) {
	for id, at := range a.released {
		if now.Sub(at) > tombstoneRetention {
			delete(a.released, id)
		}
	}
}
