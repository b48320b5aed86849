package quarantine

import (
	"sync/atomic"
	"time"
)

// Attempt is one attempt to run a request at a backend server. The caller has to call End exactly
// once.
type Attempt struct {
	tracker *Tracker
	// crash names the request and the server; End records it if the server crashed. parts are the
	// keys of the request's prompt parts.
	crash Crash
	parts []Key
	// stop aborts the attempt; see Tracker.Begin.
	stop func()
	// stoppedAt is when stop was called; zero before that.
	stoppedAt time.Time
	// hasBegun is true once the server has begun to respond.
	hasBegun atomic.Bool
}

// Outcome says how an attempt ended, as evidence on whether the request crashes backend servers.
type Outcome int

const (
	// OutcomeInconclusive is no evidence for or against the request.
	OutcomeInconclusive Outcome = iota
	// OutcomeCompleted means that the server returned the complete response.
	OutcomeCompleted
	// OutcomeFailed means that the server returned a complete response that reports a failure. It is
	// evidence on the request but not on its prompt, which the server may not have begun to process.
	OutcomeFailed
	// OutcomeCrashed means that the server broke off the response and no longer accepts
	// connections.
	OutcomeCrashed
)

// SetBegun records that the server has begun to respond. If a part of the prompt is quarantined from
// then on, the attempt goes on: the server would have crashed.
func (a *Attempt) SetBegun() {
	a.hasBegun.Store(true)
}

// RecordProgress records that the server has been responding for so long that no part of the prompt
// crashes it.
func (a *Attempt) RecordProgress() {
	a.tracker.mu.Lock()
	for _, part := range a.parts {
		a.tracker.recordCompletionLocked(part)
	}
	a.tracker.unlockAndNotify()
}

// End records the outcome of the attempt.
func (a *Attempt) End(outcome Outcome) {
	t := a.tracker
	t.mu.Lock()
	t.removeAttemptLocked(a)
	switch outcome {
	case OutcomeCompleted:
		for _, key := range a.keys() {
			t.recordCompletionLocked(key)
		}
	case OutcomeFailed:
		t.recordCompletionLocked(a.crash.Key)
	case OutcomeCrashed:
		a.recordCrashLocked()
	}
	t.unlockAndNotify()
}

// recordCrashLocked records a crash of the server for the request and for each part of its prompt.
func (a *Attempt) recordCrashLocked() {
	if a.crash.Incarnation == 0 {
		a.crash.Incarnation = time.Now().UnixMilli()
	}
	for _, key := range a.keys() {
		if !key.IsPart() && a.tracker.completedRecentlyLocked(key) {
			continue
		}
		crash := a.crash
		crash.Key = key
		a.tracker.addCrashLocked(crash)
	}
	a.tracker.addStoppedLocked(a.crash)
}

// isAt reports whether the attempt was at the server that crashed.
func (a *Attempt) isAt(crash *Crash) bool {
	if a.crash.Incarnation == 0 {
		return a.crash.ServerIDHash == crash.ServerIDHash
	}
	return crash.isOf(a.crash.incarnation())
}

// keys returns the keys of the request and of its prompt parts.
func (a *Attempt) keys() []Key {
	return append([]Key{a.crash.Key}, a.parts...)
}
