package slipwick

// Evidence is what one request showed of its backend server's health.
type Evidence int

// The kinds of evidence. Routers tell each other their numbers: new ones come last.
const (
	// EvidenceNone says nothing of the backend server, as when the caller
	// went away.
	EvidenceNone Evidence = iota
	// EvidenceGood is a whole answer.
	EvidenceGood
	// EvidenceError is an error answer or a broken stream.
	EvidenceError
	// EvidenceTimeout is a time limit passed: a hang.
	EvidenceTimeout
	// EvidenceUnreachable is a connection that did not come up.
	EvidenceUnreachable
	// EvidenceRefused is a connection that the backend server's box refused:
	// nothing listens there, for any router.
	EvidenceRefused
	// EvidenceLeaving is a backend server that says it takes no new work.
	EvidenceLeaving
	// EvidenceShed is a request turned away for want of room, and not run.
	EvidenceShed
)

// Bad tells whether the evidence speaks against the backend server.
func (e Evidence) Bad() bool {
	switch e {
	case EvidenceError, EvidenceTimeout, EvidenceUnreachable, EvidenceRefused:
		return true
	default:
		return false
	}
}
