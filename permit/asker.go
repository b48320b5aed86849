package permit

import (
	"time"

	"github.com/slipwick/slipwick/fairqueue"
)

const (
	// askerRetention is for how long a router without leases is remembered.
	askerRetention = 10 * time.Second
	// decisionRetention is for how long a released permit or a refusal is remembered: asks that arrive
	// later count as new. Datagrams are up to 1 s late.
	decisionRetention = 2 * time.Second
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
	// decided has the IDs of requests that were refused and of permits that were released.
	decided map[uint64]decision
}

func newAsker(address string, run uint64) *asker {
	return &asker{
		address: address,
		run:     run,
		leases:  make(map[uint64]*lease),
		waiting: make(map[uint64]*fairqueue.Item),
		decided: make(map[uint64]decision),
	}
}

// forgetDecided drops old IDs.
func (a *asker) forgetDecided(now time.Time) {
	for id, d := range a.decided {
		if now.Sub(d.at) > decisionRetention {
			delete(a.decided, id)
		}
	}
}
