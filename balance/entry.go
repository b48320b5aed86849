package balance

import (
	"time"

	"github.com/slipwick/slipwick"
)

// Entry is an entry of the list of backend servers.
type Entry struct {
	slipwick.Backend
	Pool string
	// Version is the version of the server's software. It is empty if unknown.
	Version string
	// Leaving says that the server accepts no new requests.
	Leaving bool
	// ColdTime is the remaining time for which the backend server counted as cold when it
	// registered itself. ColdUntil is the end of that time, counted from when the entry was
	// received.
	ColdTime  time.Duration
	ColdUntil time.Time
}
