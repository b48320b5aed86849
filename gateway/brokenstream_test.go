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

// TestStreamCutInsideAnEventIsResumed guards against a resumable stream that is not continued at another
// backend server, because its response ended without an error inside an event.
func TestStreamCutInsideAnEventIsResumed(t *testing.T) {
	for _, framing := range []string{"close", "chunked", "length"} {
		f := newFixture(t, newBackend(t, "b1", streamWith(t, framing, event("1")+"id: 2\ndata")),
			newBackend(t, "b2", streamWith(t, framing, event("2")+event("3"))))
		got := f.post(t, "/resumable/x")
		if want := event("1") + event("2") + event("3"); got.body != want || got.bodyErr != nil {
			t.Errorf("%s: got %q (%v), want %q", framing, got.body, got.bodyErr, want)
		}
	}
}

// TestStreamThatEndsBetweenEventsIsComplete guards against a complete stream that is taken for a broken one
// because of its line ends, of what follows its last event, or of its content type.
func TestStreamThatEndsBetweenEventsIsComplete(t *testing.T) {
	for _, body := range []string{
		"",
		event("1"),
		"id: 1\r\ndata: d1\r\n\r\n",
		"id: 1\rdata: d1\r\r",
		"id: 1\rdata: d1\r\r\n",
		"id: 1\r\ndata: d1\n\r\n",
		event("1") + "\n",
		event("1") + ": comment\n",
		event("1") + ": comment\r\n\r\n\n",
	} {
		for _, framing := range []string{"close", "chunked", "length"} {
			f := newFixture(t, newBackend(t, "b1", streamWith(t, framing, body)))
			got := f.post(t, "/stream/x")
			if got.status != http.StatusOK || got.body != body || got.bodyErr != nil {
				t.Errorf("%s: got %d %q (%v), want %q", framing, got.status, got.body, got.bodyErr, body)
			}
		}
	}
	f := newFixture(t, newBackend(t, "b1", respondUnframed(t, "application/json", "{}", endsOrderly)))
	if got := f.post(t, "/stream/x"); got.body != "{}" || got.bodyErr != nil {
		t.Errorf("other content type: got %d %q (%v), want {}", got.status, got.body, got.bodyErr)
	}
}

// TestResetStreamIsNotComplete guards against a caller that takes a stream for complete which ended with a
// reset between two events.
func TestResetStreamIsNotComplete(t *testing.T) {
	f := newFixture(t, newBackend(t, "b1", respondUnframed(t, "text/event-stream", event("1"), endsByReset)))
	if got := f.post(t, "/stream/x"); got.bodyErr == nil || got.body != event("1") {
		t.Errorf("got %q (%v), want the first event and an error", got.body, got.bodyErr)
	}
}
