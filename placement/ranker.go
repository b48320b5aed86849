package placement

import (
	"math"
	"slices"

	"github.com/slipwick/slipwick"
)

var _ slipwick.Placement = (*Ranker)(nil)

// bufferedBackends is the number of backend servers up to which Rank holds their scores in a buffer on the
// stack. It allocates for more.
const bufferedBackends = 1024

// Ranker ranks the backend servers of one pool. It is immutable and safe for concurrent use.
type Ranker struct {
	hashes  []uint64
	weights []float64
	// equalWeights is true if all weights are the same; scores then depend on the hash alone.
	equalWeights bool
}

// NewRanker returns a Ranker of the backend servers. The indexes that Rank returns are indexes of
// backends.
func NewRanker(backends []slipwick.Backend) *Ranker {
	ranker := &Ranker{
		hashes:       make([]uint64, len(backends)),
		weights:      make([]float64, len(backends)),
		equalWeights: true,
	}
	for i, b := range backends {
		ranker.hashes[i] = IDHash(b.ID)
		ranker.weights[i] = float64(b.EffectiveWeight())
		ranker.equalWeights = ranker.equalWeights && ranker.weights[i] == ranker.weights[0]
	}
	return ranker
}

// Len returns the number of backend servers that are ranked.
func (r *Ranker) Len() int {
	return len(r.hashes)
}

// backendScore holds the score of a backend server for one chat and the backend server's index.
type backendScore struct {
	score float64
	index int
}

// Rank appends the indexes of all ranked backend servers to dst, the best for the chat first, and
// returns the extended slice. The chat is given by its ChatKey.
func (r *Ranker) Rank(dst []int, chat uint64) []int {
	var buffer [bufferedBackends]backendScore
	ranked := buffer[:0]
	for i := range r.hashes {
		ranked = append(ranked, backendScore{
			score: r.score(chat, i),
			index: i,
		})
	}
	slices.SortFunc(ranked, compareBackendScores)
	for _, r := range ranked {
		dst = append(dst, r.index)
	}
	return dst
}

// score returns the score of a backend server for the chat; the highest score is the best. For a
// weight w it corresponds to the largest of w independent draws, so that first choices are in
// proportion to the weights.
func (r *Ranker) score(chat uint64, index int) float64 {
	// The upper 53 bits of the hash, as many as a float64 holds exactly, give a draw between 0 and 1.
	const mantissa = 1 << 53
	draw := (float64(mixHashes(chat, r.hashes[index])>>11) + 0.5) / mantissa
	if r.equalWeights {
		return draw
	}
	return math.Log(draw) / r.weights[index]
}

// compareBackendScores orders by descending score, and equal scores by ascending index.
func compareBackendScores(a, b backendScore) int {
	if a.score > b.score {
		return -1
	}
	if a.score < b.score {
		return 1
	}
	return a.index - b.index
}
