package stream

import "time"

// Limits are the timeouts and the maximum number of resumes of one response.
type Limits struct {
	// FirstToken is the timeout for the start of the response and for its first event.
	FirstToken time.Duration
	// BetweenTokens is the timeout for each further event and for the start of a resumed response.
	BetweenTokens time.Duration
	// Resumes is the maximum number of times that one response is resumed.
	Resumes int
}
