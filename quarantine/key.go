package quarantine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Key names a request by what it asks for: the workspace that asks, the method, the
// target and the body. A request ID is new with each try of a caller, and the key is
// the same. It is a hash of 64 bits: among the keys kept at a time, some thousands, two
// requests share one by chance once in some 10^12 fleets.
type Key uint64

// KeyOf gives the key of a request.
func KeyOf(workspace, method, target string, body []byte) Key {
	hash := xxhash.New()
	for _, text := range []string{workspace, method, target} {
		// A digest takes everything. The lengths keep the fields apart.
		_, _ = hash.WriteString(strconv.Itoa(len(text)) + ":" + text)
	}
	_, _ = hash.Write(body)
	return Key(hash.Sum64())
}

// String gives the key as logs and metrics carry it.
func (k Key) String() string {
	const base = 16
	return strconv.FormatUint(uint64(k), base)
}
