package placement

import "github.com/cespare/xxhash/v2"

// separator keeps the keys of ("ab", "c") and ("a", "bc") different.
var separator = []byte{0}

// ChatKey returns the hash of a chat's ID together with the workspace that the chat belongs to.
func ChatKey(workspace, chat string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(workspace)
	_, _ = digest.Write(separator)
	_, _ = digest.WriteString(chat)
	return digest.Sum64()
}

// IDHash returns the hash of the ID of a backend server or router.
func IDHash(id string) uint64 {
	return xxhash.Sum64String(id)
}

// mixHashes combines a key's hash with that of a box: a backend server or a router. It applies the
// 64-bit finaliser of MurmurHash3 to the key and again to the combination, because the rendezvous
// scores of one key must have independent bits for each box. The two hashes are not interchangeable:
// swapping them gives another result.
func mixHashes(key, boxHash uint64) uint64 {
	return fmix64(fmix64(key) ^ (boxHash * goldenRatio))
}

// goldenRatio is 2^64 divided by the golden ratio, rounded to an odd number. Multiplying by it spreads
// the bits of a box's hash.
const goldenRatio = 0x9e3779b97f4a7c15

// fmix64 is the 64-bit finaliser of MurmurHash3.
func fmix64(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}

// Score returns the rendezvous score, for a key, of the box whose ID has the hash boxHash. The box
// with the highest score is the rendezvous choice for the key.
func Score(key, boxHash uint64) uint64 {
	return mixHashes(key, boxHash)
}
