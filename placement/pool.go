package placement

import "github.com/slipwick/slipwick"

// Pool is a pool of backend servers as one View sees it. NewView completes it; it must not be
// modified afterwards.
type Pool struct {
	Name string
	// MaxLoadFactor limits the load of each backend server to this multiple of the pool's mean
	// load.
	MaxLoadFactor float64
	Backends      []slipwick.Backend
	// Usable holds the indexes in Backends of the backend servers that may get new requests.
	Usable []int
	// Owners holds, for each backend server, the index in View.Routers of the router that owns it,
	// or -1 if there are no routers.
	Owners []int

	// ranker ranks the usable backend servers; its indexes are indexes of Usable.
	ranker *Ranker
	// weight is the sum of the usable backend servers' weights.
	weight float64
}

// Rank appends the indexes in Backends of the usable backend servers to dst, the best for the chat
// first, and returns the extended slice. The chat is given by its ChatKey.
func (p *Pool) Rank(dst []int, chat uint64) []int {
	from := len(dst)
	dst = p.ranker.Rank(dst, chat)
	for i := from; i < len(dst); i++ {
		dst[i] = p.Usable[dst[i]]
	}
	return dst
}

// Weight returns the sum of the weights of the usable backend servers.
func (p *Pool) Weight() float64 {
	return p.weight
}

// prepareRanking sets up the fields that Rank and Weight use.
func (p *Pool) prepareRanking() {
	usable := make([]slipwick.Backend, 0, len(p.Usable))
	p.weight = 0
	for _, index := range p.Usable {
		usable = append(usable, p.Backends[index])
		p.weight += float64(p.Backends[index].EffectiveWeight())
	}
	p.ranker = NewRanker(usable)
}
