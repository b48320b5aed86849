package gatewayd

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestCallersConnectionCanBeReset guards against an incomplete response that a caller with HTTP/1.0 takes
// for complete, because the connection that the listener wraps can't be reset.
func TestCallersConnectionCanBeReset(t *testing.T) {
	f := newFixture(t)
	f.backend.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Slipwick-Request", r.Header.Get("Slipwick-Request"))
		w.Header().Set("Slipwick-Stamp", "s")
		// A response of this size is forwarded before it is complete.
		_, _ = io.WriteString(w, strings.Repeat("x", 2<<20))
		panic(http.ErrAbortHandler)
	})
	r := startReady(t, f, "r1")
	conn, err := net.Dial("tcp4", r.Settings.Listen.Callers)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(conn, "GET /1/x HTTP/1.0\r\nHost: a.example\r\nSlipwick-Request: q\r\n\r\n")
	if body, err := io.ReadAll(conn); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got %d bytes and the end %v, want a reset", len(body), err)
	}
}
