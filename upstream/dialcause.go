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
	dialCauses
)

// DialCauses returns all causes.
func DialCauses() []DialCause {
	return []DialCause{DialFirst, DialBusy, DialIdleTooLong, DialClosedByServer, DialCarriedRequest}
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
	default:
		return "closed-by-server"
	}
}
