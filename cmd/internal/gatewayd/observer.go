package gatewayd

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/slipwick/slipwick/gateway"
	"github.com/slipwick/slipwick/upstream"

	"github.com/slipwick/slipwick/cmd/internal/events"
)

var _ gateway.Observer = (*observer)(nil)

// observer logs and counts refused requests, failed attempts and ended requests.
type observer struct {
	log     zerolog.Logger
	metrics *metrics
	// refusals logs requests refused on arrival. It has a line budget of its own, so that
	// a caller with a wrong key cannot use up the budget of all other lines.
	refusals zerolog.Logger
	// requestID is the name of the header with the request's ID.
	requestID string
	// overloadLog logs single requests refused for lack of capacity, with a line budget of its own,
	// since these are many when they occur. overloads counts them; may be nil.
	overloadLog zerolog.Logger
	// closeLog logs responses that ended with their connection, with a line budget of its own: there
	// are backend servers that end all their responses so.
	closeLog zerolog.Logger
	// continueLog logs streams that are continued, strayLog responses that belong to no request, each with a
	// line budget of its own.
	continueLog zerolog.Logger
	strayLog    zerolog.Logger
	overloads   *overloads
}

// refusalsPerSecond is the budget of log lines on requests refused on arrival.
const refusalsPerSecond = 10

// overloadLinesPerSecond is the budget of log lines on requests refused for lack of capacity.
const overloadLinesPerSecond = 5

// continueLinesPerSecond is the budget of log lines on streams that are continued.
const continueLinesPerSecond = 20

// strayLinesPerSecond is the budget of log lines on responses that belong to no request.
const strayLinesPerSecond = 10

// closeLinesPerSecond is the budget of log lines on responses that ended with their connection.
const closeLinesPerSecond = 10

func newObserver(log zerolog.Logger, metrics *metrics, requestID string) *observer {
	return &observer{
		log:     log,
		metrics: metrics,
		refusals: log.Sample(&zerolog.BurstSampler{
			Burst:  refusalsPerSecond,
			Period: time.Second,
		}),
		overloadLog: log.Sample(&zerolog.BurstSampler{
			Burst:  overloadLinesPerSecond,
			Period: time.Second,
		}),
		closeLog: log.Sample(&zerolog.BurstSampler{
			Burst:  closeLinesPerSecond,
			Period: time.Second,
		}),
		continueLog: log.Sample(&zerolog.BurstSampler{
			Burst:  continueLinesPerSecond,
			Period: time.Second,
		}),
		strayLog: log.Sample(&zerolog.BurstSampler{
			Burst:  strayLinesPerSecond,
			Period: time.Second,
		}),
		requestID: requestID,
	}
}

// Refused records a request that was refused on arrival.
func (o *observer) Refused(request *http.Request, refusal *gateway.Refusal) {
	o.metrics.requests.WithLabelValues("refused", refusal.Reason).Inc()
	events.RequestRefused.On(&o.refusals).Str("request", request.Header.Get(o.requestID)).
		Str("host", request.Host).Str("path", request.URL.Path).
		Int("status", refusal.Status).Str("reason", refusal.Reason).Send()
}

// AttemptFailed records an attempt that did not yield the complete response.
func (o *observer) AttemptFailed(attempt *gateway.FailedAttempt) {
	o.metrics.attempts.WithLabelValues(attempt.Result).Inc()
	if attempt.Result == "not-run" {
		o.metrics.rejections.WithLabelValues(attempt.Pool).Inc()
	}
	events.AttemptFailed.On(&o.log).Str("request", attempt.RequestID).Stringer("key", attempt.Key).
		Str("route", attempt.Route).Str("backend", attempt.Backend).Str("address", attempt.Address).
		Str("version", attempt.Version).Str("result", attempt.Result).Int("status", attempt.Status).
		Int("events", attempt.Events).Str("framing", string(attempt.Framing)).Strs("parts", partNames(attempt)).
		Uint64("connection", attempt.Use.Connection).Int("exchanges", attempt.Use.Exchanges).Bool("named", attempt.IsNamed).
		Dur("took_ms", attempt.Duration).Bool("leaving", attempt.Notice.Leaving).Dur("rest_ms", attempt.Notice.Pause).
		AnErr("cause", attempt.Err).Send()
}

