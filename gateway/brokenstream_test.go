package gateway

import (
	"net/http"
	"testing"
)

// streamWith returns a handler that responds with an event stream whose body has the framing.
func streamWith(t *testing.T, framing, body string) func(*backend, http.ResponseWriter, *http.Request) {
	const contentType = "text/event-stream"
	if framing == "close" {
		return respondUnframed(t, contentType, body, endsOrderly)
	}
	respond := withHeaders(respondWith(http.StatusOK, body), "Content-Type", contentType)
	if framing == "chunked" {
		return withHeaders(respond, "Transfer-Encoding", "chunked")
	}
	return respond
}

// TestStreamCutInsideAnEventIsNotComplete guards against a caller that takes a stream for complete whose
// backend server broke it off inside an event, however the end of the response is marked.
func TestStreamCutInsideAnEventIsNotComplete(t *testing.T) {
	whole := event("1") + event("2")
	for _, framing := range []string{"close", "chunked", "length"} {
		for cut := len(event("1")) + 1; cut < len(whole); cut++ {
			f := newFixture(t, newBackend(t, "b1", streamWith(t, framing, whole[:cut])))
			got := f.post(t, "/stream/x")
			if got.bodyErr == nil || got.body != event("1") {
				t.Errorf("%s, cut after %d bytes: got %q (%v), want the first event and an error",
					framing, cut, got.body, got.bodyErr)
			}
		}
		f := newFixture(t, newBackend(t, "b1", streamWith(t, framing, "id: 1\nda")))
		if got := f.post(t, "/stream/x"); got.status != http.StatusBadGateway {
			t.Errorf("%s, cut in the first event: got %d %q, want 502", framing, got.status, got.body)
		}
	}
}
