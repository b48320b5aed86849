package stream

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick"
)

// cancelTimeout bounds the call that cancels an answer nobody waits for.
const cancelTimeout = 2 * time.Second

// Answer follows one answer. It belongs to one goroutine. Set the exported
// fields before Start.
type Answer struct {
	Engine  slipwick.Engine
	Request slipwick.ChatRequest
	Limits  Limits

	events  slipwick.EventStream
	stop    context.CancelFunc
	next    int
	resumes int
	ended   bool
}

// Start sends the request, once. The error's Outcome says whether it can have
// reached the engine.
func (a *Answer) Start(ctx context.Context) error {
	return a.open(ctx, a.Limits.FirstToken, func(connection context.Context) (slipwick.EventStream, error) {
		return a.Engine.Stream(connection, a.Request)
	})
}

// open makes a connection that outlives the time limit for making it.
func (a *Answer) open(
	ctx context.Context, limit time.Duration,
	connect func(context.Context) (slipwick.EventStream, error),
) error {
	connection, stop := context.WithCancel(ctx)
	timer := time.AfterFunc(limit, stop)
	events, err := connect(connection)
	inTime := timer.Stop()
	if err == nil && inTime {
		a.events, a.stop = events, stop
		return nil
	}
	stop()
	if err == nil {
		_ = events.Close()
	}
	if !inTime && ctx.Err() == nil {
		return timedOut("the engine did not begin its answer in time")
	}
	return err
}

// Next gives the next event that belongs to the answer, each offset once and
// in order. It returns io.EOF after the end marker.
func (a *Answer) Next(ctx context.Context) (slipwick.StreamEvent, error) {
	if a.ended {
		return slipwick.StreamEvent{}, io.EOF
	}
	for {
		event, err := a.wait(ctx)
		if err == nil {
			err = a.check(event)
		}
		switch {
		case errors.Is(err, errSeen):
			continue
		case err == nil:
			a.next++
			a.ended = event.End
			return event, nil
		}
		if err = a.resume(ctx, err); err != nil {
			return slipwick.StreamEvent{}, err
		}
	}
}

func (a *Answer) wait(ctx context.Context) (slipwick.StreamEvent, error) {
	limit := a.Limits.BetweenTokens
	if a.next == 0 {
		limit = a.Limits.FirstToken
	}
	bounded, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	event, err := a.events.Next(bounded)
	if err != nil && ctx.Err() == nil && bounded.Err() != nil {
		return event, timedOut("the engine sent no further event in time")
	}
	return event, err
}

// errSeen marks an event that was passed on before.
var errSeen = errors.New("event seen before")

func (a *Answer) check(event slipwick.StreamEvent) error {
	switch {
	case event.Request != a.Request.ID:
		return broken("an event of another answer arrived")
	case event.Offset < a.next:
		return errSeen
	case event.Offset > a.next:
		return broken("events of the answer are missing")
	default:
		return nil
	}
}

// resume takes up a broken answer at the same engine; it gives the cause back
// when that is not possible.
func (a *Answer) resume(ctx context.Context, cause error) error {
	if ctx.Err() != nil || !slipwick.IsKind(cause, slipwick.KindStreamBroken) || a.resumes >= a.Limits.Resumes {
		return cause
	}
	a.resumes++
	a.closeConnection()
	err := a.open(ctx, a.Limits.BetweenTokens, func(connection context.Context) (slipwick.EventStream, error) {
		return a.Engine.Resume(connection, a.Request.ID, a.next)
	})
	if err != nil {
		return cause
	}
	return nil
}

// Close lets go of the answer; one that has not ended is cancelled.
func (a *Answer) Close() {
	a.closeConnection()
	if a.ended {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = a.Engine.Cancel(ctx, a.Request.ID)
}

func (a *Answer) closeConnection() {
	if a.events == nil {
		return
	}
	_ = a.events.Close()
	a.stop()
	a.events = nil
}

// Started tells whether an event was passed on.
func (a *Answer) Started() bool {
	return a.next > 0
}

func timedOut(message string) error {
	return &slipwick.Error{
		Kind:    slipwick.KindTimeout,
		Message: message,
		Remedy:  "send the request again if it may be repeated",
		Outcome: slipwick.OutcomeUnknown,
	}
}

func broken(message string) error {
	return &slipwick.Error{
		Kind:    slipwick.KindStreamBroken,
		Message: message,
		Remedy:  "send the request again if it may be repeated",
		Outcome: slipwick.OutcomeUnknown,
	}
}
