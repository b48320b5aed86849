package inbound

import (
	"container/list"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/memory"
)

const (
	// lingerTime is how long a connection stays open after a refusal before the whole request was read: a close with
	// unread bytes resets the connection, and the caller would lose the refusal.
	lingerTime = 500 * time.Millisecond
	// refusalWriteTime bounds the write of a refusal.
	refusalWriteTime = time.Second
	// refusalRetryAfter is the Retry-After of a refusal for lack of memory.
	refusalRetryAfter = "0.15"
	// headTime bounds the time from the first bytes of a head to its end.
	headTime = 10 * time.Second
)

// errStopped is the error of reads from a connection whose request was refused. http.Server doesn't answer a read
// error.
var errStopped = &net.OpError{
	Op:  "read",
	Net: "tcp",
	Err: errors.New("the request was refused"),
}

var errNotTCP = errors.New("not a TCP connection")

// conn is a connection of a Listener.
type conn struct {
	net.Conn
	listener *Listener
	// held is what the head of the current request takes of the account.
	held *memory.Reservation

	// phase, the time since when it lasts, and element belong to listener.open.
	phase   phase
	since   time.Time
	element *list.Element

	// head is that of the current request while inHead is set; ahead is what was read beyond it and may be the
	// beginning of the next one. Reads are not concurrent.
	inHead      atomic.Bool
	head, ahead head
	// withheld are bytes that have arrived and that the server has not got. readErr is returned after them.
	withheld []byte
	readErr  error
	pace     pace
	// writes counts the writes as pace counts the reads; they are never delayed.
	writes pace
	// isStopped says that nothing more is read.
	isStopped atomic.Bool
}

var _ slipwick.CallerConnection = (*conn)(nil)

// Read implements net.Conn. While a head is incomplete, Read returns nothing of it, so that the server parses only
// heads that are within the limits and holds no parsed part of one that never ends.
func (c *conn) Read(into []byte) (int, error) {
	if c.isStopped.Load() {
		return 0, errStopped
	}
	if len(c.withheld) > 0 || c.readErr != nil {
		return c.readWithheld(into)
	}
	if c.inHead.Load() && !c.reserveHead() {
		// The server may have got a part of this head, or none: a response could belong to no request.
		c.StopReading()
		return 0, errStopped
	}
	n, err := c.Conn.Read(into)
	if n == 0 {
		return n, err
	}
	if !c.inHead.Load() {
		c.countAhead(into[:n], len(into))
		return n, err
	}
	// The server reads on if the head, which it began to read earlier, has not ended after all.
	c.head.ended = false
	lines := c.head.lines
	status := c.countHead(into[:n])
	if status == 0 && err == nil && !c.head.ended {
		c.withheld = append(c.withheld, into[:n]...)
		status = c.withhold()
		n, err = 0, nil
	}
	if status != 0 {
		c.refuse(status)
		return 0, errStopped
	}
	c.listener.Pacer.pause(&c.pace, 1+int(c.head.lines-lines)/linesPerRead)
	if len(c.withheld) > 0 || c.readErr != nil {
		return c.readWithheld(into)
	}
	return n, err
}

// withhold reads until the head is complete, and returns the status with which to refuse it, or 0. An error ends the
// reading; the server gets it after what has arrived.
func (c *conn) withhold() (status int) {
	if err := c.Conn.SetReadDeadline(time.Now().Add(headTime)); err != nil {
		c.readErr = err
		return 0
	}
	for !c.head.ended {
		c.withheld = slices.Grow(c.withheld, readerBytes)
		at := len(c.withheld)
		n, err := c.Conn.Read(c.withheld[at : at+readerBytes])
		c.withheld = c.withheld[:at+n]
		if status := c.countHead(c.withheld[at:]); status != 0 {
			return status
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			// The server closes the connection without a response.
			c.withheld = nil
		}
		if err != nil {
			c.readErr = err
			return 0
		}
	}
	return 0
}

// readWithheld returns what was withheld, and then the error that ended the reading.
func (c *conn) readWithheld(into []byte) (int, error) {
	if len(c.withheld) == 0 {
		err := c.readErr
		c.readErr = nil
		return 0, err
	}
	n := copy(into, c.withheld)
	c.withheld = c.withheld[n:]
	if len(c.withheld) == 0 {
		c.withheld = nil
	}
	return n, nil
}

// countAhead counts what the server reads during a request and may be the beginning of the next ones.
func (c *conn) countAhead(data []byte, bufferBytes int) {
	switch {
	case bufferBytes == 1:
		// The server notices disconnections so, and keeps what it has read before.
		c.ahead.extend(data)
		return
	case bufferBytes > readerBytes:
		// The server's buffer was not used and is empty.
		c.ahead = head{}
	default:
		c.ahead = continuation(data)
	}
	c.listener.Pacer.pause(&c.pace, 1)
}

