package gatewayd

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/slipwick/slipwick/gateway"

	"github.com/slipwick/slipwick/cmd/internal/events"
)

var _ gateway.Observer = (*observer)(nil)

// observer logs and counts what happens to requests.
type observer struct {
	log     zerolog.Logger
	metrics *metrics
	// refusals logs what was turned away at once. It has a budget of its own:
	// a caller with a wrong key must not crowd out all else.
	refusals zerolog.Logger
	// requestID names the header that has a request's ID.
	requestID string
}

// refusalsPerSecond is the budget of lines on requests turned away at once.
const refusalsPerSecond = 10

func newObserver(log zerolog.Logger, metrics *metrics, requestID string) *observer {
	return &observer{
		log:     log,
		metrics: metrics,
		refusals: log.Sample(&zerolog.BurstSampler{
			Burst:  refusalsPerSecond,
			Period: time.Second,
		}),
		requestID: requestID,
	}
}

// Refused notes a request that was turned away at once.
func (o *observer) Refused(request *http.Request, refusal *gateway.Refusal) {
	o.metrics.requests.WithLabelValues("refused", refusal.Reason).Inc()
	events.RequestRefused.On(&o.refusals).Str("request", request.Header.Get(o.requestID)).
		Str("host", request.Host).Str("path", request.URL.Path).
		Int("status", refusal.Status).Str("reason", refusal.Reason).Send()
}

// Attempted notes a send that did not bring the answer.
func (o *observer) Attempted(attempt *gateway.FailedAttempt) {
	o.metrics.attempts.WithLabelValues(attempt.Result).Inc()
	events.AttemptFailed.On(&o.log).Str("request", attempt.RequestID).Stringer("key", attempt.Key).
		Str("route", attempt.Route).Str("backend", attempt.Backend).Str("address", attempt.Address).
		Str("result", attempt.Result).Int("status", attempt.Status).Int("events", attempt.Events).
		Dur("took_ms", attempt.Duration).Bool("leaving", attempt.Notice.Leaving).Dur("rest_ms", attempt.Notice.Rest).
		AnErr("cause", attempt.Err).Send()
}

// Ended notes how a request ended; whole answers are only counted.
func (o *observer) Ended(ending *gateway.RequestSummary) {
	o.metrics.requests.WithLabelValues(ending.Result, ending.Reason).Inc()
	o.metrics.duration.WithLabelValues(string(ending.Route.Kind)).Observe(ending.Duration.Seconds())
	if ending.Result == "delivered" {
		return
	}
	events.RequestUnserved.On(&o.log).Str("request", ending.RequestID).Stringer("key", ending.Key).
		Str("route", ending.Route.Name).Str("pool", ending.Pool).Uint64("version", ending.Version).
		Str("result", ending.Result).Str("reason", ending.Reason).Int("status", ending.Status).Int("sends", ending.Sends).
		Int("events", ending.Events).Dur("took_ms", ending.Duration).Send()
}
