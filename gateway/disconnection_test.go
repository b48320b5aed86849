package gateway

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestDisconnectedCallerGetsNoSuccess guards against an empty 200, which net/http writes for a handler
// that writes nothing: a caller that has only closed its sending side counts as disconnected, and would
// take the response for that of the backend server.
func TestDisconnectedCallerGetsNoSuccess(t *testing.T) {
	t.Parallel()
	b := newBackend(t, "b1", func(_ *backend, _ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	f := newMemoryFixture(t, 1<<20, b)
	conn := f.dialCaller(t, "/single/x", "Content-Length: 0\r\n")
	awaitCondition(t, "request at the backend server", func() bool { return b.last.Load() != nil })
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(maxCallerWait))
	if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
		t.Errorf("got %s, want the connection closed without a response", response.Status)
		_ = response.Body.Close()
	}
	f.awaitReleased(t)
}
