package placement

import (
	"math"
	"slices"

	"github.com/slipwick/slipwick"
)

var _ slipwick.Placement = (*Set)(nil)

// maxBackends bounds a set, so that scores fit a stack buffer.
const maxBackends = 1024

// Set ranks the backend servers of one pool. It is safe for concurrent use;
// its fields are not to be changed after NewSet.
type Set struct {
	hashes  []uint64
	weights []float64
	// equal says that all weights are the same, so that the hash alone ranks.
	equal bool
}

// NewSet prepares a set of the backend servers; indexes of Rank are indexes
// of backends. Backend servers beyond the first 1024 are not ranked.
func NewSet(backends []slipwick.Backend) *Set {
	if len(backends) > maxBackends {
		backends = backends[:maxBackends]
	}
	set := &Set{
		hashes:  make([]uint64, len(backends)),
		weights: make([]float64, len(backends)),
		equal:   true,
	}
	for i, b := range backends {
		set.hashes[i] = IDHash(b.ID)
		set.weights[i] = float64(b.EffectiveWeight())
		set.equal = set.equal && set.weights[i] == set.weights[0]
	}
	return set
}

// Len is the number of backend servers.
func (s *Set) Len() int {
	return len(s.hashes)
}

// scored is one backend server's score for a key.
type scored struct {
	score float64
	index int
}

// Rank appends all indexes to dst, best first.
func (s *Set) Rank(dst []int, chat uint64) []int {
	var buffer [maxBackends]scored
	ranked := buffer[:0]
	for i := range s.hashes {
		ranked = append(ranked, scored{
			score: s.score(chat, i),
			index: i,
		})
	}
	slices.SortFunc(ranked, compare)
	for _, r := range ranked {
		dst = append(dst, r.index)
	}
	return dst
}

// score is higher for better; with weight w it is the largest of w draws.
func (s *Set) score(chat uint64, index int) float64 {
	const mantissa = 1 << 53
	draw := (float64(pair(chat, s.hashes[index])>>11) + 0.5) / mantissa
	if s.equal {
		return draw
	}
	return math.Log(draw) / s.weights[index]
}

func compare(a, b scored) int {
	if a.score > b.score {
		return -1
	}
	if a.score < b.score {
		return 1
	}
	return a.index - b.index
}
