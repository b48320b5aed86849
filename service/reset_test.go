package service

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/httpclient"
)

// TestResetDuringTheRequestIsNoCompleteResponse guards against a response without a length or chunks that
// counts as complete though its connection was reset, because the write of the request saw the reset.
func TestResetDuringTheRequestIsNoCompleteResponse(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go respondAndReset(conn)
		}
	}()
	client := &Client{
		Address: listener.Addr().String(),
		HTTP:    httpclient.NewSingleUse(),
	}
	for range 50 {
		response, err := client.Call(t.Context(), slipwick.ServiceRequest{
			ID:     "r",
			Method: http.MethodPost,
			Path:   "/x",
			Header: http.Header{},
			Body:   []byte(strings.Repeat("x", 8<<20)),
		})
		if err == nil {
			t.Fatalf("got %q as a complete response, want an error", response.Body)
		}
	}
}

// respondAndReset responds before it has read the request's body, and then resets the connection.
func respondAndReset(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\nhalf"))
	time.Sleep(time.Millisecond)
	_ = conn.(*net.TCPConn).SetLinger(0)
}
