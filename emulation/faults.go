package emulation

import "time"

// Faults describes the faults that a Network injects into its messages.
type Faults struct {
	// LossRate, DuplicateRate and ReorderRate are the shares of affected
	// envelopes, 0 to 1. LossRate applies to packets too.
	LossRate, DuplicateRate, ReorderRate float64
	// LoadDelay and LoadLossRate apply only to envelopes that carry nothing but
	// load reports and totals.
	LoadDelay    time.Duration
	LoadLossRate float64
	// Cut reports whether messages from one router to another are dropped; nil
	// drops none.
	Cut func(from, to string) bool
}
