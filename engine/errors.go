package engine

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/httpclient"
)

// ErrLeaving is the cause of an *Error from an engine that takes no new work.
var ErrLeaving = errors.New("the engine is leaving")

func unreachable(cause error) error {
	return &slipwick.Error{
		Kind:    slipwick.KindBackendUnreachable,
		Message: "no answer from the engine",
		Remedy:  "try again; if it persists, check the engine",
		Outcome: httpclient.OutcomeOf(cause),
		Cause:   cause,
	}
}

// answered turns an engine's error answer into an *Error.
func answered(response *http.Response) error {
	text := httpclient.ErrorBody(response)
	if response.StatusCode == http.StatusNotFound {
		return &slipwick.Error{
			Kind:    slipwick.KindNotFound,
			Message: "the engine does not know this request or path",
			Remedy:  "send the request again if it may be repeated",
			Outcome: slipwick.OutcomeUnknown,
		}
	}
	failure := &slipwick.Error{
		Kind:    slipwick.KindBackendError,
		Message: "the engine answered " + response.Status + ": " + text,
		Remedy:  "correct the request, or ask the engine's operators",
		Outcome: slipwick.OutcomeFailed,
	}
	if response.Header.Get(NotRunHeader) == "true" {
		failure.Outcome = slipwick.OutcomeNotRun
		failure.Remedy = "try again"
	}
	if response.Header.Get(LeavingHeader) == "true" {
		failure.Cause = ErrLeaving
	}
	return failure
}
