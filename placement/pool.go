package placement

import "github.com/slipwick/slipwick"

// Pool is one pool as a view has it. It is not changed once made.
type Pool struct {
	Name string
	// MaxLoadFactor bounds an engine's load as a multiple of the mean.
	MaxLoadFactor float64
	Backends      []slipwick.Backend
	// Usable holds the indexes of the backend servers that may get new work.
	Usable []int
	// Owners holds each backend server's owner, as an index of
	// View.Routers; -1 when there are no routers.
	Owners []int

	set    *Set
	weight float64
}

// Rank appends the indexes of the usable backend servers to dst, best first
// for the chat.
func (p *Pool) Rank(dst []int, chat uint64) []int {
	from := len(dst)
	dst = p.set.Rank(dst, chat)
	for i := from; i < len(dst); i++ {
		dst[i] = p.Usable[dst[i]]
	}
	return dst
}

// Weight is the sum of the usable backend servers' weights.
func (p *Pool) Weight() float64 {
	return p.weight
}

// prepare works out what ranking needs.
func (p *Pool) prepare() {
	usable := make([]slipwick.Backend, 0, len(p.Usable))
	p.weight = 0
	for _, index := range p.Usable {
		usable = append(usable, p.Backends[index])
		p.weight += float64(p.Backends[index].EffectiveWeight())
	}
	p.set = NewSet(usable)
}
