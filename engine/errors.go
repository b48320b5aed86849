package engine

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/httpclient"
)

// ErrLeaving is the Cause of the *slipwick.Error for an error response in which the engine
// announces that it accepts no new requests.
var ErrLeaving = errors.New("the engine is stopping and accepts no new requests")

func connectionError(outcome slipwick.Outcome, cause error) error {
	return &slipwick.Error{
		Kind:    slipwick.KindBackendUnreachable,
		Message: "no response from the engine",
		Remedy:  "try again; if the error persists, check the engine",
		Outcome: outcome,
		Cause:   cause,
	}
}

// invalidResponseError returns the error of a response that arrived, but isn't what the path promises.
func invalidResponseError(path string, cause error) error {
	return &slipwick.Error{
		Kind:    slipwick.KindBackendError,
		Message: "the engine's response to " + path + " is not valid JSON for it",
		Remedy:  "check the version of the engine, and what listens at its address",
		Outcome: slipwick.OutcomeFailed,
		Cause:   cause,
	}
}

// unattributedError returns the error of an error response that may belong to an earlier request. It closes the body,
// and with it the connection: the right response may follow.
func unattributedError(response *http.Response) error {
	_ = response.Body.Close()
	return &slipwick.Error{
		Kind:    slipwick.KindBackendError,
		Message: "the engine returned " + response.Status + " without naming the request, on a connection used before",
		Remedy:  "let the engine repeat " + RequestHeader + " in its responses",
		Outcome: slipwick.OutcomeUnknown,
	}
}

// responseError converts an error response of an engine to a *slipwick.Error and closes the body.
func responseError(response *http.Response) error {
	text := httpclient.ErrorBody(response)
	failure := &slipwick.Error{
		Kind:    slipwick.KindBackendError,
		Message: "the engine returned " + response.Status + ": " + text,
		Remedy:  "correct the request, or contact the operators of the engine",
		Outcome: slipwick.OutcomeFailed,
	}
	if response.StatusCode == http.StatusNotFound {
		failure = &slipwick.Error{
			Kind:    slipwick.KindNotFound,
			Message: "the engine does not know this request or path",
			Remedy:  "send the request again if it is safe to repeat",
			Outcome: slipwick.OutcomeUnknown,
		}
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
