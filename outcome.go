package slipwick

// Outcome says how a request ended, as far as the router knows.
type Outcome string

// The four outcomes. docs/OUTCOMES.md lists the ways in which a request can end.
const (
	// OutcomeCompleted means the caller received the complete response.
	OutcomeCompleted Outcome = "completed"
	// OutcomeNotRun means no byte of the request reached a backend server,
	// or the backend server stated that it did not run the request.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeFailed means the backend server ran the request and returned an error.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnknown means the request may or may not have run.
	OutcomeUnknown Outcome = "unknown"
)

// OutcomeHeader is the response header or trailer that carries the Outcome.
const OutcomeHeader = "Slipwick-Outcome"
