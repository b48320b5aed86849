package service

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/httpclient"
)

// respondNaming responds to the two requests of a connection, each time with a header that may name a request.
func respondNaming(conn net.Conn, headers ...string) {
	defer func() { _ = conn.Close() }()
	requests := bufio.NewReader(conn)
	for _, header := range headers {
		if _, err := http.ReadRequest(requests); err != nil {
			return
		}
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+header+"Content-Length: 4\r\n\r\nfrom"); err != nil {
			return
		}
	}
}

// TestFurtherResponseDoesNotAnswerTheNextCall guards against a response that a server sends after a complete one, and
// that a caller gets in place of its own.
func TestFurtherResponseDoesNotAnswerTheNextCall(t *testing.T) {
	for _, further := range []string{"X-Request-Id: 1\r\n", ""} {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		go func() {
			if conn, err := listener.Accept(); err == nil {
				respondNaming(conn, "X-Request-Id: 1\r\n", further)
			}
		}()
		named := 0
		client := &Client{
			Address: listener.Addr().String(),
			HTTP:    httpclient.New(),
			OnNamed: func() { named++ },
		}
		call := func(id string) error {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := client.Call(ctx, slipwick.ServiceRequest{
				ID:     id,
				Method: http.MethodGet,
				Path:   "/x",
				Header: http.Header{},
			})
			return err
		}
		if err := call("1"); err != nil || named != 1 {
			t.Fatalf("got the error %v and %d responses that name their request, want the response", err, named)
		}
		client.Names = true
		failure, ok := slipwick.AsError(call("2"))
		if !ok || failure.Kind != slipwick.KindBackendError || failure.Outcome != slipwick.OutcomeUnknown {
			t.Errorf("further response %q: got %v, want an unknown outcome", further, failure)
		}
	}
}
