package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

func event(id string) string {
	return "id: " + id + "\ndata: d" + id + "\n\n"
}

func TestStreamIsForwardedCompletely(t *testing.T) {
	want := event("1") + event("2") + event("3")
	f := newFixture(t, newBackend(t, "b1", respondWith(http.StatusOK, want)))
	got := f.post(t, "/stream/x")
	if got.status != http.StatusOK || got.body != want || got.bodyErr != nil {
		t.Errorf("got %d %q (%v), want %q", got.status, got.body, got.bodyErr, want)
	}
}

func TestNonResumableStreamEndsWithAnError(t *testing.T) {
	second := newBackend(t, "b2", respondWith(http.StatusOK, event("2")))
	f := newFixture(t, newBackend(t, "b1", breakAfter(event("1")+"id: 2\nda")), second)
	got := f.post(t, "/stream/x")
	if got.bodyErr == nil {
		t.Errorf("got %q as a complete response, want it broken off", got.body)
	}
	if got.body != event("1") {
		t.Errorf("got %q, want only the complete events", got.body)
	}
	if got := second.runs.Load(); got != 0 {
		t.Errorf("got %d further runs, want 0", got)
	}
}

func TestStreamBrokenBeforeItsFirstEventGetsBadGateway(t *testing.T) {
	f := newFixture(t,
		newBackend(t, "b1", breakAfter("id: 1\nda")), newBackend(t, "b2", respondWith(http.StatusOK, event("1"))))
	if got := f.post(t, "/stream/x"); got.status != http.StatusBadGateway {
		t.Errorf("got %d, want 502: the request may have run", got.status)
	}
}

// TestStreamIsResumedWithinOneResponse has the second backend server repeat an event that the
// caller already has.
func TestStreamIsResumedWithinOneResponse(t *testing.T) {
	second := newBackend(t, "b2", func(b *backend, w http.ResponseWriter, r *http.Request) {
		if got := r.Header.Get("Last-Event-Id"); got != "2" {
			t.Errorf("resumed after event %q, want 2", got)
		}
		respondWith(http.StatusOK, event("2")+event("3")+event("4"))(b, w, r)
	})
	f := newFixture(t, newBackend(t, "b1", breakAfter(event("1")+event("2")+"id: 3\nda")), second)
	got := f.post(t, "/resumable/x")
	want := event("1") + event("2") + event("3") + event("4")
	if got.body != want || got.bodyErr != nil {
		t.Errorf("got %q (%v), want %q", got.body, got.bodyErr, want)
	}
	if got := got.header.Get("Slipwick-Stamp"); got != "b1" {
		t.Errorf("got the stamp of %s, want the first backend server's", got)
	}
}

// TestHangingStreamIsResumedAtAnotherBackend has the first backend server stop sending in the
// middle of the stream while its connection stays open.
func TestHangingStreamIsResumedAtAnotherBackend(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	first := newBackend(t, "b1", func(b *backend, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Slipwick-Stamp", b.id)
		_, _ = io.WriteString(w, event("1"))
		_ = http.NewResponseController(w).Flush()
		<-release
	})
	f := newFixture(t, first, newBackend(t, "b2", respondWith(http.StatusOK, event("2"))))
	got := f.post(t, "/resumable/x")
	if want := event("1") + event("2"); got.body != want || got.bodyErr != nil {
		t.Errorf("got %q (%v), want %q", got.body, got.bodyErr, want)
	}
}

func TestStreamThatCannotBeResumedEndsWithAnError(t *testing.T) {
	for name, second := range map[string]func(*backend, http.ResponseWriter, *http.Request){
		"breaks again": breakAfter(event("3")),
		"fails":        respondWith(http.StatusInternalServerError, "failure"),
		"not found":    respondWith(http.StatusNotFound, "nothing"),
		"no stamp": func(_ *backend, w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, event("3"))
		},
	} {
		f := newFixture(t, newBackend(t, "b1", breakAfter(event("1")+event("2"))), newBackend(t, "b2", second))
		got := f.post(t, "/resumable/x")
		if got.bodyErr == nil {
			t.Errorf("%s: got %q as a complete response, want it broken off", name, got.body)
		}
		if !strings.HasPrefix(event("1")+event("2")+event("3"), got.body) {
			t.Errorf("%s: got %q, want only events in order", name, got.body)
		}
	}
}
