package engine

import (
	"context"
	"io"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/sse"
)

// eventStream reads the events of one response from its body.
type eventStream struct {
	body   io.ReadCloser
	reader *sse.Reader
	ended  bool
}

func newEventStream(body io.ReadCloser) *eventStream {
	return &eventStream{
		body:   body,
		reader: sse.NewReader(body),
	}
}

// Next blocks until the next event arrives and returns it. If ctx ends, Next closes the
// connection.
func (s *eventStream) Next(ctx context.Context) (slipwick.StreamEvent, error) {
	if s.ended {
		return slipwick.StreamEvent{}, io.EOF
	}
	stop := context.AfterFunc(ctx, func() { _ = s.body.Close() })
	event, err := s.reader.Next()
	stop()
	if ctx.Err() != nil {
		return slipwick.StreamEvent{}, ctx.Err()
	}
	if errors.Is(err, sse.ErrTooLong) {
		return slipwick.StreamEvent{}, longEventError(err)
	}
	if err != nil {
		return slipwick.StreamEvent{}, brokenStreamError(err)
	}
	request, offset, ok := ParseEventID(event.ID)
	if !ok {
		return slipwick.StreamEvent{}, brokenStreamError(errors.Errorf("event ID %q is not REQUEST/OFFSET", event.ID))
	}
	s.ended = string(event.Data) == EndMarker
	if s.ended {
		event.Data = nil
	}
	return slipwick.StreamEvent{
		Request: request,
		Offset:  offset,
		Data:    event.Data,
		End:     s.ended,
	}, nil
}

// Close closes the connection.
func (s *eventStream) Close() error {
	return s.body.Close()
}

func brokenStreamError(cause error) error {
	return &slipwick.Error{
		Kind:    slipwick.KindStreamBroken,
		Message: "the response ended without its end marker",
		Remedy:  "resume the response, or send the request again if it is safe to repeat",
		Outcome: slipwick.OutcomeUnknown,
		Cause:   cause,
	}
}

// longEventError is not of KindStreamBroken, since the engine would send the same event again after a
// resumption.
func longEventError(cause error) error {
	return &slipwick.Error{
		Kind:    slipwick.KindBackendError,
		Message: "the response has an event that is too long",
		Remedy:  "configure the engine to send smaller events",
		Outcome: slipwick.OutcomeUnknown,
		Cause:   cause,
	}
}
