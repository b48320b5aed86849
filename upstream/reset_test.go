package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// unframedResponse is a response that ends with its connection.
const unframedResponse = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf"

// readLate makes an exchange whose body is read only after the request's write has ended, and returns the
// body and the error that ended it.
func readLate(t *testing.T, end func(net.Conn)) (string, error) {
	t.Helper()
	server := serve(t, func(conn net.Conn, requests *bufio.Reader) {
		if _, err := http.ReadRequest(requests); err != nil {
			return
		}
		_, _ = conn.Write([]byte(unframedResponse))
		time.Sleep(20 * time.Millisecond)
		end(conn)
	})
	client := &Client{}
	defer client.Close()
	r := request("1")
	r.Body = []byte(strings.Repeat("x", 8<<20))
	response, err := client.Do(t.Context(), "key", server.address, r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Close()
	select {
	case <-response.written.done:
	case <-time.After(5 * time.Second):
		t.Fatal("the request is still being written after 5 s")
	}
	body, err := io.ReadAll(response)
	return string(body), err
}

// TestResetSeenByTheWriteIsNotTheEndOfABody guards against a body without a length or chunks that counts as
// complete though its connection was reset: the kernel reports the reset once, here to the write of the
// request, and the end of the data to the read.
func TestResetSeenByTheWriteIsNotTheEndOfABody(t *testing.T) {
	body, err := readLate(t, func(conn net.Conn) {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	})
	if err == nil {
		t.Errorf("got %q as a complete body, want an error", body)
	}
}

// TestResetDuringTheWriteIsNotTheEndOfABody guards against the same failure while the write and the read
// wait for the connection at the same time, so that either may see the reset.
func TestResetDuringTheWriteIsNotTheEndOfABody(t *testing.T) {
	server := serve(t, func(conn net.Conn, requests *bufio.Reader) {
		if _, err := http.ReadRequest(requests); err != nil {
			return
		}
		_, _ = conn.Write([]byte(unframedResponse))
		time.Sleep(time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	client := &Client{}
	defer client.Close()
	r := request("1")
	r.Body = []byte(strings.Repeat("x", 8<<20))
	for range 100 {
		if body, err := exchange(t, client, server.address, r); err == nil {
			t.Fatalf("got %q as a complete body, want an error", body)
		}
	}
}

// TestOrderlyCloseIsTheEndOfABody guards against an early response that counts as broken off, because the
// backend server, after an orderly close, resets the connection for the rest of the request.
func TestOrderlyCloseIsTheEndOfABody(t *testing.T) {
	for name, end := range map[string]func(net.Conn){
		"reset after the close": func(conn net.Conn) {
			_ = conn.(*net.TCPConn).CloseWrite()
			time.Sleep(20 * time.Millisecond)
		},
		"request read": func(conn net.Conn) {
			_ = conn.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		},
	} {
		if body, err := readLate(t, end); err != nil || body != "half" {
			t.Errorf("%s: got %q (%v), want half", name, body, err)
		}
	}
}
