package quota

import "math"

const (
	// weightUnits is the weight in the local queue of a workspace whose part is one slot.
	weightUnits = 100
	// defaultPart is the part in slots that a workspace has in the local queue while the fleet's sums
	// don't show its requests here, for a weight of 1.
	defaultPart = 1
)

// setLocalWeights sets the weights by which the local queue divides this router's slots: the parts that
// the allocation gives to the requests of each workspace here. A workspace that uses few routers thus
// gets as much as one that uses all.
func (p *pool) setLocalWeights() {
	weights := make(map[*claim]float64)
	for _, r := range p.records {
		if r.claim != nil {
			weights[r.claim] += float64(r.weight)
		}
	}
	for _, r := range p.records {
		part := defaultPart * float64(r.weight)
		if r.claim != nil && r.claim.ownDemand() > 0 {
			part = r.claim.part() * float64(r.weight) / weights[r.claim]
		}
		r.localWeight = uint32(max(math.Round(part*weightUnits), 1))
	}
}
