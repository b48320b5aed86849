package engine

import (
	"context"
	"io"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/sse"
)

// eventStream reads one answer from a response body.
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

// Next gives the following event; ctx ending closes the connection.
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
	if err != nil {
		return slipwick.StreamEvent{}, broken(err)
	}
	request, offset, ok := ParseEventID(event.ID)
	if !ok {
		return slipwick.StreamEvent{}, broken(errors.Errorf("event id %q has no request and offset", event.ID))
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

// Close lets go of the connection.
func (s *eventStream) Close() error {
	return s.body.Close()
}

func broken(cause error) error {
	return &slipwick.Error{
		Kind:    slipwick.KindStreamBroken,
		Message: "the answer ended without its end marker",
		Remedy:  "resume it or send the request again if it may be repeated",
		Outcome: slipwick.OutcomeUnknown,
		Cause:   cause,
	}
}
