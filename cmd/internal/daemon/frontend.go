package daemon

import (
	"io"
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

	"github.com/slipwick/slipwick/cmd/internal/events"
)

// Headers that callers may send.
const (
	repeatableHeader = "Slipwick-Repeatable"
	keyHeader        = "Idempotency-Key"
)

// front answers callers.
type front struct {
	limits     Limits
	log        zerolog.Logger
	metrics    *Metrics
	dispatcher *dispatch.Dispatcher
	claims     *claims.Claims
	burn       burn.Recorder
	routes     atomic.Pointer[routes]
	closed     atomic.Bool
}

// arrival is one request of a caller, as far as it is known.
type arrival struct {
	id         string
	started    time.Time
	routes     *routes
	workspace  *configuration.Workspace
	pools      []configuration.Pool
	repeatable bool
	// firstToken is the time to the first token; 0 while there is none.
	firstToken time.Duration
}

// begin accepts a request or says why not.
func (f *front) begin(c echo.Context) (*arrival, error) {
	current := f.routes.Load()
	if current == nil || f.closed.Load() {
		c.Response().Header().Set("Connection", "close")
		return nil, &slipwick.Error{
			Kind:       slipwick.KindNotReady,
			Message:    "this router has no configuration or is stopping",
			Remedy:     "try another router",
			Outcome:    slipwick.OutcomeNotRun,
			RetryAfter: time.Second,
		}
	}
	workspace, err := current.workspace(c.Request().Header)
	if err != nil {
		return nil, err
	}
	id, err := uuid.NewV7()
	if err != nil {
		return nil, errors.Wrap(err, "make request id")
	}
	return &arrival{
		id:        id.String(),
		started:   time.Now(),
		routes:    current,
		workspace: workspace,
	}, nil
}

// body reads the request's body within the limit.
func (f *front) body(c echo.Context) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, f.limits.bodyBytes()))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, &slipwick.Error{
			Kind:    slipwick.KindBodyTooLarge,
			Message: "the body is larger than this router takes",
			Remedy:  "send less, or have limits.body_bytes raised",
			Outcome: slipwick.OutcomeNotRun,
		}
	}
	if err != nil {
		return nil, &slipwick.Error{
			Kind:    slipwick.KindInvalidRequest,
			Message: "the body could not be read",
			Remedy:  "send the request again",
			Outcome: slipwick.OutcomeNotRun,
			Cause:   err,
		}
	}
	return body, nil
}

// setRepeatable finds out whether the request may be sent twice: the caller's
// header, else the pool's setting.
func (a *arrival) setRepeatable(header http.Header) error {
	a.repeatable = !a.pools[0].NotRepeatable
	switch strings.ToLower(header.Get(repeatableHeader)) {
	case "true":
		a.repeatable = true
	case "false":
		a.repeatable = false
	case "":
	default:
		return &slipwick.Error{
			Kind:    slipwick.KindInvalidRequest,
			Message: "header " + repeatableHeader + " is neither true nor false",
			Remedy:  "send true or false, or leave it out",
			Outcome: slipwick.OutcomeNotRun,
		}
	}
	return nil
}

// call says where the request may go.
func (a *arrival) call(chat uint64) dispatch.Call {
	call := dispatch.Call{
		Ask: slipwick.Ask{
			Workspace: a.workspace.Name,
			Chat:      chat,
			Priority:  a.workspace.Priority,
		},
		Repeatable: a.repeatable,
	}
	for _, pool := range a.pools {
		call.Pools = append(call.Pools, pool.Name)
	}
	return call
}

// ended counts and logs how a request ended; err nil means completed.
func (f *front) ended(a *arrival, err error) {
	outcome, kind := slipwick.OutcomeCompleted, slipwick.Kind("")
	event := events.RequestEnded
	if err != nil {
		failure := asFailure(err)
		outcome, kind = failure.Outcome, failure.Kind
		if outcome != slipwick.OutcomeNotRun && kind != slipwick.KindCancelled {
			event = events.RequestBroken
		}
	}
	workspace, pool := "", ""
	if a != nil {
		workspace = a.workspace.Name
		if len(a.pools) > 0 {
			pool = a.pools[0].Name
		}
		event.On(&f.log).Str("request", a.id).Str("workspace", workspace).Str("outcome", string(outcome)).
			Str("kind", string(kind)).Dur("took_ms", time.Since(a.started)).AnErr("cause", err).Send()
	}
	f.metrics.Requests.WithLabelValues(workspace, pool, string(outcome)).Inc()
	if a != nil && !callersFault(kind) {
		f.burn.Record(workspace, a.counts(outcome))
	}
}

// callersFault tells whether an ending says nothing of the service.
func callersFault(kind slipwick.Kind) bool {
	status := statuses[kind]
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

// counts is what the request adds to its workspace's service level.
func (a *arrival) counts(outcome slipwick.Outcome) burn.Counts {
	counts := burn.Counts{
		Total: 1,
	}
	if outcome != slipwick.OutcomeCompleted {
		counts.Bad = 1
	}
	if a.firstToken > 0 {
		counts.Tokens = 1
		objective := time.Duration(a.workspace.Objectives.FirstToken)
		if objective > 0 && a.firstToken > objective {
			counts.Slow = 1
		}
	}
	return counts
}

// refuse ends a request before anything was sent to the caller.
func (f *front) refuse(c echo.Context, a *arrival, err error) error {
	f.ended(a, err)
	return writeFailure(c, asFailure(err), a != nil && a.repeatable)
}

// count keeps the number of requests in progress while one is served.
func (f *front) count(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		f.metrics.InFlight.Inc()
		defer f.metrics.InFlight.Dec()
		return next(c)
	}
}