// maxLoggedParts is how many parts of a prompt a log line has at most.
const maxLoggedParts = 8

// partNames returns the keys of the prompt's shared parts if the exchange broke off, which a part may
// have caused.
func partNames(attempt *gateway.FailedAttempt) []string {
	if attempt.Result != "broken" && attempt.Result != "cut" {
		return nil
	}
	var names []string
	for _, key := range attempt.PromptParts[:min(len(attempt.PromptParts), maxLoggedParts)] {
		names = append(names, key.String())
	}
	return names
}

// StreamContinued records that a backend server continues a stream.
func (o *observer) StreamContinued(stream *gateway.ContinuedStream) {
	where := "later-request"
	if stream.IsSameResponse {
		where = "same-response"
	}
	o.metrics.continued.WithLabelValues(where).Inc()
	events.StreamContinued.On(&o.continueLog).Str("request", stream.RequestID).Str("resumes", stream.Resumes).
		Str("pool", stream.Pool).Str("backend", stream.Backend).Str("version", stream.Version).Str("where", where).
		Str("origin", string(stream.Origin)).Send()
}

// responseSkipped records a response that belongs to no request under way.
func (o *observer) responseSkipped(stray *upstream.StrayResponse) {
	events.StrayResponse.On(&o.strayLog).Str("backend", stray.Key).Str("request", stray.RequestID).
		Str("named", stray.ResponseID).Int("status", stray.Status).
		Uint64("connection", stray.Use.Connection).Int("exchanges", stray.Use.Exchanges).Send()
}

// ResponseRead records how the end of a response was found; only ends with the connection are logged.
func (o *observer) ResponseRead(read *gateway.ReadResponse) {
	o.metrics.responses.WithLabelValues(string(read.Framing)).Inc()
	if read.Framing != upstream.FramingClose {
		return
	}
	events.ResponseClosed.On(&o.closeLog).Str("request", read.RequestID).Str("backend", read.Backend).
		Int("status", read.Status).Int("events", read.Events).Int("rest_bytes", read.RestBytes).
		AnErr("request_error", read.RequestErr).Send()
}

// Ended records how a request ended; delivered responses are counted but not logged.
func (o *observer) Ended(summary *gateway.RequestSummary) {
	o.metrics.requests.WithLabelValues(summary.Result, summary.Reason).Inc()
	o.metrics.duration.WithLabelValues(string(summary.Route.Kind)).Observe(summary.Duration.Seconds())
	if summary.Waited > 0 {
		o.metrics.permitWait.Observe(summary.Waited.Seconds())
	}
	if o.overloads != nil {
		o.overloads.record(summary)
	}
	switch {
	case summary.Result == "delivered":
		return
	case isOverloadRefusal(summary):
		events.RequestOverloaded.On(&o.overloadLog).Str("request", summary.RequestID).Stringer("key", summary.Key).
			Str("route", summary.Route.Name).Str("pool", summary.Pool).Str("workspace", summary.Workspace).
			Int("priority", summary.Priority).Int("sends", summary.Sends).Int("unsent", summary.Unsent).
			Int("possible_runs", summary.PossibleRuns).Dur("waited_ms", summary.Waited).
			Dur("retry_after_ms", summary.RetryAfter).Dur("took_ms", summary.Duration).Send()
		return
	}
	events.RequestUnserved.On(&o.log).Str("request", summary.RequestID).Stringer("key", summary.Key).
		Str("route", summary.Route.Name).Str("pool", summary.Pool).Uint64("version", summary.Version).
		Str("result", summary.Result).Str("reason", summary.Reason).Int("status", summary.Status).Int("sends", summary.Sends).
		Int("unsent", summary.Unsent).Int("possible_runs", summary.PossibleRuns).Int("events", summary.Events).
		Dur("took_ms", summary.Duration).Send()
}
