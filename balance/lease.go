package balance

import (
	"time"

	"github.com/slipwick/slipwick"
)

// Lease is a request's place at a backend server. It has to be released.
type Lease struct {
	Backend slipwick.Backend
	// FetchFrom is the address of another engine that probably has the
	// prompt cached; empty if there is none or the engine itself has it.
	FetchFrom string
	// Wait is how long to wait, or until Read is closed, before the request is
	// sent: the prompt is being read for another. Read may be nil.
	Wait time.Duration
	Read <-chan struct{}

	server *server
	// hasPrompt says that the request has one, toRead how many of its tokens the
	// engine had to read when it was chosen, sentAt when it was sent.
	hasPrompt             bool
	promptTokensToPrefill int
	sentAt                time.Time
	// heardAt is when the answer began or went on last, longestPause the longest
	// time in between.
	lastActivityAt time.Time
	longestPause   time.Duration
	// part and begun are the reading that this request is the first of.
	part    uint64
	prefill *prefill
	// isSlow says that its answer began several times later than such usually do.
	isSlow bool
	// isCold says that the backend server was cold when it was chosen.
	isCold bool
	// pendingPrefill is how many tokens the engine has to read for it yet.
	pendingPrefill int
}

// Load is what a backend server says of itself.
type Load struct {
	Running int
	Waiting int
}
