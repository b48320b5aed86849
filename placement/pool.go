package placement

import "github.com/slipwick/slipwick"

// Pool is one pool's backend servers that may get new work, ranked by Set. It
// is not changed once made.
type Pool struct {
	Name string
	// MaxLoadFactor bounds an engine's load as a multiple of the mean.
	MaxLoadFactor float64
	Backends      []slipwick.Backend
	Set           *Set
	// Owners holds each backend server's owner, as an index of
	// View.Routers; -1 when there are no routers.
	Owners []int
}

// Weight is the sum of the backend servers' weights.
func (p *Pool) Weight() float64 {
	sum := 0.0
	for i := range p.Backends {
		sum += float64(p.Backends[i].EffectiveWeight())
	}
	return sum
}
