package daemon

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/chat"
	"github.com/slipwick/slipwick/memory"
)

const (
	// maxCompletionBytes bounds the chunks of one response that is not streamed, which are kept until it is complete.
	maxCompletionBytes = 8 << 20
	// completionCopies is how many times the bytes of its chunks a response takes; completionStep is the number of bytes
	// of chunks for which memory is reserved at a time.
	completionCopies = 4
	completionStep   = 64 << 10
)

// bufferedWriter collects the chunks of a response and sends one JSON object when it is complete.
type bufferedWriter struct {
	context    echo.Context
	frontend   *frontend
	held       *memory.Reservation
	completion chat.Completion
	// received is the number of bytes of the chunks so far, reserved that for which there is memory.
	received, reserved int
}

func (w *bufferedWriter) handleEvent(event slipwick.StreamEvent) error {
	if event.End {
		return nil
	}
	if err := w.reserve(len(event.Data)); err != nil {
		return err
	}
	if err := w.completion.Add(event.Data); err != nil {
		return &slipwick.Error{
			Kind:    slipwick.KindBackendError,
			Message: "the engine sent a chunk that cannot be decoded",
			Remedy:  "check the engine's version",
			Outcome: slipwick.OutcomeFailed,
			Cause:   err,
		}
	}
	return nil
}

// reserve reserves the memory for a further chunk.
func (w *bufferedWriter) reserve(size int) error {
	w.received += size
	if w.received > maxCompletionBytes {
		return &slipwick.Error{
			Kind:    slipwick.KindBackendError,
			Message: "the engine's response is larger than this router keeps",
			Remedy:  "check the engine; request a stream for responses that are so large",
			Outcome: slipwick.OutcomeFailed,
		}
	}
	if w.received <= w.reserved {
		return nil
	}
	more := max(w.received-w.reserved, completionStep)
	if !w.held.Await(w.context.Request().Context(), memory.Response, int64(completionCopies*more), memoryWait) {
		return &slipwick.Error{
			Kind:    slipwick.KindInternal,
			Message: "this router has no memory for the rest of the response",
			Remedy:  "send the request again if it may be repeated, or have limits.memory_mb raised",
			Outcome: slipwick.OutcomeUnknown,
		}
	}
	w.reserved += more
	return nil
}

func (w *bufferedWriter) finish() error {
	w.context.Response().Header().Set(slipwick.OutcomeHeader, string(slipwick.OutcomeCompleted))
	w.frontend.limitWrite(w.context)
	return w.context.JSON(http.StatusOK, w.completion)
}

func (w *bufferedWriter) fail(failure *slipwick.Error, repeatable bool) error {
	w.frontend.limitWrite(w.context)
	return writeFailure(w.context, failure, repeatable)
}
