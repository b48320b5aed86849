package upstream

import (
	"context"
	"errors"
	"io"
	"os"
	"time"

	"github.com/slipwick/slipwick"
)

// Patience decides about an exchange in which nothing comes. It is asked by the
// goroutine that reads, and only while nothing has come.
type Patience struct {
	// First is how long the first byte of the answer may take, Pause how long
	// nothing may come once some of a chunked body has; 0 waits for as long as
	// the exchange may last.
	First, Pause time.Duration
	// Overdue is asked when that time is over, for how long to wait on: 0 ends
	// the exchange, Forever asks no more until something has come.
	Overdue func() time.Duration
}

// Forever waits for as long as the exchange may last.
const Forever = time.Duration(1<<63 - 1)

// errGivenUp ends an exchange by its Patience.
var errGivenUp = errors.New("nothing came for longer than the request waits")

// awaitByte waits until a byte can be read, and asks overdue each time the wait
// is over.
func (c *connection) awaitByte(ctx context.Context, wait time.Duration, overdue func() time.Duration) error {
	if wait <= 0 || wait == Forever || c.reader.Buffered() > 0 {
		return nil
	}
	defer c.clearDeadline(ctx)
	for {
		if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
			return err
		}
		if ctx.Err() != nil {
			// The interruption may have come before the deadline was set.
			return ctx.Err()
		}
		_, err := c.reader.Peek(1)
		switch {
		case err == nil || errors.Is(err, io.EOF):
			// The read that follows meets the end again.
			return nil
		case !errors.Is(err, os.ErrDeadlineExceeded):
			// The kernel tells of a reset once, and then of an end.
			return err
		case ctx.Err() != nil:
			return ctx.Err()
		}
		wait = overdue()
		if wait == Forever || wait <= 0 && c.hasBytes() {
			return nil
		}
		if wait <= 0 {
			return errGivenUp
		}
	}
}

// clearDeadline lets reads wait again, unless ctx has ended.
func (c *connection) clearDeadline(ctx context.Context) {
	// A connection that fails here fails at its next use as well.
	_ = c.SetReadDeadline(time.Time{})
	if ctx.Err() != nil {
		_ = c.SetReadDeadline(longAgo)
	}
}

// givenUp is an exchange that its Patience ended.
func givenUp(address string) error {
	return &slipwick.Error{
		Kind:    slipwick.KindTimeout,
		Message: "backend server " + address + " said nothing for too long, and the request goes on elsewhere",
		Remedy:  "look at that backend server; the request may have run",
		Outcome: slipwick.OutcomeUnknown,
		Cause:   errGivenUp,
	}
}

// IsGivenUp tells whether the error is of an exchange that its Patience ended.
func IsGivenUp(err error) bool {
	return errors.Is(err, errGivenUp)
}
