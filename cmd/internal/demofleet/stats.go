package demofleet

import (
	"encoding/json"

	"github.com/slipwick/slipwick"
)

// callerStats counts what one caller saw.
type callerStats struct {
	completed, notRun, failed, unknown int
	mismatched                         int
	// returning counts the responses after a chat's first turn, and cached those of
	// them whose prefix was cached.
	returning, cached int
	// notRepeatable holds the digests of the requests that must not be repeated.
	notRepeatable map[string]bool
}

func (s *callerStats) countOutcome(outcome slipwick.Outcome) {
	switch outcome {
	case slipwick.OutcomeCompleted:
		s.completed++
	case slipwick.OutcomeNotRun:
		s.notRun++
	case slipwick.OutcomeFailed:
		s.failed++
	default:
		s.unknown++
	}
}

// usage is the part of an OpenAI usage record that describes the cache.
type usage struct {
	Details struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// countReturn counts the response to a returning chat, and whether the chat's
// prefix was cached, by the usage record of the response.
func (s *callerStats) countReturn(encoded json.RawMessage, turn int) {
	var u usage
	if turn < 2 || json.Unmarshal(encoded, &u) != nil {
		return
	}
	s.returning++
	if u.Details.CachedTokens > 0 {
		s.cached++
	}
}
