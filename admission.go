package slipwick

import "context"

// AcquireRequest describes a request that needs a slot at one of a pool's backend servers.
type AcquireRequest struct {
	Pool      string
	Workspace string
	// Chat is the hash of workspace and chat that placement.ChatKey returns.
	Chat uint64
	// Priority is that of the workspace; requests with higher values get slots first.
	Priority int
	// Exclude lists backend servers that have already failed this request.
	Exclude []string
}

// Grant is one acquired slot at a backend server. The holder must pass it to Admission.Release.
type Grant struct {
	// ID is unique within the router that acquired the slot.
	ID      uint64
	Backend Backend
}

// Admission decides which backend server serves a request and when.
type Admission interface {
	// Acquire returns a slot, which it may wait for. It fails if the request is refused or ctx
	// ends. Errors are *Error with OutcomeNotRun.
	Acquire(ctx context.Context, request AcquireRequest) (Grant, error)
	// Release returns the slot and records what the request showed of the backend server's health.
	Release(grant Grant, evidence Evidence)
}
