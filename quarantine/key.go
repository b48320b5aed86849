package quarantine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a request by its content: the workspace of the caller, the method, the target and
// the body. Unlike a request ID, which changes with each retry of a caller, the key stays the same.
// It is a 64-bit hash: with the few thousand keys kept at a time, two requests collide in about one
// of 10^12 fleets.
type Key uint64

// KeyOf returns the key of a request.
func KeyOf(workspace, method, target string, body []byte) Key {
	hash := xxhash.New()
	for _, text := range []string{workspace, method, target} {
		// Writes to a digest never fail. The length prefixes keep adjacent fields apart.
		_, _ = hash.WriteString(strconv.Itoa(len(text)) + ":" + text)
	}
	_, _ = hash.Write(body)
	return Key(hash.Sum64())
}

// String returns the key in hexadecimal, as logs show it.
func (k Key) String() string {
	const base = 16
	return strconv.FormatUint(uint64(k), base)
}
