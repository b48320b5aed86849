package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Refusal is an error response that the router makes itself.
type Refusal struct {
	Status int
	// Reason is a short, stable identifier, which appears in logs and metrics.
	Reason  string
	Message string
	// RetryAfter is the value of the header Retry-After; the header is left out if it is negative.
	RetryAfter time.Duration
}

// reasonQuarantined is the reason for which a quarantined request is refused or not sent again.
const reasonQuarantined = "quarantined"

// reasonNoPath is the reason for which a request is not sent again while neither this router nor another one
// that could help it reaches any backend server.
const reasonNoPath = "no-path"

// Values of Refusal.RetryAfter.
const (
	// retryElsewhere is for requests that another router can serve now.
	retryElsewhere = 20 * time.Millisecond
	// retrySoon is for conditions that change within a moment.
	retrySoon = 150 * time.Millisecond
	// noRetry leaves out the header Retry-After.
	noRetry = time.Duration(-1)
)

func refuseStopping() *Refusal {
	return &Refusal{
		Status:     http.StatusServiceUnavailable,
		Reason:     reasonStopping,
		Message:    "this router is stopping; the request was not run, send it to another router",
		RetryAfter: retryElsewhere,
	}
}

func refuseNotReady() *Refusal {
	return &Refusal{
		Status:     http.StatusServiceUnavailable,
		Reason:     "not-ready",
		Message:    "this router is starting and is not ready yet; the request was not run, send it again",
		RetryAfter: retryElsewhere,
	}
}

func refuseNoRoute(version uint64) *Refusal {
	return &Refusal{
		Status:     http.StatusNotFound,
		Reason:     "no-route",
		Message:    fmt.Sprintf("no route for this host and path in version %d of the configuration", version),
		RetryAfter: noRetry,
	}
}

func refuseNoKey(version uint64) *Refusal {
	return &Refusal{
		Status:     http.StatusUnauthorized,
		Reason:     "no-key",
		Message:    fmt.Sprintf("version %d of the configuration asks for the key of a workspace", version),
		RetryAfter: noRetry,
	}
}

func refuseUnknownKey(version uint64) *Refusal {
	return &Refusal{
		Status:     http.StatusUnauthorized,
		Reason:     "unknown-key",
		Message:    fmt.Sprintf("no workspace has this key in version %d of the configuration", version),
		RetryAfter: noRetry,
	}
}

func refuseHeader(limit int64) *Refusal {
	return &Refusal{
		Status:     http.StatusRequestHeaderFieldsTooLarge,
		Reason:     "header-too-large",
		Message:    fmt.Sprintf("the request header is larger than %d bytes", limit),
		RetryAfter: noRetry,
	}
}

func refuseBody(limit int64) *Refusal {
	return &Refusal{
		Status:     http.StatusRequestEntityTooLarge,
		Reason:     "body-too-large",
		Message:    fmt.Sprintf("the request body is larger than %d bytes", limit),
		RetryAfter: noRetry,
	}
}

func refuseMemory() *Refusal {
	return &Refusal{
		Status:     http.StatusServiceUnavailable,
		Reason:     "memory",
		Message:    "this router has no memory for the request; it was not run, send it again",
		RetryAfter: retrySoon,
	}
}

func refuseBodyForMemory() *Refusal {
	return &Refusal{
		Status:     http.StatusRequestEntityTooLarge,
		Reason:     "body-too-large",
		Message:    "the request body is larger than the memory that this router has for bodies; send a smaller one",
		RetryAfter: noRetry,
	}
}

func refuseUnreadBody(err error, limit int64) *Refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refuseBody(limit)
	}
	return &Refusal{
		Status:     http.StatusRequestTimeout,
		Reason:     "body-unread",
		Message:    "the request body is incomplete; the request was not run, send it again",
		RetryAfter: noRetry,
	}
}

func refuseNotRun(reason string, after time.Duration) *Refusal {
	return &Refusal{
		Status:     http.StatusServiceUnavailable,
		Reason:     reason,
		Message:    "no backend server could take the request; it was not run, send it again",
		RetryAfter: after,
	}
}

func refuseOverloaded(after time.Duration) *Refusal {
	return &Refusal{
		Status:     http.StatusServiceUnavailable,
		Reason:     ReasonOverloaded,
		Message:    "the backend servers are busy with other requests; the request was not run, send it after Retry-After",
		RetryAfter: after.Round(time.Millisecond),
	}
}

func refuseQuarantined(after time.Duration) *Refusal {
	return &Refusal{
		Status: http.StatusServiceUnavailable,
		Reason: reasonQuarantined,
		Message: "several backend servers crashed while running this request, or others that share a part of its" +
			" prompt; it was not run, check its content",
		RetryAfter: after,
	}
}

// reasonStreamUnknown, reasonStreamUnanswered and reasonVersionGone are the reasons for which a stream is not
// taken up: nobody knows where it began, not all who may know have answered, or no server of the version is left.
const (
	reasonStreamUnknown    = "stream-unknown"
	reasonStreamUnanswered = "stream-unanswered"
	reasonVersionGone      = "version-gone"
)

// A caller that is told no time to come back has to begin its stream anew.

func refuseUnknownStream() *Refusal {
	return &Refusal{
		Status: http.StatusServiceUnavailable,
		Reason: reasonStreamUnknown,
		Message: "no router knows which version of the backend servers began this stream; the request was not run," +
			" begin the stream anew",
		RetryAfter: noRetry,
	}
}

func refuseUnansweredStream() *Refusal {
	return &Refusal{
		Status: http.StatusServiceUnavailable,
		Reason: reasonStreamUnanswered,
		Message: "this router could not find out which version of the backend servers began this stream; the request" +
			" was not run, send it to another router",
		RetryAfter: retryElsewhere,
	}
}

func refuseGoneVersion() *Refusal {
	return &Refusal{
		Status: http.StatusServiceUnavailable,
		Reason: reasonVersionGone,
		Message: "no backend server is left of the version that began this stream; the request was not run, begin the" +
			" stream anew",
		RetryAfter: noRetry,
	}
}

func refuseUnknownOutcome(reason string) *Refusal {
	return &Refusal{
		Status:     http.StatusBadGateway,
		Reason:     reason,
		Message:    "no complete response from a backend server; the request may have run",
		RetryAfter: noRetry,
	}
}

func refuseTimeout() *Refusal {
	return &Refusal{
		Status:     http.StatusGatewayTimeout,
		Reason:     "timeout",
		Message:    "no response within the time limit; the request may have run",
		RetryAfter: noRetry,
	}
}

func (r *Refusal) write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if r.RetryAfter >= 0 {
		header.Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', -1, 64))
	}
	body := r.Message + "\n"
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.Status)
	// A write error means that the caller has disconnected.
	_, _ = w.Write([]byte(body))
}
