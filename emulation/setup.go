package emulation

import (
	"time"

	"github.com/slipwick/slipwick/admission"
)

// Setup is the size of an emulated fleet and what its callers do.
type Setup struct {
	Routers, Engines, DataCentres int
	// Chats return again and again: each thinks for about Think, then has a
	// request of about Service.
	Chats   int
	Think   time.Duration
	Service time.Duration
	// Hot is the share of chats that return at once; the others think ten
	// times as long.
	Hot float64
	// CacheChats is how many chats' prefixes an engine keeps.
	CacheChats int
	// Slots bounds requests in flight at an engine.
	Slots  int
	Factor float64
	Policy admission.Policy
	// Baseline takes the place of owners; nil keeps them.
	Baseline Baseline
	Seed     uint64
	// WarmUp is how long the fleet runs before it is measured: until chats
	// have returned and the routers' start is over.
	WarmUp time.Duration
}

// prefill is how much longer a request takes whose prefix is not cached.
const prefill = 400 * time.Millisecond

// workspaces of an emulated fleet; the last surges in some cases.
var workspaces = []string{"w0", "w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8", "surging"}
