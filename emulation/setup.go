package emulation

import (
	"time"

	"github.com/slipwick/slipwick/admission"
)

// Setup describes the size of an emulated fleet and the load from its chats.
type Setup struct {
	Routers, Engines, DataCentres int
	// Chats is the number of chats that send requests repeatedly. Each waits
	// for about ThinkTime, then sends a request that takes about ServiceTime.
	Chats       int
	ThinkTime   time.Duration
	ServiceTime time.Duration
	// HotShare is the share of chats that wait for ThinkTime; the others wait
	// ten times as long.
	HotShare float64
	// CachedChats is how many chats' prefixes an engine caches.
	CachedChats int
	// Slots limits the requests in flight at an engine.
	Slots int
	// LoadFactor is the pool's maximum load factor: an engine's limit as a multiple
	// of the mean load.
	LoadFactor float64
	Policy     admission.Policy
	// Baseline replaces admission by owners; nil keeps admission by owners.
	Baseline Baseline
	Seed     uint64
	// WarmUp is how long the fleet runs before it is measured. It covers the
	// start of the routers and the first return of the chats.
	WarmUp time.Duration
}

// prefillTime is added to a request whose prefix is not cached.
const prefillTime = 400 * time.Millisecond

// workspaces are those of an emulated fleet. The last one sends only the surges of
// the case burst, and nothing in other cases.
var workspaces = []string{"w0", "w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8", "surging"}
