package gateway

import "github.com/slipwick/slipwick"

// evidenceOfUnreadBodies returns what it says about a backend server that the bodies of other requests
// are in flight to it, so that no further one is sent. It counts against the server only if the server
// has stalled, that is, has read nothing for the first-byte timeout.
func evidenceOfUnreadBodies(stalled bool) slipwick.Evidence {
	if stalled {
		return slipwick.EvidenceTimeout
	}
	return slipwick.EvidenceNone
}
