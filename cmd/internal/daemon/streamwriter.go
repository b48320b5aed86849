package daemon

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/engine"
	"github.com/slipwick/slipwick/sse"
)

// streamWriter forwards a response event by event. The outcome of the request follows in the trailer;
// an error after the first event is sent as an event.
type streamWriter struct {
	context      echo.Context
	controller   *http.ResponseController
	writeTimeout time.Duration
	metrics      *Metrics
	request      *callerRequest
	lastEvent    time.Time
	started      bool
}

func newStreamWriter(c echo.Context, f *frontend, cr *callerRequest) *streamWriter {
	return &streamWriter{
		context:      c,
		controller:   http.NewResponseController(c.Response().Writer),
		writeTimeout: f.limits.Write.Or(defaultWrite),
		metrics:      f.metrics,
		request:      cr,
		lastEvent:    cr.started,
	}
}

func (w *streamWriter) handleEvent(event slipwick.StreamEvent) error {
	now := time.Now()
	w.observe(now.Sub(w.lastEvent))
	w.lastEvent = now
	w.sendHeader()
	if event.End {
		return w.write([]byte(engine.EndMarker))
	}
	return w.write(event.Data)
}

// observe records the time to the first token, then the times between tokens.
func (w *streamWriter) observe(wait time.Duration) {
	histogram := w.metrics.BetweenTokens
	if !w.started {
		histogram = w.metrics.FirstToken
		w.request.firstToken = wait
	}
	histogram.WithLabelValues(w.request.workspace.Name).Observe(wait.Seconds())
}

// sendHeader sends the response header before the first event.
func (w *streamWriter) sendHeader() {
	if w.started {
		return
	}
	w.started = true
	header := w.context.Response().Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set("Trailer", slipwick.OutcomeHeader)
	w.context.Response().WriteHeader(http.StatusOK)
}

// write sends one event. It fails if the caller reads too slowly for the write timeout.
func (w *streamWriter) write(data []byte) error {
	if err := w.controller.SetWriteDeadline(time.Now().Add(w.writeTimeout)); err != nil {
		return errors.Wrap(err, "set write deadline")
	}
	if err := sse.Write(w.context.Response(), sse.Event{
		Data: data,
	}); err != nil {
		return err
	}
	return w.controller.Flush()
}

func (w *streamWriter) finish() error {
	w.context.Response().Header().Set(slipwick.OutcomeHeader, string(slipwick.OutcomeCompleted))
	return w.controller.SetWriteDeadline(time.Time{})
}

func (w *streamWriter) fail(failure *slipwick.Error, repeatable bool) error {
	if !w.started {
		return writeFailure(w.context, failure, repeatable)
	}
	w.context.Response().Header().Set(slipwick.OutcomeHeader, string(failure.Outcome))
	encoded, err := json.Marshal(failureBodyOf(failure))
	if err != nil {
		return errors.Wrap(err, "encode error event")
	}
	if err := w.write(encoded); err != nil {
		return err
	}
	return w.controller.SetWriteDeadline(time.Time{})
}
