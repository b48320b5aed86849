package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// connection is one kept connection. It serves one exchange at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// restingSince is when the last exchange ended; usableUntil is when the
	// backend server is expected to close it.
	restingSince time.Time
	usableUntil  time.Time
	// exchanges counts the exchanges before the present one.
	exchanges int
}

// isAlive tells whether a resting connection is open and silent: bytes that
// wait belong to no request.
func (c *connection) isAlive() bool {
	_, err := c.peek()
	return errors.Is(err, unix.EAGAIN)
}

// hasBytes tells whether bytes wait to be read.
func (c *connection) hasBytes() bool {
	n, err := c.peek()
	return err == nil && n > 0
}

// peek looks at the next byte without waiting: unix.EAGAIN says that there is
// none, no byte without an error that the other side has closed.
func (c *connection) peek() (n int, err error) {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
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

// inlineBytes is the longest request that is written before its answer is
// read; it fits the smallest socket buffers, so that the write cannot block.
const inlineBytes = 4 << 10

// write sends the request. A long one is written while the answer is read, as
// a backend server may answer without reading it. The channel gives the
// result.
func (c *connection) write(request *Request) <-chan error {
	result := make(chan error, 1)
	head := request.head()
	if len(head)+len(request.Body) <= inlineBytes {
		_, err := c.Write(append(head, request.Body...))
		result <- err
		return result
	}
	go func() {
		parts := net.Buffers{head, request.Body}
		_, err := parts.WriteTo(c.Conn)
		result <- err
	}()
	return result
}

// maxStray is how many answers to earlier requests are skipped.
const maxStray = 3

// read reads the head of the answer to the request. Answers to other requests
// are skipped: a backend server may answer twice, and the right answer follows.
func (c *connection) read(request *Request, strays *atomic.Int64) (*http.Response, error) {
	asked := &http.Request{
		Method: request.Method,
	}
	for range maxStray {
		response, err := http.ReadResponse(c.reader, asked)
		if err != nil {
			return nil, err
		}
		if response.StatusCode/100 == 1 {
			continue
		}
		id := response.Header.Get(request.IDHeader)
		if request.ID == "" || id == "" || id == request.ID {
			return response, nil
		}
		strays.Add(1)
		// The body has to end for the next answer to begin.
		if response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return nil, errors.New("the answer belongs to another request, and no other can follow")
		}
		if err := response.Body.Close(); err != nil {
			return nil, errors.Wrap(err, "skip the answer to another request")
		}
	}
	return nil, errors.New("too many answers to other requests")
}

// interruptible has the end of ctx interrupt reads and writes. The function
// given ends that and tells whether the connection is still undisturbed.
func (c *connection) interruptible(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() {
		_ = c.SetDeadline(longAgo)
	})
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)
