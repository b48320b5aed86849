package quota

// dither returns a number in [0, 1) that is added to a limit before it is rounded down. It differs
// between routers, claims and rounds, so that the rounded limits of all routers add up to about the sum
// of the limits, and fractions of a slot take turns.
func dither(self uint32, id uint32, round uint64) float64 {
	// These are the constants of SplitMix64.
	x := uint64(self)<<32 | uint64(id)
	x += round * 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	return float64(x>>11) / (1 << 53)
}
