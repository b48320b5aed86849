package dispatch

import (
	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/quarantine"
)

// Call describes a request to dispatch and the pools that may serve it.
type Call struct {
	// Pools lists the pools to try in order: the routing rule's pool, then its fallback.
	Pools []string
	// Request is the request for a slot, without the pool, which is set for each attempt.
	Request slipwick.AcquireRequest
	// Repeatable tells whether the request may be sent again after an attempt that may have run.
	Repeatable bool
	// QuarantineKey identifies the content of the request for the quarantine, independent of the request's ID.
	QuarantineKey quarantine.Key
}
