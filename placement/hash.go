package placement

import "github.com/cespare/xxhash/v2"

// separator keeps ("ab","c") and ("a","bc") apart.
var separator = []byte{0}

// ChatKey hashes a workspace's chat.
func ChatKey(workspace, chat string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(workspace)
	_, _ = digest.Write(separator)
	_, _ = digest.WriteString(chat)
	return digest.Sum64()
}

// IDHash hashes the ID of a box.
func IDHash(id string) uint64 {
	return xxhash.Sum64String(id)
}

// pair mixes two hashes into one, with the 64-bit finaliser of MurmurHash3
// over both: rendezvous scores of one key need independent bits per box.
func pair(key, box uint64) uint64 {
	return finalise(finalise(key) ^ (box * goldenRatio))
}

// goldenRatio is 2^64 divided by the golden ratio, made odd.
const goldenRatio = 0x9e3779b97f4a7c15

func finalise(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}

// Score is the rendezvous score of a box, by its IDHash, for a key: of several
// boxes the one with the highest score is the choice.
func Score(key, box uint64) uint64 {
	return pair(key, box)
}
