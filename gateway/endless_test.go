package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// respondEndless returns a handler that responds with the status, the stamp, the request's ID and the rest of a head,
// and then repeats text, after each pause, until its connection is closed.
func respondEndless(status, rest, text string, pause time.Duration) func(*backend, http.ResponseWriter, *http.Request) {
	return func(b *backend, w http.ResponseWriter, r *http.Request) {
		conn, buffer, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = fmt.Fprintf(buffer, "HTTP/1.1 %s\r\nSlipwick-Request: %s\r\nSlipwick-Stamp: %s\r\n%s",
			status, r.Header.Get("Slipwick-Request"), b.id, rest)
		for err = buffer.Flush(); err == nil; time.Sleep(pause) {
			_, err = io.WriteString(conn, text)
		}
	}
}

// TestServersWithoutEndCostNoRequest guards against a server in trouble that keeps a request until its deadline by
// bytes without end, though another server could take it.
func TestServersWithoutEndCostNoRequest(t *testing.T) {
	const (
		length   = "Content-Length: 100000000000\r\n\r\n"
		unknown  = "\r\n"
		rejected = "Slipwick-Not-Run: 1\r\n"
		slow     = 10 * time.Millisecond
	)
	long := strings.Repeat("x", 32<<10)
	for _, test := range []struct {
		name, path, status, rest, text string
		pause                          time.Duration
		// want is the status that the caller gets; a 200 comes from the other server.
		want int
	}{
		{"head", "/repeatable/x", "200 OK", "X: y", long, 0, http.StatusOK},
		{"head, may not be repeated", "/single/x", "200 OK", "X: y", long, 0, http.StatusBadGateway},
		{"rejected, length", "/single/x", "503 No", rejected + length, long, 0, http.StatusOK},
		{"rejected, no length", "/single/x", "503 No", rejected + unknown, long, 0, http.StatusOK},
		{"rejected, slow", "/single/x", "503 No", rejected + length, "x", slow, http.StatusOK},
		{"redirected, slow", "/single/x", "421 No", unknown, "x", slow, http.StatusOK},
		{"failed, length", "/repeatable/x", "500 No", length, long, 0, http.StatusOK},
		{"failed, no length", "/repeatable/x", "500 No", unknown, long, 0, http.StatusOK},
		{"not genuine", "/repeatable/x", "200 OK", "Content-Encoding: gzip\r\n" + unknown, "x", slow, http.StatusOK},
		{"no event", "/resumable/x", "200 OK", unknown, long, 0, http.StatusOK},
		{"comments", "/resumable/x", "200 OK", unknown, strings.Repeat(": c\n\n", 1000), 0, http.StatusOK},
		{"blank lines", "/resumable/x", "200 OK", unknown, strings.Repeat("\n", 4000), 0, http.StatusOK},
	} {
		t.Run(test.name, func(t *testing.T) {
			troubled := newBackend(t, "b1", respondEndless(test.status, test.rest, test.text, test.pause))
			sound := newBackend(t, "b2", respondWith(http.StatusOK, event("1")))
			f := newFixture(t, troubled, sound)
			started := time.Now()
			got := f.post(t, test.path)
			// The route's time-out is 5 s.
			if took := time.Since(started); took > 3*time.Second {
				t.Errorf("got the response after %v, want it within 3 s", took)
			}
			if got.status != test.want || got.bodyErr != nil {
				t.Errorf("got status %d (%v), want %d", got.status, got.bodyErr, test.want)
			}
			if test.want == http.StatusOK && !strings.HasSuffix(got.body, event("1")) {
				t.Errorf("got %d bytes, want the other server's response at their end", len(got.body))
			}
			if got := f.gateway.Client.OpenConns(troubled.id); got != 0 {
				t.Errorf("got %d connections to the server in trouble, want none", got)
			}
		})
	}
}
