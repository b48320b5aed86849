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

// IDSeed gives a seed for a router's random choices that differs from that of
// other routers.
func IDSeed(id string) uint64 {
	return xxhash.Sum64String(id)
}
