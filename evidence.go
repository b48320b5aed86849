package slipwick

// Evidence is what the result of one request says about the health of its backend server.
type Evidence int

// The kinds of evidence. Routers exchange the numbers, so new ones must be added at the end.
const (
	// EvidenceNone says nothing about the backend server, for example because the caller
	// disconnected.
	EvidenceNone Evidence = iota
	// EvidenceGood is a complete response.
	EvidenceGood
	// EvidenceError is an error response or a broken stream.
	EvidenceError
	// EvidenceTimeout is a request that timed out, as when the backend server hangs.
	EvidenceTimeout
	// EvidenceUnreachable is a connection that could not be established for a reason other than
	// a refusal. The network path of this router may be the cause.
	EvidenceUnreachable
	// EvidenceRefused is a connection that the backend server's box refused: nothing listens
	// on the port, so no router can connect.
	EvidenceRefused
	// EvidenceLeaving is a backend server that announced that it accepts no new requests.
	EvidenceLeaving
	// EvidenceShed is a request that the backend server rejected for lack of capacity and did
	// not run.
	EvidenceShed
)

// IsFailure reports whether the evidence counts as a failure of the backend server.
func (e Evidence) IsFailure() bool {
	switch e {
	case EvidenceError, EvidenceTimeout, EvidenceUnreachable, EvidenceRefused:
		return true
	default:
		return false
	}
}
