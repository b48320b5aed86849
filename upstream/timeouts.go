package upstream

import (
	"context"
	"errors"
	"io"
	"os"
	"time"

	"github.com/slipwick/slipwick"
)

// Timeouts bounds how long a backend server may send nothing.
type Timeouts struct {
	// FirstByte is how long the first byte of the response may take. Idle is how long the next
	// bytes of a body of unknown length may take; 0 sets no bound.
	FirstByte, Idle time.Duration
	// OnTimeout is called when one of these times has passed, by the goroutine that reads the
	// response. It returns how much longer to wait: 0 ends the exchange, NoTimeout waits until data
	// arrives.
	OnTimeout func() time.Duration
	// OnSilentRoute is called instead of OnTimeout while no backend server at all has sent anything by the route
	// of the connection since the request was sent, so that the timeout says nothing about this server. If it
	// is nil, OnTimeout is called.
	OnSilentRoute func() time.Duration
}

// NoTimeout as the result of OnTimeout lets a read wait until the context of the exchange ends.
const NoTimeout = time.Duration(1<<63 - 1)

// errResponseTimeout is the cause of the errors of exchanges that one of the Timeouts ended.
var errResponseTimeout = errors.New("no data within the response timeout")

// awaitData blocks until a byte can be read, the connection is closed, ctx ends or onTimeout ends
// the exchange. It calls onTimeout when wait has passed, and again after each further wait that
// onTimeout returns. If wait is 0 or NoTimeout, it returns at once, and if onTimeout returns
// NoTimeout, it returns then: it leaves the blocking to the next read.
func (c *connection) awaitData(ctx context.Context, wait time.Duration, onTimeout func() time.Duration) error {
	if wait <= 0 || wait == NoTimeout || c.reader.Buffered() > 0 {
		return nil
	}
	defer c.clearDeadline(ctx)
	for {
		if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
			return err
		}
		if ctx.Err() != nil {
			// ctx may have interrupted the connection before the read deadline was set, which
			// then replaced the interruption.
			return ctx.Err()
		}
		_, err := c.reader.Peek(1)
		switch {
		case err == nil || errors.Is(err, io.EOF):
			// The next read returns io.EOF again.
			return nil
		case !errors.Is(err, os.ErrDeadlineExceeded):
			// The kernel reports a reset once, and the end of the stream from then on.
			return err
		case ctx.Err() != nil:
			return ctx.Err()
		}
		wait = onTimeout()
		if wait == NoTimeout || wait <= 0 && c.hasBytes() {
			return nil
		}
		if wait <= 0 {
			return errResponseTimeout
		}
	}
}

// clearDeadline removes the read deadline. If ctx has ended, it interrupts reads instead.
func (c *connection) clearDeadline(ctx context.Context) {
	// If this fails, the next read or write on the connection fails as well.
	_ = c.SetReadDeadline(time.Time{})
	if ctx.Err() != nil {
		_ = c.SetReadDeadline(pastTime)
	}
}

// responseTimeoutError returns the error of an exchange that one of the Timeouts ended.
func responseTimeoutError(address string) error {
	return &slipwick.Error{
		Kind:    slipwick.KindTimeout,
		Message: "backend server " + address + " sent no data within the timeout; the request goes to another",
		Remedy:  "check that backend server; the request may have run",
		Outcome: slipwick.OutcomeUnknown,
		Cause:   errResponseTimeout,
	}
}

// IsResponseTimeout reports whether err comes from an exchange that one of the Timeouts ended, not
// from the end of the context.
func IsResponseTimeout(err error) bool {
	return errors.Is(err, errResponseTimeout)
}
