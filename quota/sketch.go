package quota

import (
	"math"
	"math/bits"
)

// sketchBits is the size of a sketch of workspaces. Sketches of several routers are combined by a
// bitwise or, which counts a workspace once that several routers have.
const sketchBits = 32

// sketch returns the sketch of the entry's workspaces.
func (e *Entry) sketch() uint32 {
	if e.Workspace == RestOfWorkspaces {
		return e.Weight
	}
	return 1 << (e.Workspace % sketchBits)
}

// totalWeight returns the weight of the entry's workspaces. For several of them it is their estimated
// number (linear counting), as if each had a weight of 1.
func (e *Entry) totalWeight() float64 {
	if e.Workspace != RestOfWorkspaces {
		return float64(max(e.Weight, 1))
	}
	free := max(float64(sketchBits-bits.OnesCount32(e.Weight)), 0.5)
	return max(-sketchBits*math.Log(free/sketchBits), 1)
}