// countHead counts a part of a head, reserves memory for it, and returns the status with which to refuse the request,
// or 0.
func (c *conn) countHead(data []byte) (status int) {
	if rest := c.head.add(data); c.head.ended {
		c.ahead = continuation(rest)
	}
	if c.listener.HeadBytes != nil {
		if limit := c.listener.HeadBytes(); limit > 0 && c.head.bytes > limit+headSlackBytes {
			return http.StatusRequestHeaderFieldsTooLarge
		}
	}
	if !c.reserveHead() {
		return http.StatusServiceUnavailable
	}
	return 0
}

// reserveHead reserves the memory that the head takes as far as it is known, and reports whether there was room.
func (c *conn) reserveHead() bool {
	needed := c.head.takes() - freeHeadBytes - c.held.Held()
	return needed <= 0 || c.held.TryGrow(memory.Head, needed)
}

// refuse writes a refusal of a request whose head was not read.
func (c *conn) refuse(status int) {
	c.listener.refusedHeads.Add(1)
	c.StopReading()
	message, retryAfter := "the head of the request is too large\n", ""
	if status == http.StatusServiceUnavailable {
		message = "this router has no memory for the request; it was not run, send it again\n"
		retryAfter = "Retry-After: " + refusalRetryAfter + "\r\n"
	}
	// Errors mean that the caller has disconnected.
	_ = c.SetWriteDeadline(time.Now().Add(refusalWriteTime))
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Type: text/plain; charset=utf-8\r\n"+
		"%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), retryAfter, len(message), message)
}

// Write implements net.Conn. A response that is forwarded without pause lets others run between its parts.
func (c *conn) Write(data []byte) (int, error) {
	if c.writes.count(1, maxRate) > 0 {
		c.writes.used = readBurst
	}
	return c.Conn.Write(data)
}

// BeginBody implements slipwick.CallerConnection.
func (c *conn) BeginBody() { c.listener.open.move(c, phaseBody) }

// EndBody implements slipwick.CallerConnection.
func (c *conn) EndBody() { c.listener.open.move(c, phaseActive) }

// StopReading implements slipwick.CallerConnection.
func (c *conn) StopReading() {
	c.isStopped.Store(true)
	c.withheld = nil
	c.listener.open.move(c, phaseClosing)
}

// NetConn returns the underlying connection.
func (c *conn) NetConn() net.Conn { return c.Conn }

// SetReadDeadline sets the read deadline. While the connection is idle, the idle limit replaces a zero deadline.
func (c *conn) SetReadDeadline(at time.Time) error {
	if at.IsZero() && c.inHead.Load() && c.listener.IdleLimit != nil {
		if limit := c.listener.IdleLimit(); limit > 0 {
			at = time.Now().Add(limit)
		}
	}
	return c.Conn.SetReadDeadline(at)
}

// CloseWrite ends what is sent to the caller.
func (c *conn) CloseWrite() error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errNotTCP
	}
	return tcp.CloseWrite()
}

// SetLinger sets what closing the connection does to data that was not sent; see net.TCPConn.SetLinger.
func (c *conn) SetLinger(seconds int) error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errNotTCP
	}
	return tcp.SetLinger(seconds)
}

// Close closes the connection, after lingerTime if the whole request was not read.
func (c *conn) Close() error {
	c.held.Release()
	if c.isStopped.Load() && c.CloseWrite() == nil {
		time.AfterFunc(lingerTime, c.evict)
		return nil
	}
	c.listener.open.remove(c)
	return c.Conn.Close()
}

// evict closes the connection at once.
func (c *conn) evict() {
	if c.listener.open.remove(c) {
		_ = c.Conn.Close()
	}
}

// TrackState tells the connections of Listeners what the server uses them for. It is an http.Server.ConnState hook.
func TrackState(tracked net.Conn, state http.ConnState) {
	c, ok := tracked.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		// One read can bring many requests.
		c.listener.Pacer.pause(&c.pace, 1)
		c.inHead.Store(false)
		if !c.isStopped.Load() {
			c.listener.open.move(c, phaseActive)
		}
		// If this fails, so does the next use of the connection, which reports the error.
		_ = c.Conn.SetReadDeadline(time.Time{})
	case http.StateIdle:
		c.held.Release()
		// Until the server reads again, what it has got beyond the last head may belong to any of the next ones.
		c.head = c.ahead
		c.inHead.Store(true)
		c.listener.open.move(c, phaseHead)
	case http.StateHijacked:
		c.held.Release()
		c.listener.open.remove(c)
	}
}
