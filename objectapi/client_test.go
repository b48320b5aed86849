package objectapi

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/slipwick/slipwick"
)

// TestObjectOverTheLimitIsRejected guards against a body that is cut off at the limit, and then taken for the
// whole object.
func TestObjectOverTheLimitIsRejected(t *testing.T) {
	size := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("ETag", `"7"`)
		_, _ = w.Write(make([]byte, size))
	}))
	defer server.Close()
	client := &Client{
		BaseURL: server.URL,
		HTTP:    server.Client(),
	}
	size = slipwick.MaxObjectBytes
	if got, err := client.Get(t.Context(), "k"); err != nil || len(got.Value) != size || got.Version != 7 {
		t.Errorf("got %d bytes of version %d and error %v, want all %d", len(got.Value), got.Version, err, size)
	}
	size++
	if got, err := client.Get(t.Context(), "k"); !slipwick.IsKind(err, slipwick.KindUnavailable) {
		t.Errorf("got %d bytes and error %v for an object over the limit, want it rejected", len(got.Value), err)
	}
}
