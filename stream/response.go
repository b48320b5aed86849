package stream

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick"
)

// cancelTimeout bounds the call by which Close cancels a response that has not ended.
const cancelTimeout = 2 * time.Second

// Response reads the streamed response to one request. It is not safe for concurrent use. Set
// the exported fields before Start.
type Response struct {
	Engine  slipwick.Engine
	Request slipwick.ChatRequest
	Limits  Limits

	events slipwick.EventStream
	// stop cancels the context of the connection.
	stop context.CancelFunc
	// next is the offset of the event that Next returns next.
	next    int
	resumes int
	ended   bool
	// failure is why the response is broken, if it could not be resumed.
	failure error
}

// Start sends the request exactly once and blocks until the response has started. The Outcome of
// the error tells whether the request may have reached the engine.
func (r *Response) Start(ctx context.Context) error {
	return r.open(ctx, r.Limits.FirstToken, func(ctx context.Context) (slipwick.EventStream, error) {
		return r.Engine.Stream(ctx, r.Request)
	})
}

// open calls connect, which must return within limit. The limit does not apply to the connection,
// which stays open until closeConnection.
func (r *Response) open(
	ctx context.Context, limit time.Duration,
	connect func(context.Context) (slipwick.EventStream, error),
) error {
	connectionCtx, stop := context.WithCancel(ctx)
	timer := time.AfterFunc(limit, stop)
	events, err := connect(connectionCtx)
	inTime := timer.Stop()
	if err == nil && inTime {
		r.events, r.stop = events, stop
		return nil
	}
	stop()
	if err == nil {
		_ = events.Close()
	}
	if !inTime && ctx.Err() == nil {
		return timeoutError("the engine did not start its response before the timeout")
	}
	return err
}

// Next blocks until the next event of the response arrives and returns it. It returns each offset
// once and in order, and io.EOF after the end marker. Timeouts and broken streams that could not
// be resumed are *Error with OutcomeUnknown.
func (r *Response) Next(ctx context.Context) (slipwick.StreamEvent, error) {
	if r.ended {
		return slipwick.StreamEvent{}, io.EOF
	}
	if r.failure != nil {
		return slipwick.StreamEvent{}, r.failure
	}
	for {
		event, err := r.receive(ctx)
		if err == nil {
			err = r.check(event)
		}
		switch {
		case errors.Is(err, errDuplicate):
			continue
		case err == nil:
			r.next++
			r.ended = event.End
			return event, nil
		}
		if err = r.resume(ctx, err); err != nil {
			return slipwick.StreamEvent{}, err
		}
	}
}

func (r *Response) receive(ctx context.Context) (slipwick.StreamEvent, error) {
	limit := r.Limits.BetweenTokens
	if r.next == 0 {
		limit = r.Limits.FirstToken
	}
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	event, err := r.events.Next(limited)
	if err != nil && ctx.Err() == nil && limited.Err() != nil {
		return event, timeoutError("the engine sent no further event before the timeout")
	}
	return event, err
}

// errDuplicate marks an event that Next has already returned.
var errDuplicate = errors.New("duplicate event")

func (r *Response) check(event slipwick.StreamEvent) error {
	switch {
	case event.Request != r.Request.ID:
		return brokenStreamError("received an event of another response")
	case event.Offset < r.next:
		return errDuplicate
	case event.Offset > r.next:
		return brokenStreamError("events of the response are missing")
	default:
		return nil
	}
}

// resume continues a broken response at the same engine. It returns cause if that is not
// possible.
func (r *Response) resume(ctx context.Context, cause error) error {
	if ctx.Err() != nil || !slipwick.IsKind(cause, slipwick.KindStreamBroken) || r.resumes >= r.Limits.Resumes {
		return cause
	}
	r.resumes++
	r.closeConnection()
	err := r.open(ctx, r.Limits.BetweenTokens, func(ctx context.Context) (slipwick.EventStream, error) {
		return r.Engine.Resume(ctx, r.Request.ID, r.next)
	})
	if err != nil {
		r.failure = cause
	}
	return r.failure
}

// Close closes the connection and cancels a response that has not ended. It blocks for up to
// cancelTimeout.
func (r *Response) Close() {
	r.closeConnection()
	if r.ended {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = r.Engine.Cancel(ctx, r.Request.ID)
}

func (r *Response) closeConnection() {
	if r.events == nil {
		return
	}
	_ = r.events.Close()
	r.stop()
	r.events = nil
}

// HasStarted reports whether Next has returned an event.
func (r *Response) HasStarted() bool {
	return r.next > 0
}

func timeoutError(message string) error {
	return &slipwick.Error{
		Kind:    slipwick.KindTimeout,
		Message: message,
		Remedy:  "send the request again if it may be repeated",
		Outcome: slipwick.OutcomeUnknown,
	}
}

func brokenStreamError(message string) error {
	return &slipwick.Error{
		Kind:    slipwick.KindStreamBroken,
		Message: message,
		Remedy:  "send the request again if it may be repeated",
		Outcome: slipwick.OutcomeUnknown,
	}
}
