package tcpconn

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// newPair returns a connection and the peer's end of it.
func newPair(t *testing.T) (*Conn, *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	conn, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	peer, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = conn.Close()
		_ = peer.Close()
	})
	return New(conn), peer.(*net.TCPConn)
}

// fill writes until the connection takes no more and the write ends, and returns its error.
func fill(conn *Conn) <-chan error {
	result := make(chan error, 1)
	go func() {
		chunk := make([]byte, 1<<20)
		for {
			if _, err := conn.WriteBuffers(&net.Buffers{chunk}); err != nil {
				result <- err
				return
			}
		}
	}()
	return result
}

// TestReadReportsResetThatAWriteSaw guards against a reset that looks like an orderly close to a read,
// because the kernel has reported it to a write.
func TestReadReportsResetThatAWriteSaw(t *testing.T) {
	conn, peer := newPair(t)
	written := fill(conn)
	time.Sleep(10 * time.Millisecond)
	_ = peer.SetLinger(0)
	_ = peer.Close()
	if err := <-written; !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("got %v from the write, want a reset", err)
	}
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got %v from the read, want a reset", err)
	}
}

// TestReadReportsResetDuringAWrite guards against a read that returns before the write has recorded the
// reset which both of them met.
func TestReadReportsResetDuringAWrite(t *testing.T) {
	for range 50 {
		conn, peer := newPair(t)
		written := fill(conn)
		read := make(chan error, 1)
		go func() {
			_, err := conn.Read(make([]byte, 1))
			read <- err
		}()
		time.Sleep(time.Millisecond)
		_ = peer.SetLinger(0)
		_ = peer.Close()
		if err := <-read; !errors.Is(err, syscall.ECONNRESET) {
			t.Fatalf("got %v from the read, want a reset", err)
		}
		t.Log("the write ended with:", <-written)
	}
}

// TestReadReturnsEOFAfterOrderlyClose guards against an orderly close that counts as a reset, because the
// peer resets the connection for what is written later.
func TestReadReturnsEOFAfterOrderlyClose(t *testing.T) {
	conn, peer := newPair(t)
	_ = peer.CloseWrite()
	time.Sleep(10 * time.Millisecond)
	written := fill(conn)
	time.Sleep(10 * time.Millisecond)
	_ = peer.SetLinger(0)
	_ = peer.Close()
	t.Log("the write ended with:", <-written)
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("got %v, want io.EOF", err)
	}
}

// TestReadDoesNotWaitForAWrite guards against a read that returns the orderly close only when the peer has
// read all that is being written.
func TestReadDoesNotWaitForAWrite(t *testing.T) {
	conn, peer := newPair(t)
	written := fill(conn)
	_ = peer.CloseWrite()
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("got %v, want io.EOF", err)
	}
	_ = peer.Close()
	t.Log("the write ended with:", <-written)
}
