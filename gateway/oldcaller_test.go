package gateway

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"
)

// oldCaller makes a request with HTTP/1.0 and returns the body and the error that ended it; the response to
// such a request has no chunks. stop, if not nil, is called after the head of the response.
func (f *fixture) oldCaller(t *testing.T, path string, stop func(*httptest.Server)) (string, error) {
	t.Helper()
	server := httptest.NewUnstartedServer(f.gateway)
	server.Config.ConnContext = ConnContext
	server.Start()
	defer server.Close()
	conn, err := net.Dial("tcp4", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.0\r\nHost: a.example\r\nAuthorization: Bearer good\r\n"+
		"Slipwick-Request: q1\r\n\r\n", path)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if len(response.TransferEncoding) > 0 {
		t.Errorf("got the transfer encodings %v, want none", response.TransferEncoding)
	}
	if stop != nil {
		stop(server)
	}
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// TestOldCallerSeesThatAResponseIsIncomplete guards against a caller with HTTP/1.0 that takes a response for
// complete, because an orderly close is the only end that it knows.
func TestOldCallerSeesThatAResponseIsIncomplete(t *testing.T) {
	hang := func(b *backend, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Slipwick-Stamp", b.id)
		_, _ = io.WriteString(w, event("1"))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
	for name, tc := range map[string]struct {
		path    string
		respond func(*backend, http.ResponseWriter, *http.Request)
		stop    func(*httptest.Server)
	}{
		"stream":         {"/stream/x", breakAfter(event("1") + "id: 2\nda"), nil},
		"large response": {"/single/x", breakAfter(strings.Repeat("x", maxBufferedBytes+1)), nil},
		"router stops":   {"/stream/x", hang, func(s *httptest.Server) { _ = s.Config.Close() }},
	} {
		f := newFixture(t, newBackend(t, "b1", tc.respond))
		if body, err := f.oldCaller(t, tc.path, tc.stop); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("%s: got %d bytes and the end %v, want a reset", name, len(body), err)
		}
	}
}

// TestOldCallerGetsCompleteResponses guards against a caller with HTTP/1.0 whose complete response ends with
// a reset.
func TestOldCallerGetsCompleteResponses(t *testing.T) {
	large := strings.Repeat("x", 4*maxBufferedBytes)
	for path, want := range map[string]string{
		"/stream/x": event("1") + event("2"),
		"/single/x": large,
	} {
		f := newFixture(t, newBackend(t, "b1", withHeaders(respondWith(http.StatusOK, want), "Transfer-Encoding", "chunked")))
		if body, err := f.oldCaller(t, path, nil); err != nil || body != want {
			t.Errorf("%s: got %d bytes and the end %v, want %d bytes", path, len(body), err, len(want))
		}
	}
}
