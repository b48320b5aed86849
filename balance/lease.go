package balance

import (
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
)

// Lease counts a request at a backend server until it is released, which the caller has to do.
type Lease struct {
	Backend slipwick.Backend
	// Version is the version of the backend server's software; empty if the list doesn't say it.
	Version string
	// FetchFrom is the address of another engine that probably has the prompt cached. It is
	// empty if there is none or the chosen engine has it.
	FetchFrom string
	// Wait is how long to delay sending the request at most, because its prompt is being prefilled
	// for another request. If PrefillDone is not nil, the delay ends when it is closed.
	Wait        time.Duration
	PrefillDone <-chan struct{}

	server *server
	// drawn is the server that would get the request if connections didn't matter. Other routers draw
	// alike, but prefer other servers, so that only the draws say what those probably sent.
	drawn *server
	// hasPrompt says that the request has a prompt, tokensToPrefill how many of its
	// tokens the engine had to prefill when it was chosen, sentAt when the request was sent.
	hasPrompt       bool
	tokensToPrefill int
	sentAt          time.Time
	// sentUnix is sentAt by the time of day, in Unix milliseconds.
	sentUnix int64
	// lastActivityAt is when the response began or last continued, longestGap the longest
	// time between two such moments.
	lastActivityAt time.Time
	longestGap     time.Duration
	// isPaused says that the response is not read at the moment because of its caller.
	isPaused bool
	// part and prefill identify the prefill that this request started.
	part    uint64
	prefill *prefill
	// isSlow says that the response began several times later than usual for such a request.
	isSlow bool
	// loadBefore is how many requests of all routers were at the server when it was chosen, as far as
	// known, tokensBefore how many tokens it had yet to prefill for them.
	loadBefore   float64
	tokensBefore int
	// loadReported is how many requests the server reported in its response, including this one.
	loadReported int
	// isCold says that the backend server was cold when it was chosen.
	isCold bool
	// pathLosses is the server's count when the server was chosen.
	pathLosses uint64
	// pendingPrefill is how many tokens the engine has yet to prefill for the request.
	pendingPrefill int
}

// IsStaying reports whether the lease's backend server is listed and not leaving, so that an
// end of its process would be unplanned.
func (b *Balancer) IsStaying(lease *Lease) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := lease.server
	return b.servers[s.ID] == s && !s.isLeaving()
}

// StillAccepts reports whether the lease's backend server may still get the request, when it
// was not sent at once. It may not if meanwhile it is leaving, evacuated, asked for a pause or
// became cold.
func (b *Balancer) StillAccepts(lease *Lease) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, now := lease.server, clock.Now()
	return b.servers[s.ID] == s && s.acceptsNew() && !s.notices.isPaused(now) && (lease.isCold || !b.isColdLocked(s, now))
}
