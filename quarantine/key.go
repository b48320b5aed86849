package quarantine

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a request by its content: the workspace of the caller, the method, the target and
// the body; or a part of prompts, which requests of different content share. Unlike a request ID,
// which changes with each retry of a caller, the key stays the same. It is a hash of 63 bits: with the
// few thousand keys kept at a time, two requests collide in about one of 10^12 fleets.
type Key uint64

// partBit is set in the keys of prompt parts, and clear in those of requests.
const partBit Key = 1 << 63

// KeyOf returns the key of a request.
func KeyOf(workspace, method, target string, body []byte) Key {
	hash := xxhash.New()
	for _, text := range []string{workspace, method, target} {
		// Writes to a digest never fail. The length prefixes keep adjacent fields apart.
		_, _ = hash.WriteString(strconv.Itoa(len(text)) + ":" + text)
	}
	_, _ = hash.Write(body)
	return Key(hash.Sum64()) &^ partBit
}

// PartKey returns the key of a prompt part, given by its hash, in requests for a pool. Whether the part
// crashes servers depends on the model that they run, and so on the pool.
func PartKey(pool string, part uint64) Key {
	hash := xxhash.New()
	// Writes to a digest never fail.
	_, _ = hash.WriteString(pool)
	_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, part))
	return Key(hash.Sum64()) | partBit
}

// IsPart reports whether the key is that of a prompt part.
func (k Key) IsPart() bool {
	return k&partBit != 0
}

// String returns the key in hexadecimal, as logs show it.
func (k Key) String() string {
	const base = 16
	return strconv.FormatUint(uint64(k), base)
}
