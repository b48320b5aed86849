package dispatch

import (
	"context"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/engine"
	"github.com/slipwick/slipwick/quarantine"
	"github.com/slipwick/slipwick/stream"
)

// maxAttempts limits the number of backend servers that are reached for one request, maxUnreached the number
// of those that are not: each costs the caller one round trip, and the servers nothing.
const (
	maxAttempts  = 3
	maxUnreached = 6
)

// Dispatcher sends requests to backend servers. Set the exported fields before the first call; the
// methods are safe for concurrent use.
type Dispatcher struct {
	// Admission grants the slots.
	Admission slipwick.Admission
	// Engine returns the client of an inference engine.
	Engine func(slipwick.Backend) slipwick.Engine
	// Service returns the client of a plain service: a backend server that is not an inference engine.
	Service func(backend slipwick.Backend, repeatable bool) slipwick.Service
	// MaxSlotWait limits how long an attempt waits for a slot.
	MaxSlotWait time.Duration
	// Limits holds the timeouts of a streamed response and the number of times it may be resumed.
	Limits stream.Limits
	// Quarantine records the requests during which backend servers crashed and refuses those that
	// crashed several; nil turns this off.
	Quarantine *quarantine.Tracker
	// Withhold returns an error with OutcomeNotRun if a request that no backend server has got yet must not be sent,
	// as the router is stopping; nil withholds none. It is asked after the wait for a slot.
	Withhold func() error
	// HasCrashed reports whether a backend server whose connection was lost has crashed.
	HasCrashed func(context.Context, slipwick.Backend) bool

	budgets PoolBudgets
}

// ErrStopped is the cause of contexts that end because the router stops before their requests have a response.
var ErrStopped = errors.New("the router stopped")

// attemptFunc runs a request once at a backend server. delivered reports whether the caller has
// received a part of the response; then the request is not retried.
type attemptFunc func(ctx context.Context, backend slipwick.Backend) (delivered bool, err error)

// Chat runs a chat turn and passes each event of the response to sink, including the end marker. A
// nil error means that the turn completed; any other error is a *slipwick.Error with the Outcome.
// It blocks until the response is complete or has failed.
func (d *Dispatcher) Chat(
	ctx context.Context, call Call, request slipwick.ChatRequest, sink func(slipwick.StreamEvent) error,
) error {
	request.RunsOnce = !call.Repeatable
	return d.runWithRetries(ctx, call, func(ctx context.Context, backend slipwick.Backend) (bool, error) {
		response := &stream.Response{
			Engine:  d.Engine(backend),
			Request: request,
			Limits:  d.Limits,
		}
		if err := response.Start(ctx); err != nil {
			return false, err
		}
		defer response.Close()
		return forwardEvents(ctx, response, sink)
	})
}

// forwardEvents passes the events of the response to sink until the response ends. It returns
// whether the caller may have received a part of it.
func forwardEvents(
	ctx context.Context, response *stream.Response, sink func(slipwick.StreamEvent) error,
) (bool, error) {
	for {
		event, err := response.Next(ctx)
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			return response.HasStarted(), err
		}
		if err := sink(event); err != nil {
			return true, sinkError(err)
		}
	}
}

// sinkError returns the error of a response that could not be passed on: the sink's own, or else that of a caller who
// disconnected.
func sinkError(err error) error {
	if _, ok := slipwick.AsError(err); ok {
		return err
	}
	return cancelledError(err)
}

// CallService sends a request to a plain service and returns the response. Errors are the same as
// those of Chat. It blocks until the service has responded or the request has failed.
func (d *Dispatcher) CallService(
	ctx context.Context, call Call, request slipwick.ServiceRequest,
) (slipwick.ServiceResponse, error) {
	var response slipwick.ServiceResponse
	err := d.runWithRetries(ctx, call, func(ctx context.Context, backend slipwick.Backend) (bool, error) {
		var err error
		response, err = d.Service(backend, call.Repeatable).Call(ctx, request)
		return false, err
	})
	return response, err
}

