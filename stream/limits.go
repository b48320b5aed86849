package stream

import "time"

// Limits bound the waits within one answer.
type Limits struct {
	// FirstToken bounds the wait for the first event.
	FirstToken time.Duration
	// BetweenTokens bounds the wait for each further event.
	BetweenTokens time.Duration
	// Resumes is how often one answer may be resumed.
	Resumes int
}
