package upstream

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/internal/tcpconn"
)

const (
	// writeChunkBytes is how much of a large body is written at a time: a part that was written does not
	// count as unread any more.
	writeChunkBytes = 64 << 10
	// unreadWait is for how long a backend server may read nothing until requests with bodies that exceed
	// the limit are not sent to it; while it reads, they wait.
	unreadWait = 250 * time.Millisecond
)

var (
	// errUnreadLimit is the cause of the errors of exchanges whose body would be one too many in flight to
	// a backend server; errUnreadStall is that cause if the server also has read nothing for the
	// first-byte timeout.
	errUnreadLimit = errors.New("the backend server has not read the bodies of other requests yet")
	errUnreadStall = errors.New("the backend server has read nothing of the bodies of other requests for a while")
)

// unreadBodies counts the bytes of bodies that are being written to each backend server and that the
// server has not read yet, by key.
type unreadBodies struct {
	mu    sync.Mutex
	byKey map[string]*unreadBody
	// limit bounds the bytes for each server; 0 sets no limit.
	limit int64
}

// unreadBody is what one backend server has not read. readAt is when it last read something, or when the
// first body began to be written.
type unreadBody struct {
	bytes  int64
	readAt time.Time
	// waiters are the requests that wait until the server has read more, the oldest first.
	waiters []*unreadWaiter
}

// unreadWaiter is a request that waits to be counted. granted is closed once it is.
type unreadWaiter struct {
	size    int64
	granted chan struct{}
}

// grant counts the bodies of those who wait, in order, as far as the limit allows.
func (b *unreadBody) grant(limit int64) {
	for len(b.waiters) > 0 && (b.bytes == 0 || b.bytes+b.waiters[0].size <= limit) {
		b.bytes += b.waiters[0].size
		close(b.waiters[0].granted)
		b.waiters = b.waiters[1:]
	}
}

// SetMaxUnreadBytes bounds the bytes of the bodies in flight to one backend server that it has not read;
// 0 sets no limit. A single body may be larger. Set it before the first exchange.
func (c *Client) SetMaxUnreadBytes(limit int64) {
	c.unread.mu.Lock()
	defer c.unread.mu.Unlock()
	c.unread.limit = max(limit, 0)
}

// UnreadBytes returns the bytes of bodies that backend servers have not read, in total and for the one
// that has read least.
func (c *Client) UnreadBytes() (total, most int64) {
	c.unread.mu.Lock()
	defer c.unread.mu.Unlock()
	for _, u := range c.unread.byKey {
		total += u.bytes
		most = max(most, u.bytes)
	}
	return total, most
}

// add counts a body that is about to be written. Above the limit it waits while the backend server reads
// other bodies, for the first-byte timeout at most. It returns errUnreadLimit, or errUnreadStall, if the
// server doesn't read or there is no room in time.
func (u *unreadBodies) add(ctx context.Context, key string, size int64, firstByteTimeout time.Duration) error {
	if size <= maxInlineBytes {
		return nil
	}
	waiter := u.enqueue(key, size)
	if waiter == nil {
		return nil
	}
	started, longest := time.Now(), orDefault(firstByteTimeout, NoTimeout)
	for {
		idle, waited := u.idleTime(key), time.Since(started)
		if idle >= unreadWait || waited >= longest || ctx.Err() != nil {
			return u.giveUp(key, waiter, idle, firstByteTimeout)
		}
		select {
		case <-waiter.granted:
			return nil
		case <-ctx.Done():
		case <-time.After(min(unreadWait-idle, longest-waited)):
		}
	}
}

// giveUp ends the wait for a backend server that has read nothing for the idle time.
func (u *unreadBodies) giveUp(key string, waiter *unreadWaiter, idle, firstByteTimeout time.Duration) error {
	switch {
	case u.dequeue(key, waiter):
		return nil
	case firstByteTimeout > 0 && idle > firstByteTimeout:
		return errUnreadStall
	default:
		return errUnreadLimit
	}
}

// enqueue counts the body and returns nil, or returns a waiter that is counted later.
func (u *unreadBodies) enqueue(key string, size int64) *unreadWaiter {
	u.mu.Lock()
	defer u.mu.Unlock()
	body := u.byKey[key]
	if body == nil {
		if u.byKey == nil {
			u.byKey = make(map[string]*unreadBody)
		}
		body = &unreadBody{
			readAt: time.Now(),
		}
		u.byKey[key] = body
	}
	if u.limit == 0 || body.bytes == 0 || len(body.waiters) == 0 && body.bytes+size <= u.limit {
		body.bytes += size
		return nil
	}
	waiter := &unreadWaiter{
		size:    size,
		granted: make(chan struct{}),
	}
	body.waiters = append(body.waiters, waiter)
	return waiter
}

// dequeue ends the wait and reports whether the body was counted meanwhile.
func (u *unreadBodies) dequeue(key string, waiter *unreadWaiter) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	select {
	case <-waiter.granted:
		return true
	default:
	}
	body := u.byKey[key]
	at := slices.Index(body.waiters, waiter)
	body.waiters = slices.Delete(body.waiters, at, at+1)
	body.grant(u.limit)
	return false
}

// idleTime returns for how long the backend server has read nothing.
func (u *unreadBodies) idleTime(key string) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if body := u.byKey[key]; body != nil {
		return time.Since(body.readAt)
	}
	return 0
}

// removeUnsent ends the count of a body of which nothing was written.
func (u *unreadBodies) removeUnsent(key string, size int64) {
	if size > maxInlineBytes {
		u.remove(key, size, false)
	}
}

// remove ends the count of bytes that were written or that will not be written any more.
func (u *unreadBodies) remove(key string, size int64, wasRead bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	body := u.byKey[key]
	body.bytes -= size
	if wasRead {
		body.readAt = time.Now()
	}
	body.grant(u.limit)
	if body.bytes == 0 {
		delete(u.byKey, key)
	}
}

// bodyWriter writes one request to a backend server and counts what the server has read of the body.
type bodyWriter struct {
	conn   *tcpconn.Conn
	unread *unreadBodies
	key    string
}

// write writes the header and the body. The server reads when the connection takes more of the body.
// Bodies up to maxInlineBytes are not counted.
func (w *bodyWriter) write(head, body []byte) error {
	counted := len(body) > maxInlineBytes
	for {
		chunk := body[:min(len(body), writeChunkBytes)]
		parts := net.Buffers{head, chunk}
		_, err := w.conn.WriteBuffers(&parts)
		switch {
		case err != nil && counted:
			w.unread.remove(w.key, int64(len(body)), false)
		case counted:
			w.unread.remove(w.key, int64(len(chunk)), true)
		}
		head, body = nil, body[len(chunk):]
		if err != nil || len(body) == 0 {
			return err
		}
	}
}

// unreadError returns the error of an exchange that the limit on unread bodies prevents: nothing was
// sent.
func unreadError(address string, cause error) error {
	return &slipwick.Error{
		Kind:    slipwick.KindOverloaded,
		Message: "no further request body to backend server " + address,
		Remedy:  "check whether that server reads its requests, or use another server",
		Outcome: slipwick.OutcomeNotRun,
		Cause:   cause,
	}
}

// IsUnreadLimit reports whether err comes from the limit that SetMaxUnreadBytes set. stalled says that
// the backend server has read nothing for the first-byte timeout of the request; otherwise err says
// nothing about the server.
func IsUnreadLimit(err error) (limited, stalled bool) {
	stalled = errors.Is(err, errUnreadStall)
	return stalled || errors.Is(err, errUnreadLimit), stalled
}
