package slipwick

import "context"

// Ask is a request for a slot at one of a pool's backend servers.
type Ask struct {
	Pool      string
	Workspace string
	// Chat is the key of workspace and chat, from placement.ChatKey.
	Chat     uint64
	Priority int
	// Avoid lists backend servers that this request has tried in vain.
	Avoid []string
}

// Grant is one slot at a backend server. It has to be released.
type Grant struct {
	// ID is unique for the router that asked.
	ID      uint64
	Backend Backend
}

// Admission decides which backend server serves a request and when.
type Admission interface {
	// Acquire waits for a slot until ctx ends. Errors are *Error with
	// OutcomeNotRun.
	Acquire(ctx context.Context, ask Ask) (Grant, error)
	// Release gives the slot back and tells how the request went.
	Release(grant Grant, evidence Evidence)
}
