package slipwick

import (
	"context"
	"time"
)

// PermitSource decides when a request may be sent to a pool.
type PermitSource interface {
	// Acquire blocks until the request has a permit, is refused, or ctx ends. The error is an *Error
	// with OutcomeNotRun; that of a refusal has KindOverloaded and RetryAfter.
	Acquire(ctx context.Context, request *PermitRequest) (Permit, error)
	// Release ends a permit with what the request's result says about the backend server. It has to be
	// called once for each permit with an ID, and for one without an ID if a server rejected the
	// request for lack of capacity. It doesn't block.
	Release(permit Permit, evidence Evidence)
}

// PermitRequest describes a request that needs a permit. It must not be changed after it was passed to
// a source. Its times are those of package clock.
type PermitRequest struct {
	Pool string
	// Workspace is empty for anonymous requests.
	Workspace string
	// Weight is the workspace's share relative to other workspaces; 0 stands for 1.
	Weight uint32
	// MaxInFlight bounds the workspace's requests in flight at the pool, MaxWork the work that it may
	// ask of the pool, in seconds of service time per second; MaxQueued bounds the requests that wait
	// for the pool at one router. 0 sets no bound.
	MaxInFlight int
	MaxWork     float64
	MaxQueued   int
	// Bytes is the memory that the request holds while it waits.
	Bytes int64
	// Priority is the workspace's priority combined with the route's; 0 is the most urgent.
	Priority int
	// Work is the time for which the request is expected to occupy a slot.
	Work    time.Duration
	Arrived time.Time
	// Objective is until when the request has to be sent for its response to begin within the latency
	// objective, by the usual time to the start of such a response; zero without a latency objective.
	Objective time.Time
	Deadline  time.Time
	// Returning says that the caller was refused before and returned after Retry-After.
	Returning bool
	// Key is a hash of the content, by which other routers recognise a caller that returns; 0 without.
	Key uint64
	// Retry says that the request was sent before.
	Retry bool
	// Exclude lists the IDs of backend servers that must not get the request again.
	Exclude []string
	// Repeatable says that the request is sent again if a backend server fails it.
	Repeatable bool
}

// Permit is the right to have one request in flight at a pool. The zero value says that the pool
// needs none.
type Permit struct {
	Pool string
	// Backend is the ID of the backend server to send to; empty if any may be chosen.
	Backend string
	// ID identifies the permit at its source; 0 if there is nothing to release.
	ID uint64
	// Probe says that the backend server has failed requests and this one finds out whether it serves: it
	// may be sent again to another one as soon as the response is overdue.
	Probe bool
	// IgnoreEjection says that the source has recent results of the backend server from all routers, which
	// count more than this router's ejection.
	IgnoreEjection bool
}
