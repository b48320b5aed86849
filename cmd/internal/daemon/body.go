package daemon

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/gateway"
	"github.com/slipwick/slipwick/memory"
)

const (
	// initialBodyBytes is the initial size of the buffer for a body, which doubles as the body arrives.
	initialBodyBytes = 4 << 10
	// smallBytes is up to which size a request counts as small.
	smallBytes = 64 << 10
	// memoryWait is how long a body waits for room, and memoryRetryAfter the Retry-After without any.
	memoryWait       = 125 * time.Millisecond
	memoryRetryAfter = 150 * time.Millisecond
	// fieldBytes is what a field of a chat request takes when it is parsed and written again, messageBytes what a message
	// takes beside its fields; bodyCopies is how many copies of the body there are.
	fieldBytes   = 160
	messageBytes = 96
	bodyCopies   = 3
)

// body reads the request's body, up to limits.body_bytes, and reserves memory for it.
func (f *frontend) body(c echo.Context, cr *callerRequest) ([]byte, error) {
	request, limit := c.Request(), f.limits.bodyBytes()
	if request.ContentLength > limit {
		return nil, bodyTooLargeError(nil)
	}
	// An error means that the writer does not support deadlines.
	controller := http.NewResponseController(c.Response().Writer)
	_ = controller.SetReadDeadline(time.Now().Add(f.limits.Read.Or(defaultRead)))
	conn := gateway.CallerConnection(request)
	conn.BeginBody()
	defer conn.EndBody()
	body, err := f.readBody(request, http.MaxBytesReader(c.Response(), request.Body, limit), cr.held)
	if err != nil {
		return nil, err
	}
	cr.isBodyRead = true
	_ = controller.SetReadDeadline(time.Time{})
	return body, nil
}

func (f *frontend) readBody(request *http.Request, source io.Reader, held *memory.Reservation) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			size := max(2*cap(body), initialBodyBytes)
			if !reserve(request.Context(), held, int64(size), int64(size-cap(body))) {
				return nil, memoryError()
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		var large *http.MaxBytesError
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case errors.As(err, &large):
			return nil, bodyTooLargeError(nil)
		case err != nil:
			return nil, &slipwick.Error{
				Kind:    slipwick.KindInvalidRequest,
				Message: "the body could not be read",
				Remedy:  "send the request again",
				Outcome: slipwick.OutcomeNotRun,
				Cause:   err,
			}
		}
	}
}

// reserve reserves more bytes for a request that then holds so many in total. Without room, a small one waits for it; a
// large one, for which a part of the memory is not available, does not.
func reserve(ctx context.Context, held *memory.Reservation, total, more int64) bool {
	if total > smallBytes {
		return held.TryGrow(memory.LargeBody, more)
	}
	return held.Await(ctx, memory.Body, more, memoryWait)
}

// reserveParsed reserves the memory that a chat request takes when it is parsed.
func (f *frontend) reserveParsed(c echo.Context, cr *callerRequest, body []byte) error {
	needed := int64(bodyCopies*len(body) + fieldBytes*bytes.Count(body, []byte{':'}) +
		messageBytes*bytes.Count(body, []byte{'{'}))
	if cr.held.Exceeds(needed) {
		return bodyTooLargeError(errors.New("its fields take more memory than this router has for bodies"))
	}
	if !reserve(c.Request().Context(), cr.held, needed, needed) {
		return memoryError()
	}
	return nil
}

func bodyTooLargeError(cause error) error {
	return &slipwick.Error{
		Kind:    slipwick.KindBodyTooLarge,
		Message: "the body is larger than this router accepts",
		Remedy:  "send a smaller body, or have limits.body_bytes or limits.memory_mb raised",
		Outcome: slipwick.OutcomeNotRun,
		Cause:   cause,
	}
}

func memoryError() error {
	return &slipwick.Error{
		Kind:       slipwick.KindOverloaded,
		Message:    "this router has no memory for the request",
		Remedy:     "send the request again, or have limits.memory_mb raised",
		Outcome:    slipwick.OutcomeNotRun,
		RetryAfter: memoryRetryAfter,
	}
}
