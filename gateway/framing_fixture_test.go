package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// resetDelay is how long after a response its connection is reset.
const resetDelay = 20 * time.Millisecond

// ending is how a backend server ends the connection after a response.
type ending int

const (
	endsOrderly ending = iota
	endsByReset
)

// respondUnframed returns a handler that runs the request and responds with neither a length nor chunks:
// only the end of the connection says that the body is over.
func respondUnframed(
	t *testing.T, contentType, body string, end ending,
) func(*backend, http.ResponseWriter, *http.Request) {
	return func(b *backend, w http.ResponseWriter, r *http.Request) {
		b.runs.Add(1)
		conn, buffer, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = conn.Close() }()
		if end == endsByReset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_, _ = fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\n", contentType)
		_, _ = fmt.Fprintf(buffer, "Slipwick-Request: %s\r\nSlipwick-Stamp: %s\r\n\r\n%s",
			r.Header.Get("Slipwick-Request"), b.id, body)
		_ = buffer.Flush()
		if end == endsByReset {
			// A reset drops what has not arrived yet.
			time.Sleep(resetDelay)
		}
	}
}
