package gateway

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// promptKey gives the key of the longest part of a prompt that other requests
// share: the last part is the request's own, unless it is the only one. 0
// stands for no prompt.
func promptKey(prompt string) uint64 {
	if prompt == "" {
		return 0
	}
	parts := strings.Split(prompt, ",")
	shared := parts[max(len(parts)-2, 0)]
	id, _, _ := strings.Cut(strings.TrimSpace(shared), ":")
	return max(xxhash.Sum64String(id), 1)
}
