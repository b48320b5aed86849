package gateway

// result is how one send ended.
type result int

const (
	// resultDelivered is an answer that the caller has whole.
	resultDelivered result = iota
	// resultNotRun is a send that the backend server did not run, resultUnsent
	// one that did not reach it: there was no connection.
	resultNotRun
	resultUnsent
	// resultFailed is a whole answer that tells of a failure.
	resultFailed
	// resultBroken is an exchange that broke; the request may have run.
	resultBroken
	// resultCut is an answer that broke after a part was passed on, and that
	// cannot go on.
	resultCut
	// resultQuarantined is a request that got no backend server: several ended under it.
	resultQuarantined
	// resultLeft is a caller that has left.
	resultLeft
)

// String gives the name that logs and metrics carry.
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

// isNotRun tells whether the request certainly did not run.
func (r result) isNotRun() bool {
	return r == resultNotRun || r == resultUnsent
}
