package quarantine

import "time"

// Attempt is one attempt to run a request at a backend server. The caller has to call End exactly
// once.
type Attempt struct {
	tracker *Tracker
	// crash names the request and the server; End records it if the server crashed.
	crash Crash
	// stop aborts the attempt; see Tracker.Begin.
	stop func()
}

// Outcome says how an attempt ended, as evidence on whether the request crashes backend servers.
type Outcome int

const (
	// OutcomeInconclusive is no evidence for or against the request.
	OutcomeInconclusive Outcome = iota
	// OutcomeCompleted means that the server returned the complete response.
	OutcomeCompleted
	// OutcomeCrashed means that the server broke off the response and no longer accepts
	// connections.
	OutcomeCrashed
)

// End records the outcome of the attempt.
func (a *Attempt) End(outcome Outcome) {
	t := a.tracker
	t.mu.Lock()
	t.removeAttemptLocked(a)
	switch {
	case outcome == OutcomeCompleted:
		t.recordCompletionLocked(a.crash.Key)
	case outcome == OutcomeCrashed && !t.completedRecentlyLocked(a.crash.Key):
		if a.crash.Incarnation == 0 {
			a.crash.Incarnation = time.Now().UnixMilli()
		}
		t.addCrashLocked(a.crash)
	}
	t.unlockAndNotify()
}
