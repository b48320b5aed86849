package daemon

import (
	"math"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/slipwick/slipwick"
)

// failureBody is the JSON body of an error response, in the OpenAI format with
// remedy and outcome added.
type failureBody struct {
	Error failureDetail `json:"error"`
}

type failureDetail struct {
	Message string           `json:"message"`
	Type    slipwick.Kind    `json:"type"`
	Code    slipwick.Kind    `json:"code"`
	Remedy  string           `json:"remedy"`
	Outcome slipwick.Outcome `json:"outcome"`
}

// statusClientDisconnected is the non-standard status that nginx and others log for a caller that disconnected.
const statusClientDisconnected = 499

// statuses holds the HTTP status of the error response for each kind of error.
var statuses = map[slipwick.Kind]int{
	slipwick.KindInvalidRequest:     http.StatusBadRequest,
	slipwick.KindKeyUsed:            http.StatusConflict,
	slipwick.KindKeyExpired:         http.StatusConflict,
	slipwick.KindUnavailable:        http.StatusServiceUnavailable,
	slipwick.KindBodyTooLarge:       http.StatusRequestEntityTooLarge,
	slipwick.KindUnauthorized:       http.StatusUnauthorized,
	slipwick.KindUnknownModel:       http.StatusNotFound,
	slipwick.KindUnknownService:     http.StatusNotFound,
	slipwick.KindNotFound:           http.StatusNotFound,
	slipwick.KindWorkspaceLimit:     http.StatusTooManyRequests,
	slipwick.KindOverloaded:         http.StatusServiceUnavailable,
	slipwick.KindQuarantined:        http.StatusServiceUnavailable,
	slipwick.KindNotReady:           http.StatusServiceUnavailable,
	slipwick.KindNoBackend:          http.StatusServiceUnavailable,
	slipwick.KindBackendUnreachable: http.StatusBadGateway,
	slipwick.KindBackendError:       http.StatusBadGateway,
	slipwick.KindStreamBroken:       http.StatusBadGateway,
	slipwick.KindTimeout:            http.StatusGatewayTimeout,
	slipwick.KindInternal:           http.StatusInternalServerError,
	slipwick.KindCancelled:          statusClientDisconnected,
}

// toError returns err as a *slipwick.Error. An error of another type is a fault of
// the router, so the outcome of the request is unknown.
func toError(err error) *slipwick.Error {
	if failure, ok := slipwick.AsError(err); ok {
		return failure
	}
	return &slipwick.Error{
		Kind:    slipwick.KindInternal,
		Message: err.Error(),
		Remedy:  "send the request again if it may be repeated; report the message to the operators of the router",
		Outcome: slipwick.OutcomeUnknown,
	}
}

func failureBodyOf(failure *slipwick.Error) failureBody {
	return failureBody{
		Error: failureDetail{
			Message: failure.Message,
			Type:    failure.Kind,
			Code:    failure.Kind,
			Remedy:  failure.Remedy,
			Outcome: failure.Outcome,
		},
	}
}

// writeFailure sends an error response; nothing of the response may have been sent before.
// X-Should-Retry: false keeps client libraries from retrying on their own, unless the
// request was not run or may be repeated.
func writeFailure(c echo.Context, failure *slipwick.Error, repeatable bool) error {
	header := c.Response().Header()
	header.Set(slipwick.OutcomeHeader, string(failure.Outcome))
	header.Del("Trailer")
	if failure.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(failure.RetryAfter.Seconds()))))
	}
	if failure.Outcome != slipwick.OutcomeNotRun && !repeatable {
		header.Set("X-Should-Retry", "false")
	}
	status, known := statuses[failure.Kind]
	if !known {
		status = http.StatusInternalServerError
	}
	return c.JSON(status, failureBodyOf(failure))
}
