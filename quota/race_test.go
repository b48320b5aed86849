//go:build race

package quota

// The race detector slows the decisions of a fleet down ten times, and finds nothing in them, since the
// harness runs them one after the other. The fleets of 84 and 330, and those with all slots, run without it.
func init() { fleetSizes, testSlots = []int{8}, 480 }
