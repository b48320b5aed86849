package gateway

// result is how one send ended.
type result int

const (
	// resultDelivered means that the caller has received the complete response.
	resultDelivered result = iota
	// resultNotRun means that the backend server did not run the request, resultUnsent that no
	// connection to it could be opened.
	resultNotRun
	resultUnsent
	// resultFailed means that a complete response reported a failure.
	resultFailed
	// resultBroken means that the exchange broke off; the request may have run.
	resultBroken
	// resultCut means that the response broke off after a part was forwarded, and cannot be
	// continued.
	resultCut
	// resultQuarantined means that the request was not sent because it was quarantined: several
	// backend servers crashed while running it.
	resultQuarantined
	// resultDisconnected means that the caller has disconnected.
	resultDisconnected
)

// String returns the name used in logs and metrics.
func (r result) String() string {
	switch r {
	case resultDelivered:
		return "delivered"
	case resultNotRun:
		return "not-run"
	case resultUnsent:
		return "unsent"
	case resultFailed:
		return "failed"
	case resultBroken:
		return "broken"
	case resultCut:
		return "cut"
	case resultQuarantined:
		return "quarantined"
	default:
		return "left"
	}
}

// isNotRun reports whether the request has certainly not run.
func (r result) isNotRun() bool {
	return r == resultNotRun || r == resultUnsent
}
