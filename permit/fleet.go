package permit

import (
	"slices"
	"sync"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/placement"
)

const (
	// fleetInterval is how long a copy of the list of live routers is used: membership takes longer to
	// detect a change.
	fleetInterval = 20 * time.Millisecond
	// fleetMemory is for how long a fleet that has lost at least half of its routers counts with its
	// former size. A router that is cut off from the others takes them for dead, one after the other within
	// some seconds.
	fleetMemory = 30 * time.Second
)

// fleet is a copy of the list of live routers. It is safe for concurrent use.
type fleet struct {
	self    slipwick.Router
	routers func() []slipwick.Router
	address func(slipwick.Router) string

	mu        sync.Mutex
	fetched   time.Time
	live      []slipwick.Router
	byAddress map[string]slipwick.Router
	// coordinators are those of the pools that were asked for since the list changed.
	coordinators map[string]slipwick.Router
	// sizes has the sizes of the fleet within fleetMemory, each larger than all later ones.
	sizes []fleetSize
}

// fleetSize is the number of live routers, last seen at a time.
type fleetSize struct {
	at      time.Time
	routers int
}

// refreshLocked fetches the list again if the copy is old.
func (f *fleet) refreshLocked(now time.Time) {
	if f.byAddress != nil && now.Sub(f.fetched) < fleetInterval {
		return
	}
	f.fetched = now
	live := f.routers()
	if !slices.ContainsFunc(live, f.isSelf) {
		live = append(slices.Clone(live), f.self)
	}
	if f.byAddress == nil || !slices.Equal(live, f.live) {
		f.live = slices.Clone(live)
		f.coordinators = make(map[string]slipwick.Router)
		f.byAddress = make(map[string]slipwick.Router, len(live))
		for _, r := range f.live {
			f.byAddress[f.address(r)] = r
		}
	}
	f.recordSizeLocked(len(live), now)
}

func (f *fleet) recordSizeLocked(routers int, now time.Time) {
	f.sizes = slices.DeleteFunc(f.sizes, func(s fleetSize) bool {
		return s.routers <= routers || now.Sub(s.at) > fleetMemory
	})
	f.sizes = append(f.sizes, fleetSize{
		at:      now,
		routers: routers,
	})
}

// sizeLocked returns the number of live routers, or the largest one within fleetMemory if half of these
// or more were lost.
func (f *fleet) sizeLocked() int {
	if largest := f.sizes[0].routers; 2*len(f.live) <= largest {
		return largest
	}
	return len(f.live)
}

func (f *fleet) isSelf(r slipwick.Router) bool {
	return r.ID == f.self.ID
}

// coordinator returns the router that coordinates the pool, and its address.
func (f *fleet) coordinator(pool string, now time.Time) (slipwick.Router, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refreshLocked(now)
	r, known := f.coordinators[pool]
	if !known {
		r = f.live[placement.BestRouter(placement.IDHash(pool), f.live)]
		f.coordinators[pool] = r
	}
	return r, f.address(r)
}

// coordinates reports whether this router coordinates the pool.
func (f *fleet) coordinates(pool string, now time.Time) bool {
	r, _ := f.coordinator(pool, now)
	return f.isSelf(r)
}

// find returns the live router with the address.
func (f *fleet) find(address string, now time.Time) (r slipwick.Router, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refreshLocked(now)
	r, ok = f.byAddress[address]
	return r, ok
}

// size returns the number of routers, those included that were lost together a short time ago.
func (f *fleet) size(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refreshLocked(now)
	return f.sizeLocked()
}

// part returns the part of the fleet that this router sees: 1 unless half of the fleet or more was
// lost a short time ago.
func (f *fleet) part(now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refreshLocked(now)
	return float64(len(f.live)) / float64(f.sizeLocked())
}

func newFleet(self slipwick.Router, routers func() []slipwick.Router, address func(slipwick.Router) string) *fleet {
	return &fleet{
		self:    self,
		routers: routers,
		address: address,
	}
}
