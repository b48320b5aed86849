package tcpconn

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is a TCP connection whose Read returns io.EOF only if the peer has closed its side in an orderly
// way. The kernel reports a reset, or the loss of the connection, to one call only. If that is a write, all
// further reads end as after an orderly close, and a message that ends with its connection looks complete.
type Conn struct {
	net.Conn

	// writes is held for reading during each write.
	writes sync.RWMutex
	mu     sync.Mutex
	// writeErr is the reset or loss that a write was told of.
	writeErr error
}

// New returns conn, which must be a TCP connection, as a Conn.
func New(conn net.Conn) *Conn {
	return &Conn{
		Conn: conn,
	}
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// Write writes to the connection.
func (c *Conn) Write(data []byte) (int, error) {
	c.writes.RLock()
	defer c.writes.RUnlock()
	n, err := c.Conn.Write(data)
	c.recordWrite(err)
	return n, err
}

// WriteBuffers writes the buffers with as few system calls as possible.
func (c *Conn) WriteBuffers(buffers *net.Buffers) (int64, error) {
	c.writes.RLock()
	defer c.writes.RUnlock()
	n, err := buffers.WriteTo(c.Conn)
	c.recordWrite(err)
	return n, err
}

// recordWrite keeps the error of a write if it is the kernel's report of a reset or loss. EPIPE is none: the
// kernel returns it if an orderly close came first.
func (c *Conn) recordWrite(err error) {
	var errno syscall.Errno
	if !errors.As(err, &errno) || errno == syscall.EPIPE {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr == nil {
		c.writeErr = err
	}
}

// Read reads from the connection.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if errors.Is(err, io.EOF) {
		if reset := c.resetError(); reset != nil {
			return n, reset
		}
	}
	return n, err
}

// resetError returns the reset or loss that a write was told of, or nil.
func (c *Conn) resetError() error {
	if c.isDown() {
		// A write in progress ends at once, and may be about to record its error.
		c.writes.Lock()
		defer c.writes.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeErr
}

// isDown reports whether the connection is closed in both directions, as by a reset, or its state can't be
// determined.
func (c *Conn) isDown() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	var info *unix.TCPInfo
	controlErr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return controlErr != nil || err != nil || info.State == unix.BPF_TCP_CLOSE
}
