package slipwick

// Outcome says how a request ended, as far as the router can know.
type Outcome string

// The four outcomes; docs/OUTCOMES.md lists each ending.
const (
	// OutcomeCompleted means the caller has the whole answer.
	OutcomeCompleted Outcome = "completed"
	// OutcomeNotRun means no byte of the request reached a backend server,
	// or the backend server itself said that it did not run it.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeFailed means the backend server ran the request and answered
	// with an error of its own.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnknown means the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// OutcomeHeader is the response header or trailer that carries the Outcome.
const OutcomeHeader = "Slipwick-Outcome"
