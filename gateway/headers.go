package gateway

// Headers names the headers that routers read and set. Times are in
// milliseconds.
type Headers struct {
	// RequestID names a caller's attempt; answers repeat it.
	RequestID string
	// Deadline is how long the sender waits.
	Deadline string
	// Prompt lists the parts of the prompt as ID:TOKENS, joined by commas.
	Prompt string
	// Stamp marks an answer as a backend server's own.
	Stamp string
	// Workspace tells the backend server whose request it is.
	Workspace string
	// Instance makes all backend servers but the one named refuse.
	Instance string
	// Load tells the requests running and waiting at the backend server.
	Load string
	// NotRun says that the backend server did not and will not run it.
	NotRun string
	// Leaving is 1 in all answers of a backend server that has begun a planned stop.
	Leaving string
	// Priority ranks a request at an engine, 0 first, 9 last.
	Priority string
	// FetchFrom names the engine to take the cached prompt from.
	FetchFrom string
	// Withheld are further headers that only routers may set.
	Withheld []string
}

// OwnHeaders gives slipwick's own names.
func OwnHeaders() Headers {
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
		Priority:  "Slipwick-Priority",
		FetchFrom: "Slipwick-Fetch-From",
	}
}

// lastEventID is the standard header by which a stream is taken up.
const lastEventID = "Last-Event-Id"

// hopByHop are the headers that concern one connection alone.
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
