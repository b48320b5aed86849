package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

func littleEndian(value uint64) []byte {
	return binary.LittleEndian.AppendUint64(nil, value)
}

func boolByte(value bool) byte {
	if value {
		return 1
	}
	return 0
}

// IDSeed returns a seed for a router's random choices, derived from its ID so that routers choose
// differently.
func IDSeed(id string) uint64 {
	return xxhash.Sum64String(id)
}