// runWithRetries makes attempts until one succeeds or the request may not be retried.
func (d *Dispatcher) runWithRetries(ctx context.Context, call Call, attempt attemptFunc) error {
	budget := d.budgets.ForPool(call.Pools[0])
	budget.CountRequest()
	request := call.Request
	// Appending must not write into the caller's slice.
	request.Exclude = slices.Clip(request.Exclude)
	isTrial, err := d.checkQuarantine(call.QuarantineKey)
	if err != nil {
		return err
	}
	// ambiguousErr is the error of the latest attempt that may have run the request.
	var ambiguousErr error
	for reached, unreached := 0, 0; ; {
		grant, err := d.acquireToSend(ctx, call.Pools, request, ambiguousErr != nil)
		if err != nil {
			return finalError(ambiguousErr, err)
		}
		backend, retryable, err := d.runAttempt(ctx, call, grant, isTrial, attempt)
		if err == nil {
			return nil
		}
		if isUnreached(err) {
			unreached++
		} else {
			reached++
		}
		retryable = retryable && reached < maxAttempts && unreached < maxUnreached
		if !retryable || d.isQuarantined(call.QuarantineKey) || !budget.Take() {
			return finalError(ambiguousErr, err)
		}
		request.Exclude = append(request.Exclude, backend)
		if !isNotRun(err) {
			ambiguousErr = err
		}
	}
}

// acquireToSend acquires a slot, unless the request is withheld after the wait. One that may have run is not.
func (d *Dispatcher) acquireToSend(
	ctx context.Context, pools []string, request slipwick.AcquireRequest, mayHaveRun bool,
) (slipwick.Grant, error) {
	grant, err := d.acquire(ctx, pools, request)
	switch {
	case err != nil && errors.Is(context.Cause(ctx), ErrStopped):
		return grant, stoppedError(err)
	case err != nil || mayHaveRun || d.Withhold == nil:
		return grant, err
	}
	if err := d.Withhold(); err != nil {
		d.Admission.Release(grant, slipwick.EvidenceNone)
		return slipwick.Grant{}, err
	}
	return grant, nil
}

// runAttempt makes one attempt with a slot. It returns the ID of the backend server and, if the attempt failed,
// whether the request may be retried at another one.
func (d *Dispatcher) runAttempt(
	ctx context.Context, call Call, grant slipwick.Grant, isTrial bool, attempt attemptFunc,
) (backend string, retryable bool, err error) {
	recorded, err := d.recordAttempt(call.QuarantineKey, grant, isTrial)
	if err != nil {
		return "", false, err
	}
	delivered, err := attempt(ctx, grant.Backend)
	d.recordOutcome(ctx, recorded, grant.Backend, delivered, err)
	switch {
	case err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded):
		d.Admission.Release(grant, slipwick.EvidenceTimeout)
		return "", false, interruptedError(slipwick.KindTimeout, "the backend server did not respond in time", err)
	case err != nil && errors.Is(context.Cause(ctx), ErrStopped):
		d.Admission.Release(grant, slipwick.EvidenceNone)
		return "", false, interruptedError(
			slipwick.KindTimeout, "the router stopped before the backend server had responded", err)
	case err != nil && ctx.Err() != nil:
		d.Admission.Release(grant, slipwick.EvidenceNone)
		return "", false, cancelledError(err)
	}
	d.Admission.Release(grant, evidenceOf(err))
	return grant.Backend.ID, !delivered && isRetryable(err, call.Repeatable), err
}

// finalError returns the error to report for a request whose last attempt failed with err or was
// refused before it was sent. If that attempt did not run the request but an earlier one may have,
// the earlier error is reported, so that the outcome is not given as not run.
func finalError(ambiguousErr, err error) error {
	if ambiguousErr != nil && isNotRun(err) {
		return withOutcome(ambiguousErr)
	}
	return withOutcome(err)
}

