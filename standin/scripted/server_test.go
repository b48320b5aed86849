package scripted

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/slipwick/slipwick/gateway"
)

// newServer starts a server that answers all sends by one plan, and returns a connection to it.
func newServer(t *testing.T, ledger *Ledger, plan Plan) (net.Conn, *bufio.Reader) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &Server{
		ID:       "s",
		Listener: listener,
		Headers:  gateway.DefaultHeaders(),
		Ledger:   ledger,
		Slots:    1,
		Queue:    1,
		Plan:     func(Send) Plan { return plan },
	}
	go server.Run()
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	const limit = 5 * time.Second
	if err := conn.SetDeadline(time.Now().Add(limit)); err != nil {
		t.Fatal(err)
	}
	return conn, bufio.NewReader(conn)
}

// writeHead writes the head of a request with a body.
func writeHead(t *testing.T, conn net.Conn, id string, bodyBytes int) {
	t.Helper()
	_, err := fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: h\r\n%s: %s\r\nContent-Length: %d\r\n\r\n",
		gateway.DefaultHeaders().RequestID, id, bodyBytes)
	if err != nil {
		t.Fatal(err)
	}
}

// expectStatus reads a response with a status.
func expectStatus(t *testing.T, reader *bufio.Reader, want int) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if got := response.StatusCode; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
}

// TestEarlyResponsePrecedesTheBody guards against early responses that wait for the body, and against a remainder of a
// body that isn't read, or not compared with what the caller sent.
func TestEarlyResponsePrecedesTheBody(t *testing.T) {
	ledger := NewLedger()
	for _, id := range []string{"a", "b"} {
		ledger.Sent(Request{
			ID:   id,
			Body: "body",
		})
	}
	conn, reader := newServer(t, ledger, Plan{
		Action:  ActionReject,
		IsEarly: true,
	})
	for id, body := range map[string]string{
		"a": "body",
		"b": "POST",
	} {
		writeHead(t, conn, id, len(body))
		expectStatus(t, reader, http.StatusServiceUnavailable)
		if _, err := fmt.Fprint(conn, body); err != nil {
			t.Fatal(err)
		}
	}
	// The response to a third request follows the remainder of the second one.
	writeHead(t, conn, "c", 0)
	expectStatus(t, reader, http.StatusNotFound)
	violations := ledger.Violations()
	requests := make(map[string]Rule)
	for _, v := range violations {
		requests[v.Request] = v.Rule
	}
	if len(requests) != 2 || requests["b"] != IsUnasked || requests["c"] != IsUnasked {
		t.Errorf("got %v, want %s for the changed body of b and for c, which no caller sent", violations, IsUnasked)
	}
}

// TestIdleConnectionIsClosed guards against connections that stay open, or that end before a request on them is over.
func TestIdleConnectionIsClosed(t *testing.T) {
	ledger := NewLedger()
	ledger.Sent(Request{
		ID: "a",
	})
	const maxIdle, pause = 20 * time.Millisecond, 60 * time.Millisecond
	conn, reader := newServer(t, ledger, Plan{
		Pause:   pause,
		MaxIdle: maxIdle,
	})
	writeHead(t, conn, "a", 0)
	expectStatus(t, reader, http.StatusOK)
	ended := time.Now()
	if _, err := reader.ReadByte(); err == nil {
		t.Error("got a byte on an idle connection, want its end")
	}
	if took := time.Since(ended); took < maxIdle/2 {
		t.Errorf("got the end of the connection after %v, want it after %v", took, maxIdle)
	}
}

// TestStalledResponseKeepsItsConnection guards against a stalled response that ends, or is whole.
func TestStalledResponseKeepsItsConnection(t *testing.T) {
	ledger := NewLedger()
	ledger.Sent(Request{
		ID: "a",
	})
	const rejectionBytes = 60
	conn, reader := newServer(t, ledger, Plan{
		Action:         ActionReject,
		RejectionBytes: rejectionBytes,
		End:            EndStalled,
	})
	writeHead(t, conn, "a", 0)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	const wait = 50 * time.Millisecond
	if err := conn.SetReadDeadline(time.Now().Add(wait)); err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if got, want := len(body), rejectionBytes/2; got != want || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %d bytes of the body and %v, want %d and an open connection", got, err, want)
	}
}

// TestFurtherResponseMayAnnounceAWrongLength guards against further responses whose length is right.
func TestFurtherResponseMayAnnounceAWrongLength(t *testing.T) {
	ledger := NewLedger()
	for _, id := range []string{"a", "b"} {
		ledger.Sent(Request{
			ID: id,
		})
	}
	const bodyBytes, lengthError = 40, 30
	conn, reader := newServer(t, ledger, Plan{
		Action: ActionReject,
		Further: []Further{
			{
				Moment:      WhereDue,
				Content:     SameRequest,
				Status:      http.StatusServiceUnavailable,
				BodyBytes:   bodyBytes,
				LengthError: lengthError,
			},
		},
	})
	writeHead(t, conn, "a", 0)
	expectStatus(t, reader, http.StatusServiceUnavailable)
	writeHead(t, conn, "b", 0)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Repeat("f", bodyBytes) + "HTTP/1.1 503 Service Unavailable"[:lengthError]
	if got := string(body); got != want {
		t.Errorf("got the body %q, want %q", got, want)
	}
}
