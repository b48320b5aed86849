package gateway

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/quarantine"
)

// promptParts parses the parts of a prompt. It returns the parts that other requests share, which
// are all but the last, and the token count of the last part. A prompt of one part counts as
// shared.
func promptParts(prompt string) (shared []balance.Part, uniqueTokens int) {
	if prompt == "" {
		return nil, 0
	}
	for _, text := range strings.Split(prompt, ",") {
		id, size, _ := strings.Cut(strings.TrimSpace(text), ":")
		// A part whose size cannot be parsed counts as empty.
		tokens, _ := strconv.Atoi(size)
		shared = append(shared, balance.Part{
			Key:    PartKey(id),
			Tokens: max(tokens, 0),
		})
	}
	last := len(shared) - 1
	if last == 0 {
		return shared, 0
	}
	return shared[:last], shared[last].Tokens
}

// partKeys returns the keys under which the quarantine knows the shared parts of a prompt. The only
// part of a prompt is not among them: no other request has it.
func partKeys(pool, prompt string, shared []balance.Part) []quarantine.Key {
	if !strings.Contains(prompt, ",") {
		return nil
	}
	keys := make([]quarantine.Key, 0, len(shared))
	for _, part := range shared {
		keys = append(keys, quarantine.PartKey(pool, part.Key))
	}
	return keys
}

// PartKey returns the key under which the balancer knows the prompt part with this ID.
func PartKey(id string) uint64 {
	return xxhash.Sum64String(id)
}