// isNotRun reports whether err states that the request was not run.
func isNotRun(err error) bool {
	failure, ok := slipwick.AsError(err)
	return ok && failure.Outcome == slipwick.OutcomeNotRun
}

// isUnreached reports whether err states that no connection to the backend server could be opened.
func isUnreached(err error) bool {
	return isNotRun(err) && slipwick.IsKind(err, slipwick.KindBackendUnreachable)
}

// acquire waits for a slot in the first pool that has a usable backend server.
func (d *Dispatcher) acquire(
	ctx context.Context, pools []string, request slipwick.AcquireRequest,
) (slipwick.Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, d.MaxSlotWait)
	defer cancel()
	var grant slipwick.Grant
	var err error
	for _, pool := range pools {
		request.Pool = pool
		grant, err = d.Admission.Acquire(ctx, request)
		if !slipwick.IsKind(err, slipwick.KindNoBackend) {
			break
		}
	}
	return grant, err
}

// isRetryable reports whether a request that failed with err may be sent to another backend server.
func isRetryable(err error, repeatable bool) bool {
	failure, ok := slipwick.AsError(err)
	if !ok {
		return false
	}
	switch failure.Outcome {
	case slipwick.OutcomeNotRun:
		return true
	case slipwick.OutcomeUnknown:
		return repeatable
	default:
		return false
	}
}

// evidenceOf returns what the result of an attempt says about the health of the backend server.
func evidenceOf(err error) slipwick.Evidence {
	failure, ok := slipwick.AsError(err)
	switch {
	case err == nil:
		return slipwick.EvidenceGood
	case errors.Is(err, engine.ErrLeaving):
		return slipwick.EvidenceLeaving
	case !ok:
		return slipwick.EvidenceNone
	}
	switch failure.Kind {
	case slipwick.KindTimeout:
		return slipwick.EvidenceTimeout
	case slipwick.KindBackendUnreachable:
		return slipwick.EvidenceUnreachable
	case slipwick.KindBackendError, slipwick.KindStreamBroken:
		return slipwick.EvidenceError
	default:
		return slipwick.EvidenceNone
	}
}

// withOutcome returns err if it is a *slipwick.Error, or else wraps it in one with an unknown
// outcome.
func withOutcome(err error) error {
	if _, ok := slipwick.AsError(err); ok {
		return err
	}
	return &slipwick.Error{
		Kind:    slipwick.KindBackendUnreachable,
		Message: "the request ended without a response",
		Remedy:  "send the request again if it may be repeated",
		Outcome: slipwick.OutcomeUnknown,
		Cause:   err,
	}
}

// stoppedError returns the error of a request that was waiting for a slot when the router stopped.
func stoppedError(cause error) error {
	return &slipwick.Error{
		Kind:    slipwick.KindNotReady,
		Message: "the router stopped before a slot was free",
		Remedy:  "send the request to another router",
		Outcome: slipwick.OutcomeNotRun,
		Cause:   cause,
	}
}

// cancelledError returns the error of a request whose caller disconnected.
func cancelledError(cause error) error {
	return interruptedError(slipwick.KindCancelled, "the caller disconnected before the response was complete", cause)
}

// interruptedError returns the error of a request that was abandoned while a backend server was
// processing it. The outcome is unknown unless the cause states that the request was not run.
func interruptedError(kind slipwick.Kind, message string, cause error) error {
	outcome := slipwick.OutcomeUnknown
	if failure, ok := slipwick.AsError(cause); ok && failure.Outcome == slipwick.OutcomeNotRun {
		outcome = slipwick.OutcomeNotRun
	}
	return &slipwick.Error{
		Kind:    kind,
		Message: message,
		Remedy:  "send the request again if it may be repeated",
		Outcome: outcome,
		Cause:   cause,
	}
}
