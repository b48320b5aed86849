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

// streamWriter passes an answer on event by event. The outcome follows in the
// trailer; an error after the first event is an event of its own.
type streamWriter struct {
	context    echo.Context
	controller *http.ResponseController
	limit      time.Duration
	metrics    *Metrics
	arrival    *arrival
	last       time.Time
	started    bool
}

func newStreamWriter(c echo.Context, f *front, a *arrival) *streamWriter {
	return &streamWriter{
		context:    c,
		controller: http.NewResponseController(c.Response().Writer),
		limit:      f.limits.Write.Or(defaultWrite),
		metrics:    f.metrics,
		arrival:    a,
		last:       a.started,
	}
}

func (w *streamWriter) event(event slipwick.StreamEvent) error {
	now := time.Now()
	w.observe(now.Sub(w.last))
	w.last = now
	w.begin()
	if event.End {
		return w.write([]byte(engine.EndMarker))
	}
	return w.write(event.Data)
}

func (w *streamWriter) observe(wait time.Duration) {
	histogram := w.metrics.BetweenTokens
	if !w.started {
		histogram = w.metrics.FirstToken
		w.arrival.firstToken = wait
	}
	histogram.WithLabelValues(w.arrival.workspace.Name).Observe(wait.Seconds())
}

// begin sends the header with the first event.
func (w *streamWriter) begin() {
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

// write sends one event; a caller that reads too slowly is given up.
func (w *streamWriter) write(data []byte) error {
	if err := w.controller.SetWriteDeadline(time.Now().Add(w.limit)); err != nil {
		return errors.Wrap(err, "bound write")
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
	encoded, err := json.Marshal(detailOf(failure))
	if err != nil {
		return errors.Wrap(err, "encode failure")
	}
	if err := w.write(encoded); err != nil {
		return err
	}
	return w.controller.SetWriteDeadline(time.Time{})
}
