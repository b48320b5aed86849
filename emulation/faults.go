package emulation

import "time"

// Faults are what the links of a Network do to messages.
type Faults struct {
	// Lose, Double and Reorder are the shares of envelopes affected.
	Lose, Double, Reorder float64
	// LoadDelay and LoadLose affect envelopes that carry load reports alone.
	LoadDelay time.Duration
	LoadLose  float64
	// Cut tells whether nothing passes between two routers.
	Cut func(from, to string) bool
}
