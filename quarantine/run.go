package quarantine

import "time"

// Attempt is one attempt to run a request at a backend server. The caller has to call End exactly once.
type Attempt struct {
	ledger *Tracker
	crash  Crash
	stop   func()
}

// Outcome is the outcome of an attempt for the backend server.
type Outcome int

const (
	// OutcomeUnknown gives no evidence for or against the request.
	OutcomeUnknown Outcome = iota
	// OutcomeCompleted means that the server returned the complete response.
	OutcomeCompleted
	// OutcomeCrashed means that the server broke off the response and no longer accepts connections.
	OutcomeCrashed
)

// End records the outcome of the attempt.
func (r *Attempt) End(fate Outcome) {
	l := r.ledger
	l.mu.Lock()
	l.removeAttemptLocked(r)
	switch {
	case fate == OutcomeCompleted:
		l.recordCompletionLocked(r.crash.Key)
	case fate == OutcomeCrashed && !l.completedRecentlyLocked(r.crash.Key):
		if r.crash.Incarnation == 0 {
			r.crash.Incarnation = time.Now().UnixMilli()
		}
		l.addCrashLocked(r.crash)
	}
	l.unlockAndNotify()
}
