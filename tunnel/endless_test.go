package tunnel

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// TestResponseWithoutEndOpensNoTunnel guards against a router in trouble whose response to a request for a tunnel takes
// memory until the time for it is over.
func TestResponseWithoutEndOpensNoTunnel(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	sent := make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		total := 0
		for text := "HTTP/1.1 200 OK\r\nX: "; err == nil; text = strings.Repeat("x", 64<<10) {
			_, err = io.WriteString(conn, text)
			total += len(text)
		}
		sent <- total
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if err := request(ctx, conn, "s", "127.0.0.1:1"); err == nil {
		t.Error("got a tunnel, want an error")
	}
	_ = conn.Close()
	// The kernel's buffers take what is not read.
	if got, limit := <-sent, 8<<20; got > limit {
		t.Errorf("got %d bytes sent, want at most %d", got, limit)
	}
}
