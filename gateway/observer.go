package gateway

import (
	"net/http"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/quarantine"
	"github.com/slipwick/slipwick/routing"
	"github.com/slipwick/slipwick/upstream"
)

// Observer receives what happens to requests. Its methods must not block.
type Observer interface {
	// Refused is called for each request that was refused at admission, before a backend server was
	// chosen for it.
	Refused(request *http.Request, refusal *Refusal)
	// AttemptFailed is called for each send that did not deliver the response.
	AttemptFailed(attempt *FailedAttempt)
	// StreamContinued is called when events of a send are first forwarded that continue a stream which an
	// earlier send, or an earlier request of the caller, began.
	StreamContinued(stream *ContinuedStream)
	// ResponseRead is called for each response of a backend server that was read to its end.
	ResponseRead(read *ReadResponse)
	// Ended is called once for each other request.
	Ended(summary *RequestSummary)
}

// FailedAttempt describes one attempt, that is, one send of a request to a backend server, that did
// not deliver the response.
type FailedAttempt struct {
	RequestID string
	// Key is the same for requests with the same content.
	Key quarantine.Key
	// PromptParts are the keys of the parts of its prompt that other requests may share.
	PromptParts []quarantine.Key
	Route       string
	Pool        string
	Backend     string
	Address     string
	// Version is the version of the backend server's software.
	Version string
	// Result is how the send ended: not-run, unsent, failed, broken, cut or left, which means that
	// the caller has disconnected. The constants of type result describe each.
	Result string
	// Status is the status of the backend server's response, or 0 without a response.
	Status int
	// Framing is how the response marks the end of its body; empty without a response.
	Framing upstream.Framing
	// Use is the connection that the response came on; zero without a response. IsNamed says that the response
	// names the request.
	Use     upstream.ConnectionUse
	IsNamed bool
	// Notice is what the backend server announced about itself.
	Notice slipwick.Notice
	// Events is the number of stream events that this send delivered.
	Events   int
	Duration time.Duration
	Err      error
}

// ReadResponse describes a response of a backend server that was read to its end.
type ReadResponse struct {
	RequestID string
	Backend   string
	Status    int
	// Framing is how the response marks the end of its body.
	Framing upstream.Framing
	// Events is the number of stream events that this response delivered, RestBytes how many bytes
	// followed its last complete event.
	Events    int
	RestBytes int
	// RequestErr is why the request could not be written whole.
	RequestErr error
}

// RequestSummary describes how an admitted request ended.
type RequestSummary struct {
	RequestID string
	Key       quarantine.Key
	Route     *routing.Route
	Pool      string
	// Workspace is empty for anonymous requests. Priority is that of the request, 0 the most urgent.
	Workspace string
	Priority  int
	// Version is the version of the routing table that was used.
	Version uint64
	// Result is delivered, failed, refused, cut, or left, which means that the caller has
	// disconnected.
	Result string
	// Reason is why the request was refused or not sent again, also if the caller had disconnected
	// or a part of the response had been forwarded by then. It is empty if the last send itself
	// ended the request: the response was delivered or cut, or the caller disconnected.
	Reason string
	// Status is the status of the response to a failed or refused request, and 0 otherwise.
	Status int
	// RetryAfter is what the caller of a refused request was told, 0 if nothing. Waited is how long
	// the request waited for permits.
	RetryAfter time.Duration
	Waited     time.Duration
	// Sends is how often the gateway sent the request or tried to, Unsent how many of these sends reached no
	// backend server, and PossibleRuns after how many of them the request may have run.
	Sends, Unsent, PossibleRuns int
	// Events is how many events of a stream were forwarded.
	Events   int
	Duration time.Duration
}
