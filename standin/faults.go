package standin

import "time"

// Faults are the faults of an engine that can be switched on.
type Faults struct {
	// Hang accepts requests and never sends a response.
	Hang bool
	// CutAfter aborts each connection after that many events; 0 aborts none.
	CutAfter int
	// ResponseDelay delays the first event of each response.
	ResponseDelay time.Duration
	// DuplicateEvents sends every event twice.
	DuplicateEvents bool
	// StrayEvent sends an event of another response before the second event of
	// each response.
	StrayEvent bool
	// SkipEvent sends the third event without the second before it, on the
	// connection on which the request came. A caller that resumes gets the second.
	SkipEvent bool
	// Reject responds 503 and says that the request was not run.
	Reject bool
	// Leaving rejects new requests, says in the rejections and in load reports
	// that the engine is leaving, and finishes the requests in progress.
	Leaving bool
	// RetryAfter, if set, is sent as Retry-After with every response to a
	// request, rejections included.
	RetryAfter time.Duration
	// AnnounceLeaving says in all responses that the engine is leaving, while it
	// keeps serving.
	AnnounceLeaving bool
	// CrashOn, if set, makes requests whose body contains the text crash the
	// engine: OnCrash is called, which has to close the engine's server, and the
	// connection is aborted without a response.
	CrashOn string
	OnCrash func()
}
