package gateway

import (
	"net/http"
	"time"

	"github.com/slipwick/slipwick/clock"
)

// writeGrace is how long after the deadline, or after the start of a late response, a response may still
// be written.
const writeGrace = time.Second

// limitWrite sets until when the response may be written, so that a caller that does not read does not
// keep the router busy.
func (c *call) limitWrite() {
	end := c.deadline
	if now := clock.Now(); now.After(end) {
		end = now
	}
	// An error means that the writer does not support deadlines.
	_ = http.NewResponseController(c.writer).SetWriteDeadline(clock.ToRuntime(end.Add(writeGrace)))
}

// beginResponse has to be called before the response is begun. A router that is short of processor time
// may have a response ready only after the grace of the deadline is over: the response gets a grace of its
// own then, since the server would close the connection without a response otherwise.
func (c *call) beginResponse() {
	if clock.Now().After(c.deadline) {
		c.limitWrite()
	}
}
