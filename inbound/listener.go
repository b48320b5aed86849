package inbound

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/slipwick/slipwick/memory"
)

// Listener accepts connections for an http.Server and bounds what they can make it hold. Set the exported fields before
// the first connection; those without a value set no bound.
type Listener struct {
	net.Listener
	// MaxOpen bounds the number of open connections. When a further one arrives, the connection is closed that has
	// waited for a head or a body for longest; without any, the new one is closed.
	MaxOpen int
	// MinWait is how long a connection may at least wait for a head or a body before it is closed to make room. Until
	// then no further ones are accepted.
	MinWait time.Duration
	// ClosesActive says that, without such a connection, the one is closed whose request has been in progress for longest,
	// in place of the new one.
	ClosesActive bool
	// HeadBytes returns the limit of the head of a request in bytes, beyond which it is refused with status 431; 0 sets
	// none. The limit may change at any time. Up to headSlackBytes more are read.
	HeadBytes func() int64
	// IdleLimit returns how long connections may be idle between requests; 0 sets no limit. The limit may change at any
	// time; http.Server.IdleTimeout is fixed at its start.
	IdleLimit func() time.Duration
	// Allow reports whether to serve a new connection; others are closed unread.
	Allow func() bool
	// Memory counts what heads take beyond freeHeadBytes. Without room, a head is refused with status 503.
	Memory *memory.Account
	// Pacer slows down connections that take far more processor time than others; nil slows down none.
	Pacer *Pacer

	open connections
	// accepted and evicted count connections, refusedHeads those whose head was refused.
	accepted, evicted, refusedHeads atomic.Int64
}

// Accepted returns the number of connections accepted and served since the start.
func (l *Listener) Accepted() int64 { return l.accepted.Load() }

// Open returns the number of open connections.
func (l *Listener) Open() int { return l.open.len() }

// Evicted returns the number of connections closed since the start because of MaxOpen.
func (l *Listener) Evicted() int64 { return l.evicted.Load() }

// RefusedHeads returns the number of requests refused since the start because of the size of their heads.
func (l *Listener) RefusedHeads() int64 { return l.refusedHeads.Load() }

// Accept returns the next connection that is to be served.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.Allow != nil && !l.Allow() || !l.makeRoom() {
			_ = accepted.Close()
			continue
		}
		l.accepted.Add(1)
		c := &conn{
			Conn:     accepted,
			listener: l,
			held:     l.Memory.NewReservation(),
		}
		c.inHead.Store(true)
		l.open.add(c)
		return c, nil
	}
}

// makeRoom reports whether there is room for another connection, for which it may close one.
func (l *Listener) makeRoom() bool {
	if l.MaxOpen == 0 || l.open.len() < l.MaxOpen {
		return true
	}
	l.evicted.Add(1)
	victim, _ := l.open.oldest(phaseClosing)
	if victim == nil {
		victim = l.oldestWaiting()
	}
	if victim == nil && l.ClosesActive {
		victim, _ = l.open.oldest(phaseActive)
	}
	if victim == nil {
		return false
	}
	victim.evict()
	return true
}

// oldestWaiting returns the connection that has waited for a head or a body for longest, once that is MinWait, or nil.
func (l *Listener) oldestWaiting() *conn {
	for {
		c, since := l.open.oldest(phaseHead, phaseBody)
		wait := l.MinWait - time.Since(since)
		if c == nil || wait <= 0 {
			return c
		}
		time.Sleep(wait)
	}
}
