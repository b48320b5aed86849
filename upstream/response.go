package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Response holds the status and header of a response, and reads its body from the connection. It
// must be used by one goroutine at a time, except for Abort, and must be closed.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if it is unknown.
	Length int64
	// Framing is how the end of the body is marked.
	Framing Framing
	// Use is the connection that the response came on.
	Use ConnectionUse

	ctx     context.Context
	client  *Client
	key     string
	address string
	conn    *connection
	// written is the write of the request.
	written *requestWrite
	body    io.ReadCloser
	// stop ends the interruption of the connection by ctx; see connection.interruptOnDone.
	stop func() bool
	// reusable says that the connection stays open after a body with a known end, complete that the
	// body was read to its end.
	reusable bool
	complete bool
	closed   bool
	timeouts Timeouts
}

// Read reads the body. It returns io.EOF at the end of a complete body, and an *slipwick.Error if
// the body is cut short or a timeout ends the exchange.
func (r *Response) Read(into []byte) (int, error) {
	if r.Length < 0 {
		if err := r.conn.awaitData(r.ctx, r.timeouts.Idle, r.timeouts.OnTimeout); err != nil {
			return 0, r.client.exchangeError(r.ctx, r.address, r.conn.route, err)
		}
	}
	n, err := r.body.Read(into)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		r.complete = true
		return n, io.EOF
	default:
		return n, r.client.exchangeError(r.ctx, r.address, r.conn.route, err)
	}
}

// Complete reports whether the body was read to its end.
func (r *Response) Complete() bool {
	return r.complete
}

// RequestError returns why the request could not be written whole, or nil if it was written or is still
// being written.
func (r *Response) RequestError() error {
	_, err := r.written.result()
	return err
}

// Abort closes the connection, which ends a Read of another goroutine. The response must still be
// closed.
func (r *Response) Abort() {
	r.reusable = false
	_ = r.conn.Close()
}

// Close returns the connection to the pool if the body was read to its end and the connection is
// still usable. Otherwise it closes the connection, which tells the backend server to stop
// working on the request.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	intact := r.stop()
	// Without a result, the response arrived before the request was fully sent.
	finished, writeErr := r.written.result()
	if !intact || !finished || writeErr != nil || !r.reusable || !r.complete || r.conn.reader.Buffered() > 0 {
		_ = r.conn.Close()
		return
	}
	r.conn.exchanges++
	r.client.putIdle(r.key, r.conn, parseMaxIdleTime(r.Header))
}

const (
	// defaultMaxIdleTime is how long an idle connection is kept if the backend server sends no
	// Keep-Alive timeout.
	defaultMaxIdleTime = 10 * time.Second
	// idleMargin is how much earlier than the backend server the client stops using an idle
	// connection.
	idleMargin = 500 * time.Millisecond
)

// parseMaxIdleTime returns how long the connection may stay idle, by the timeout in the Keep-Alive
// header: idleMargin less than that, and at most defaultMaxIdleTime.
func parseMaxIdleTime(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if name == "timeout" && err == nil {
			return min(time.Duration(seconds)*time.Second-idleMargin, defaultMaxIdleTime)
		}
	}
	return defaultMaxIdleTime
}
