package engine

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/slipwick/slipwick/httpclient"
)

// TestReportsWithoutEndAreGivenUp guards against an engine in trouble whose reports take the memory of a router.
func TestReportsWithoutEndAreGivenUp(t *testing.T) {
	const all = 256 << 20
	var sent int
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		long, err := strings.Repeat("x", 64<<10), error(nil)
		_, _ = io.WriteString(w, `{"running":"`)
		for sent = 0; sent < all && err == nil; sent += len(long) {
			_, err = io.WriteString(w, long)
		}
	}))
	client := &Client{
		Address: server.Listener.Addr().String(),
		HTTP:    httpclient.New(),
	}
	if _, err := client.Load(t.Context()); err == nil {
		t.Error("got a load report, want an error")
	}
	client.HTTP.CloseIdleConnections()
	server.Close()
	if sent >= all/4 {
		t.Errorf("got %d MB read, want some %d", sent>>20, maxControlBytes>>20)
	}
}
