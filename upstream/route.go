package upstream

import (
	"sync/atomic"
	"time"

	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/internal/tcpconn"
)

// route is the way of connections: from this router itself to one backend server, or through another router to any.
type route struct {
	// router is the ID of the other router; empty for connections from this one itself, which lead to the backend
	// server with this key and address.
	router, key, address string
	// lastData is when something last arrived on a connection of the route, or one was opened, in Unix
	// nanoseconds by package clock. checkedAt is when the latest check of a silent route began.
	lastData, checkedAt atomic.Int64
	// isChecked says that a check is in progress, isLost that this router doesn't reach the backend server itself,
	// though others do.
	isChecked, isLost atomic.Bool
}

// recordData notes that data has arrived.
func (r *route) recordData() {
	r.lastData.Store(clock.Now().UnixNano())
}

// isSilentSince reports whether no data has arrived since a time.
func (r *route) isSilentSince(since time.Time) bool {
	return r.lastData.Load() < since.UnixNano()
}

// isDirect reports whether the route doesn't lead through another router.
func (r *route) isDirect() bool {
	return r.router == ""
}

// beginCheck reports whether a check of the route may begin: none is in progress or has begun lately. endCheck has
// to be called after it.
func (r *route) beginCheck() bool {
	now := clock.Now().UnixNano()
	if now-r.checkedAt.Load() < int64(checkInterval) || !r.isChecked.CompareAndSwap(false, true) {
		return false
	}
	r.checkedAt.Store(now)
	return true
}

func (r *route) endCheck() {
	r.isChecked.Store(false)
}

// observedReader reads from a connection and records when data arrives.
type observedReader struct {
	*tcpconn.Conn
	route *route
}

// Read implements io.Reader.
func (o *observedReader) Read(into []byte) (int, error) {
	n, err := o.Conn.Read(into)
	if n > 0 {
		o.route.recordData()
	}
	return n, err
}
