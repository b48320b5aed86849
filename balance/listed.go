package balance

import "github.com/slipwick/slipwick"

// Listed is a backend server as the list of backend servers has it.
type Listed struct {
	slipwick.Backend
	Pool string
	// Leaving says that it gets nothing new.
	Leaving bool
}
