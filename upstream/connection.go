package upstream

import (
	"bufio"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/slipwick/slipwick/internal/readlimit"
	"github.com/slipwick/slipwick/internal/tcpconn"
)

// connection is a pooled connection. It serves one exchange at a time.
type connection struct {
	*tcpconn.Conn
	// reader buffers what limited reads.
	reader  *bufio.Reader
	limited *readlimit.Reader
	// key is that of the backend server.
	key   string
	route *route
	// idleSince is when the last exchange ended; idleUntil is when the connection must not be used
	// any more, as the backend server is expected to close it.
	idleSince time.Time
	idleUntil time.Time
	// number is different for each connection of the client; exchanges counts the exchanges before the
	// current one. The client may have opened the connection without one.
	number    uint64
	exchanges int
	// requestIDs are those of the last requests that were sent on the connection.
	requestIDs recentIDs
	// onClose is called when the connection is closed for the first time.
	onClose   func()
	closeOnce sync.Once
}

// Close closes the connection.
func (c *connection) Close() error {
	c.closeOnce.Do(c.onClose)
	return c.Conn.Close()
}

// mayCarry reports whether the request may be sent on the connection. A backend server may send a further response
// after that to an earlier request, where the response to the next one is due, and only the ID tells them apart.
// needsUnused says that responses to the request may come without one.
func (c *connection) mayCarry(request *Request, needsUnused bool) bool {
	return !c.requestIDs.contains(request.ID) && (c.exchanges == 0 || !needsUnused)
}

// isResponseTo reports whether a response with the ID is the one to the request. Without an ID it is so on a connection
// without earlier exchanges only.
func (c *connection) isResponseTo(request *Request, id string) bool {
	return id == request.ID && id != "" || id == "" && c.exchanges == 0
}

// isIdle reports whether the connection is open and has no unread bytes. Bytes that arrive while no
// exchange is in progress belong to no request.
func (c *connection) isIdle() bool {
	_, err := c.peek()
	return errors.Is(err, unix.EAGAIN)
}

// hasBytes reports whether unread bytes are available.
func (c *connection) hasBytes() bool {
	n, err := c.peek()
	return err == nil && n > 0
}

// peek looks for an unread byte without blocking. The error unix.EAGAIN means that there is none; 0
// bytes without an error mean that the peer has closed the connection.
func (c *connection) peek() (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return n, err
}

// maxInlineBytes is the largest request that is written before the response is read. It fits into
// the smallest socket buffers, so that the write cannot block.
const maxInlineBytes = 4 << 10

// write sends the request. A request above maxInlineBytes is written by large while the response is
// read, since a backend server may respond without reading it.
func (c *connection) write(request *Request, large *bodyWriter) *requestWrite {
	written := newRequestWrite()
	head := request.head()
	if len(head)+len(request.Body) <= maxInlineBytes {
		_, err := c.Write(append(head, request.Body...))
		written.finish(err)
		return written
	}
	go func() { written.finish(large.write(head, request.Body)) }()
	return written
}

const (
	// maxStrayResponses bounds the responses to earlier requests that are skipped before the one to the
	// current request, maxInformational the informational ones.
	maxStrayResponses = 2
	maxInformational  = 5
	// maxHeadBytes bounds the heads of a response and of the informational ones before it, maxStrayBytes and
	// maxStrayTime the body of a response that is skipped.
	maxHeadBytes  = 64 << 10
	maxStrayBytes = 1 << 20
	maxStrayTime  = 500 * time.Millisecond
	// maxDoubtTime is how long a response that names its request may take after one that names none.
	maxDoubtTime = 500 * time.Millisecond
)

// responseReader reads the response to one request from its connection.
type responseReader struct {
	*connection
	client  *Client
	request *Request
	// timeouts apply to what follows a response that is skipped.
	timeouts Timeouts
}

// readHead reads the header of the response to the request. Responses that belong to other requests, or to none, are
// skipped: the right one follows.
func (r *responseReader) readHead(ctx context.Context) (*http.Response, error) {
	r.limited.Limit(maxHeadBytes)
	defer r.limited.Unlimit()
	httpRequest := &http.Request{
		Method: r.request.Method,
	}
	for skipped, informational := 0, 0; skipped <= maxStrayResponses; {
		response, err := http.ReadResponse(r.reader, httpRequest)
		if err != nil {
			return nil, err
		}
		if response.StatusCode/100 == 1 {
			informational++
			if informational > maxInformational {
				return nil, errors.New("too many informational responses")
			}
			continue
		}
		id := response.Header.Get(r.request.IDHeader)
		if r.isResponseTo(r.request, id) {
			r.client.recordNaming(r.key, response.StatusCode, id != "")
			return response, nil
		}
		skipped++
		if err := r.skip(ctx, response, id); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("too many responses to other requests")
}

// skip skips a response that is not known to be the one to the request, and waits for the next one.
func (r *responseReader) skip(ctx context.Context, response *http.Response, id string) error {
	r.client.recordStray(&StrayResponse{
		Key:        r.key,
		Use:        r.use(),
		RequestID:  r.request.ID,
		ResponseID: id,
		Status:     response.StatusCode,
	})
	isDoubtful := id == "" && !r.client.names(r.key, response.StatusCode)
	doubt := &unnamedError{
		status: response.StatusCode,
	}
	// The next response can be found only if the body has a known end.
	isLast := response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0
	switch {
	case isDoubtful && (isLast || r.client.hasUnnamed(r.key)):
		r.client.recordNaming(r.key, response.StatusCode, false)
		return doubt
	case isLast:
		return errors.New("response belongs to another request, and the connection cannot be reused")
	}
	if err := r.skipBody(ctx, response); err != nil {
		return errors.Wrap(err, "skip the response to another request")
	}
	r.limited.Limit(maxHeadBytes)
	if !isDoubtful {
		return r.awaitData(ctx, r.timeouts.FirstByte, r.timeouts.OnTimeout)
	}
	err := r.awaitData(ctx, maxDoubtTime, func() time.Duration { return 0 })
	if errors.Is(err, errResponseTimeout) {
		r.client.recordNaming(r.key, response.StatusCode, false)
		return doubt
	}
	return err
}

// skipBody reads the body of a response to its end.
func (c *connection) skipBody(ctx context.Context, response *http.Response) error {
	if response.ContentLength > maxStrayBytes {
		return readlimit.ErrExceeded
	}
	c.limited.Limit(maxStrayBytes)
	if err := c.SetReadDeadline(time.Now().Add(maxStrayTime)); err != nil {
		return err
	}
	defer c.clearDeadline(ctx)
	if ctx.Err() != nil {
		// ctx may have interrupted the connection before the read deadline was set.
		return ctx.Err()
	}
	return response.Body.Close()
}

// interruptOnDone interrupts reads and writes when ctx ends. The returned function cancels that and
// reports whether the connection was not interrupted.
func (c *connection) interruptOnDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() {
		_ = c.SetDeadline(pastTime)
	})
}

// pastTime is a deadline that has passed.
var pastTime = time.Unix(1, 0)
