package daemon

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/burn"
	"github.com/slipwick/slipwick/claims"
	"github.com/slipwick/slipwick/configuration"
	"github.com/slipwick/slipwick/dispatch"
	"github.com/slipwick/slipwick/memory"

	"github.com/slipwick/slipwick/cmd/internal/events"
)

// Headers that callers may send.
const (
	repeatableHeader     = "Slipwick-Repeatable"
	idempotencyKeyHeader = "Idempotency-Key"
)

// frontend handles the requests of callers.
type frontend struct {
	limits     Limits
	log        zerolog.Logger
	metrics    *Metrics
	dispatcher *dispatch.Dispatcher
	claims     *claims.Claims
	// memory counts the bytes held for callers.
	memory *memory.Account
	// burn counts requests for the error budgets of the workspaces.
	burn   burn.Recorder
	routes atomic.Pointer[routes]
	// stopping is set once the router refuses new requests because it is draining. endsAt is when it ends those in
	// progress; nil before.
	stopping atomic.Bool
	endsAt   atomic.Pointer[time.Time]
}

// callerRequest is the state of one request of a caller. The handlers fill it in step by step.
type callerRequest struct {
	id         string
	started    time.Time
	routes     *routes
	workspace  *configuration.Workspace
	pools      []configuration.Pool
	repeatable bool
	// held is the memory that the request holds until release, isBodyRead says that its body was read to its end.
	held       *memory.Reservation
	isBodyRead bool
	// firstToken is the time from the start to the first token; 0 until one has arrived.
	firstToken time.Duration
}

// accept authenticates a request and assigns its ID. It fails while the router has no
// configuration or is stopping.
func (f *frontend) accept(c echo.Context) (*callerRequest, error) {
	current := f.routes.Load()
	if current == nil || f.stopping.Load() {
		c.Response().Header().Set("Connection", "close")
		return nil, notReadyError()
	}
	workspace, err := current.workspace(c.Request().Header)
	if err != nil {
		return nil, err
	}
	id, err := uuid.NewV7()
	if err != nil {
		return nil, errors.Wrap(err, "generate request ID")
	}
	return &callerRequest{
		id:        id.String(),
		started:   time.Now(),
		routes:    current,
		workspace: workspace,
		held:      f.memory.NewReservation(),
	}, nil
}

func notReadyError() error {
	return &slipwick.Error{
		Kind:       slipwick.KindNotReady,
		Message:    "this router has no configuration or is stopping",
		Remedy:     "try another router",
		Outcome:    slipwick.OutcomeNotRun,
		RetryAfter: time.Second,
	}
}

// withhold refuses a request that no backend server has got yet if the router stops before its first token is certain
// to arrive: another router can take it.
func (f *frontend) withhold() error {
	if end := f.endsAt.Load(); end != nil && time.Until(*end) < f.limits.FirstToken.Or(defaultFirstToken) {
		return notReadyError()
	}
	return nil
}

// release gives back the memory of the request.
func (cr *callerRequest) release() {
	cr.held.Release()
}

// setRepeatable sets whether the request may be sent more than once: from the caller's
// header, else from the setting of the first pool.
func (cr *callerRequest) setRepeatable(header http.Header) error {
	cr.repeatable = !cr.pools[0].NotRepeatable
	switch strings.ToLower(header.Get(repeatableHeader)) {
	case "true":
		cr.repeatable = true
	case "false":
		cr.repeatable = false
	case "":
	default:
		return &slipwick.Error{
			Kind:    slipwick.KindInvalidRequest,
			Message: "header " + repeatableHeader + " is neither true nor false",
			Remedy:  "set it to true or false, or omit it",
			Outcome: slipwick.OutcomeNotRun,
		}
	}
	return nil
}

// dispatchCall returns the call for the dispatcher, with the pools that the request may go to. chatKey
// is the placement key of the chat.
func (cr *callerRequest) dispatchCall(chatKey uint64) dispatch.Call {
	call := dispatch.Call{
		Request: slipwick.AcquireRequest{
			Workspace: cr.workspace.Name,
			Chat:      chatKey,
			Priority:  cr.workspace.Priority,
		},
		Repeatable: cr.repeatable,
	}
	for _, pool := range cr.pools {
		call.Pools = append(call.Pools, pool.Name)
	}
	return call
}

// recordEnd logs and counts the end of a request; a nil err means completed. cr is nil if the
// request was not accepted.
func (f *frontend) recordEnd(cr *callerRequest, err error) {
	outcome, kind := slipwick.OutcomeCompleted, slipwick.Kind("")
	event := events.RequestEnded
	if err != nil {
		failure := toError(err)
		outcome, kind = failure.Outcome, failure.Kind
		if outcome != slipwick.OutcomeNotRun && kind != slipwick.KindCancelled {
			event = events.RequestBroken
		}
	}
	workspace, pool := "", ""
	if cr != nil {
		workspace = cr.workspace.Name
		if len(cr.pools) > 0 {
			pool = cr.pools[0].Name
		}
		event.On(&f.log).Str("request", cr.id).Str("workspace", workspace).Str("outcome", string(outcome)).
			Str("kind", string(kind)).Dur("took_ms", time.Since(cr.started)).AnErr("cause", err).Send()
	}
	f.metrics.Requests.WithLabelValues(workspace, pool, string(outcome)).Inc()
	if cr != nil && !isClientError(kind) {
		f.burn.Record(workspace, cr.burnCounts(outcome))
	}
}

// isClientError reports whether kind stands for a 4xx status. Requests that end with one do not count
// for the error budget.
func isClientError(kind slipwick.Kind) bool {
	status := statuses[kind]
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

// burnCounts returns what the request adds to the counts from which the error budget burn rates of its
// workspace are computed.
func (cr *callerRequest) burnCounts(outcome slipwick.Outcome) burn.Counts {
	counts := burn.Counts{
		Total: 1,
	}
	if outcome != slipwick.OutcomeCompleted {
		counts.Bad = 1
	}
	if cr.firstToken > 0 {
		counts.FirstTokens = 1
		objective := time.Duration(cr.workspace.Objectives.FirstToken)
		if objective > 0 && cr.firstToken > objective {
			counts.SlowFirstTokens = 1
		}
	}
	return counts
}

// failRequest ends a request with an error; nothing of the response may have been sent before.
func (f *frontend) failRequest(c echo.Context, cr *callerRequest, err error) error {
	f.recordEnd(cr, err)
	if cr == nil || !cr.isBodyRead {
		stopReading(c)
	}
	f.limitWrite(c)
	return writeFailure(c, toError(err), cr != nil && cr.repeatable)
}

// limitWrite bounds the time to write a response that is complete.
func (f *frontend) limitWrite(c echo.Context) {
	// An error means that the writer does not support deadlines.
	_ = http.NewResponseController(c.Response().Writer).
		SetWriteDeadline(time.Now().Add(f.limits.Write.Or(defaultWrite)))
}

// countInFlight is middleware that counts the requests in progress.
func (f *frontend) countInFlight(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		f.metrics.InFlight.Inc()
		defer f.metrics.InFlight.Dec()
		return next(c)
	}
}
