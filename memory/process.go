package memory

import "runtime/debug"

const (
	// heldMemoryShare is the part of the memory of a process that it holds at most for callers and backend servers. Twice
	// that, for garbage between collections, fits beside the process' own state in the runtime's limit, memoryLimitShare.
	heldMemoryShare  = 0.25
	memoryLimitShare = 0.7
)

// NewAccount returns the account of a process that may use so many bytes of memory; 0 sets no limit.
func NewAccount(processBytes int64) *Account {
	return &Account{
		Limit: int64(heldMemoryShare * float64(processBytes)),
	}
}

// LimitRuntime sets the soft limit of the Go runtime for a process that may use so many bytes of memory; 0 sets none.
func LimitRuntime(processBytes int64) {
	if processBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(processBytes)))
	}
}
