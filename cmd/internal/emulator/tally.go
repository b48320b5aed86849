package emulator

import (
	"encoding/json"

	"github.com/slipwick/slipwick"
)

// tally is what one caller saw.
type tally struct {
	completed, notRun, failed, unknown int
	mismatched                         int
	returning, cached                  int
	// once holds the digests of requests that may not be repeated.
	once map[string]bool
}

func (t *tally) count(outcome slipwick.Outcome) {
	switch outcome {
	case slipwick.OutcomeCompleted:
		t.completed++
	case slipwick.OutcomeNotRun:
		t.notRun++
	case slipwick.OutcomeFailed:
		t.failed++
	default:
		t.unknown++
	}
}

// usage is the part of an OpenAI usage record that tells of the cache.
type usage struct {
	Details struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// cache counts whether a returning chat found its prefix.
func (t *tally) cache(encoded json.RawMessage, turn int) {
	var read usage
	if turn < 2 || json.Unmarshal(encoded, &read) != nil {
		return
	}
	t.returning++
	if read.Details.CachedTokens > 0 {
		t.cached++
	}
}
