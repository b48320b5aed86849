package upstream

// DialCause is why a connection had to be opened for a request.
type DialCause int

// The causes.
const (
	// DialFirst is the first connection to the backend server.
	DialFirst DialCause = iota
	// DialBusy says that all connections to the server were in use, or that none was kept.
	DialBusy
	// DialIdleTooLong says that a connection was idle for longer than the server keeps it, or than is
	// safe for a request that must not be repeated.
	DialIdleTooLong
	// DialClosedByServer says that the server had closed the idle connection.
	DialClosedByServer
	// DialCarriedRequest says that the request had been sent on the idle connections before.
	DialCarriedRequest
	// DialNeedsUnused says that the idle connections had carried other requests, and that the response to this one
	// may name none.
	DialNeedsUnused
	dialCauses
)

// DialCauses returns all causes.
func DialCauses() []DialCause {
	return []DialCause{DialFirst, DialBusy, DialIdleTooLong, DialClosedByServer, DialCarriedRequest, DialNeedsUnused}
}

// String returns the name used in metrics.
func (d DialCause) String() string {
	switch d {
	case DialFirst:
		return "first"
	case DialBusy:
		return "busy"
	case DialIdleTooLong:
		return "idle-too-long"
	case DialCarriedRequest:
		return "carried-request"
	case DialNeedsUnused:
		return "needs-unused"
	default:
		return "closed-by-server"
	}
}

// passedOverCause returns why a connection is opened for a request that none of the idle ones may carry.
func passedOverCause(needsUnused bool) DialCause {
	if needsUnused {
		return DialNeedsUnused
	}
	return DialCarriedRequest
}
