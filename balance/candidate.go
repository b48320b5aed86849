package balance

import (
	"slices"

	"github.com/slipwick/slipwick/placement"
)

// candidate is an engine that has the prompt of a request cached.
type candidate struct {
	server *server
	// isLocal says that the engine is in the router's data centre. Among several that have the
	// prompt cached, a local one saves traffic between data centres.
	isLocal bool
	score   uint64
}

func (c *candidate) isBetterThan(other *candidate) bool {
	if other.server == nil || c.isLocal != other.isLocal {
		return other.server == nil || c.isLocal
	}
	return c.score > other.score
}

// bestHolderLocked returns the best of the engines below the load bound that are known to have the prompt cached,
// or nil, and by how much the loads of those above the promised bound exceed the one to which routers keep. usable has
// the engines that may get the request, loads their loads.
func (b *Balancer) bestHolderLocked(
	prompt uint64, usable []*server, loads []float64, bound, promised float64,
) (holder *server, overshoot float64) {
	holders, _ := b.cacheIndex.holdersByPart.Peek(prompt)
	best := candidate{}
	for _, hash := range holders {
		s := b.serversByHash[hash]
		index := slices.Index(usable, s)
		if index < 0 {
			continue
		}
		if loads[index] >= bound {
			if loads[index] > promised {
				overshoot += loads[index] - bound
			}
			continue
		}
		c := candidate{
			server:  s,
			isLocal: s.DataCentre == b.DataCentre,
			score:   placement.Score(prompt, hash),
		}
		if c.isBetterThan(&best) {
			best = c
		}
	}
	return best.server, overshoot
}
