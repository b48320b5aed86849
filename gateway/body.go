package gateway

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/memory"
	"github.com/slipwick/slipwick/routing"
)

const (
	// baseBytes is what each request reserves beside its body when it is admitted, so that its
	// response can be forwarded however much other requests hold.
	baseBytes = eventBufferSize
	// initialBodyBytes is the initial size of the buffer for a body. It doubles as the body arrives, so
	// that a caller who sends slowly holds no more than twice what it has sent.
	initialBodyBytes = 4 << 10
	// memoryWaitDivisor is the share of the route's latency objective for which a body waits for room,
	// as for each refusal; defaultMemoryWait applies to routes without an objective.
	memoryWaitDivisor = 8
	defaultMemoryWait = 125 * time.Millisecond
)

// errNoMemory is the error of a body for which there was no room in time.
var errNoMemory = errors.New("no room for the request body in the router's memory")

// bodyReader reads the body of one request into memory, so that it can be sent again.
type bodyReader struct {
	request *http.Request
	held    *memory.Reservation
	// source is the body; reading it fails beyond limit bytes, if limit is not 0.
	source io.Reader
	limit  int64
	// wait is how much longer the request may wait for room.
	wait time.Duration
	data []byte
}

// memoryWait returns how long a request of the route waits for room for its body.
func memoryWait(route *routing.Route) time.Duration {
	if route.ResponseObjective > 0 {
		return route.ResponseObjective / memoryWaitDivisor
	}
	return defaultMemoryWait
}

// baseUse returns what the base bytes of a request are used for.
func baseUse(route *routing.Route) memory.Use {
	if route.Kind == routing.KindStream {
		return memory.Stream
	}
	return memory.Response
}

// readBody reserves the memory of a request and reads its whole body, at the latest until the
// deadline or until the router refuses the request because it stops.
func (g *Gateway) readBody(
	w http.ResponseWriter, r *http.Request, route *routing.Route, limit int64, deadline time.Time,
	held *memory.Reservation,
) ([]byte, *Refusal) {
	if limit > 0 && r.ContentLength > limit {
		return nil, refuseBody(limit)
	}
	b := &bodyReader{
		request: r,
		held:    held,
		source:  r.Body,
		limit:   limit,
		wait:    memoryWait(route),
	}
	if !b.reserve(baseUse(route), baseBytes) {
		return nil, b.refuse(w, errNoMemory)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	if limit > 0 {
		b.source = http.MaxBytesReader(w, r.Body, limit)
	}
	connection := http.NewResponseController(w)
	// An error means that the writer does not support deadlines.
	_ = connection.SetReadDeadline(clock.ToRuntime(deadline))
	stopWatching := g.interruptReads(connection, deadline)
	conn := CallerConnection(r)
	conn.BeginBody()
	err := b.readAll()
	conn.EndBody()
	stopWatching()
	switch {
	case g.stopsBefore(deadline) && (err == nil || errors.Is(err, os.ErrDeadlineExceeded)):
		return nil, b.refuse(w, errStopping)
	case err != nil:
		return nil, b.refuse(w, err)
	}
	// The server watches for the disconnection of the caller with a read that must not time out.
	_ = connection.SetReadDeadline(time.Time{})
	return b.data, nil
}

// interruptReads makes reads from the connection time out once the router refuses requests with the deadline because it
// stops. After the returned function has been called, it does so no more.
func (g *Gateway) interruptReads(connection *http.ResponseController, deadline time.Time) (stop func()) {
	done := make(chan struct{})
	cancel := context.AfterFunc(g.refusing(), func() {
		defer close(done)
		if g.stopsBefore(deadline) {
			_ = connection.SetReadDeadline(time.Now())
		}
	})
	return func() {
		if !cancel() {
			<-done
		}
	}
}

// reserve reserves bytes, and waits for room as long as the request may still wait.
func (b *bodyReader) reserve(use memory.Use, bytes int64) bool {
	started := time.Now()
	defer func() { b.wait -= time.Since(started) }()
	return b.held.Await(b.request.Context(), use, bytes, max(b.wait, 0))
}

func (b *bodyReader) readAll() error {
	for {
		if len(b.data) == cap(b.data) {
			if err := b.grow(); err != nil {
				return err
			}
		}
		n, err := b.source.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// grow doubles the buffer, up to the announced length and the byte after it at which the end is read.
func (b *bodyReader) grow() error {
	old := int64(cap(b.data))
	size := max(2*old, initialBodyBytes)
	if length := b.request.ContentLength; length >= old {
		size = min(size, length+1)
	}
	// Both buffers are held while the body is copied from one to the other.
	if b.held.Exceeds(old + size) {
		return errTooLargeForMemory
	}
	if !b.reserve(memory.Body, size) {
		return errNoMemory
	}
	data := make([]byte, len(b.data), size)
	copy(data, b.data)
	b.data = data
	b.held.Shrink(memory.Body, old)
	return nil
}

// errTooLargeForMemory is the error of a body that is larger than the limit of the router's memory.
var errTooLargeForMemory = errors.New("request body is larger than the router's memory for bodies")

// refuse returns the refusal of a request whose body was not read, and gives back what it holds.
func (b *bodyReader) refuse(w http.ResponseWriter, err error) *Refusal {
	b.data = nil
	b.held.Release()
	if b.request.ContentLength != 0 {
		// Otherwise the server would read the rest of the body before it sends the refusal, and a caller
		// that sends slowly would occupy the connection.
		w.Header().Set("Connection", "close")
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(writeGrace))
		CallerConnection(b.request).StopReading()
	}
	switch {
	case errors.Is(err, errNoMemory):
		return refuseMemory()
	case errors.Is(err, errTooLargeForMemory):
		return refuseBodyForMemory()
	case errors.Is(err, errStopping):
		return refuseStopping()
	default:
		return refuseUnreadBody(err, b.limit)
	}
}
