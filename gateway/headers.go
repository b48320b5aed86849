package gateway

import (
	"net/http"
	"slices"
	"strings"
)

// Headers holds the names of the headers that routers read and set. Header values that are
// durations are in milliseconds.
type Headers struct {
	// RequestID identifies one request of a caller, whose retries have IDs of their own; the
	// response repeats it.
	RequestID string
	// Deadline is how long the sender waits for the response.
	Deadline string
	// Prompt lists the parts of the prompt as ID:TOKENS, separated by commas.
	Prompt string
	// Stamp marks a response as made by the backend server itself.
	Stamp string
	// Workspace tells the backend server to which workspace the request belongs.
	Workspace string
	// Instance is the ID of the one backend server that may run the request; all others reject it.
	Instance string
	// Load holds the numbers of requests running and waiting at the backend server, then, if it
	// reports them, its slots and its pace, separated by commas. The pace says how long work takes
	// there at this moment: 100 is the usual value, 200 means twice the time.
	Load string
	// NotRun says that the backend server has not run the request and will not.
	NotRun string
	// Leaving is 1 in all responses of a backend server that has begun a planned stop.
	Leaving string
	// Brittle is in all responses of a backend server that falls over if it rejects more than so many requests
	// within a second.
	Brittle string
	// Priority is the priority of a request at an engine, from 0 (first) to 9 (last).
	Priority string
	// Resumes is, in a request that continues a stream, the ID of the caller's request that brought the
	// stream's first event.
	Resumes string
	// FetchFrom is the address of the engine from which to copy the cached prompt.
	FetchFrom string
	// RouterOnly lists further headers that only routers may set, and that are removed from
	// callers' requests.
	RouterOnly []string
}

// DefaultHeaders returns slipwick's own header names.
func DefaultHeaders() Headers {
	return Headers{
		RequestID: "Slipwick-Request",
		Deadline:  "Slipwick-Deadline-Ms",
		Prompt:    "Slipwick-Prompt",
		Stamp:     "Slipwick-Stamp",
		Workspace: "Slipwick-Workspace",
		Instance:  "Slipwick-Instance",
		Load:      "Slipwick-Load",
		NotRun:    "Slipwick-Not-Run",
		Leaving:   "Slipwick-Leaving",
		Brittle:   "Slipwick-Brittle",
		Priority:  "Slipwick-Priority",
		Resumes:   "Slipwick-Resumes",
		FetchFrom: "Slipwick-Fetch-From",
	}
}

// lastEventID is the standard header with which a client resumes a stream of server-sent events.
const lastEventID = "Last-Event-Id"

// hopByHop lists the headers that apply to a single connection and must not be forwarded.
var hopByHop = []string{
	"Connection",
	"Content-Length",
	"Expect",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// copyHeader copies a response header except for the hop-by-hop headers, which include those that
// the header Connection names.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(hopByHop, name) {
			to[name] = values
		}
	}
	for _, names := range from["Connection"] {
		for name := range strings.SplitSeq(names, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	if to.Get("Content-Type") == "" {
		// A nil value keeps net/http from guessing the content type.
		to["Content-Type"] = nil
	}
}
