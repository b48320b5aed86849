package httpclient

import (
	"io"
	"net"
	"strings"
	"testing"
)

// TestHeadWithoutEndIsGivenUp guards against a head without end that takes the memory of a router.
func TestHeadWithoutEndIsGivenUp(t *testing.T) {
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
	request, err := Request(t.Context(), "GET", "http://"+listener.Addr().String(), nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := New().Do(request)
	if err == nil {
		_ = response.Body.Close()
		t.Fatal("got a response, want an error")
	}
	// The kernel's buffers take what the client doesn't read.
	if got, limit := <-sent, 8<<20; got > limit {
		t.Errorf("got %d bytes sent, want at most %d", got, limit)
	}
}
