package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/slipwick/slipwick/memory"
)

// TestMemoryIsReleasedOnEveryPath guards against bytes that stay counted after a request that was cut,
// retried, refused, failed, or whose caller disconnected; for each kind of end with a body of 100 KB.
func TestMemoryIsReleasedOnEveryPath(t *testing.T) {
	t.Parallel()
	large := strings.Repeat("x", 3*maxBufferedBytes)
	for name, one := range map[string]struct {
		path   string
		handle func(*backend, http.ResponseWriter, *http.Request)
	}{
		"delivered":       {"/single/x", respondWith(http.StatusOK, "answer")},
		"large":           {"/single/x", respondWith(http.StatusOK, large)},
		"failed":          {"/repeatable/x", respondWith(http.StatusInternalServerError, "failure")},
		"large failure":   {"/repeatable/x", respondWith(http.StatusInternalServerError, large)},
		"cut":             {"/stream/x", breakAfter(event("1"))},
		"resumed in vain": {"/resumable/x", breakAfter(event("1"))},
		"large event":     {"/stream/x", respondWith(http.StatusOK, "data: "+large)},
		"big event":       {"/stream/x", respondWith(http.StatusOK, "data: "+large[:100_000]+"\n\n")},
		"not run":         {"/repeatable/x", rejectNotRun},
		"broken":          {"/repeatable/x", breakAfter("")},
	} {
		f := newMemoryFixture(t, 16<<20, newBackends(t, 2, one.handle)...)
		got := send(t, f.request(t, one.path, strings.Repeat("y", 100_000)))
		f.awaitReleased(t)
		if peak := f.gateway.Memory.Peak(); peak < 100_000 {
			t.Errorf("%s: got status %d and a peak of %d bytes, want the body counted", name, got.status, peak)
		}
	}
}

// TestMemoryIsReleasedWhenCallersDisconnect has callers disconnect before a response and in a stream.
func TestMemoryIsReleasedWhenCallersDisconnect(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/single/x", "/stream/x"} {
		f := newMemoryFixture(t, 16<<20, newBackend(t, "b1", func(b *backend, w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Slipwick-Stamp", b.id)
			if strings.HasPrefix(r.RequestURI, "/stream/") {
				_, _ = io.WriteString(w, event("1"))
				_ = http.NewResponseController(w).Flush()
			}
			<-r.Context().Done()
		}))
		ctx, disconnect := context.WithTimeout(t.Context(), 300*time.Millisecond)
		response, err := http.DefaultClient.Do(f.request(t, path, strings.Repeat("y", 100_000)).WithContext(ctx))
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		disconnect()
		f.awaitReleased(t)
	}
}

// TestResponsesWithoutMemoryAreForwarded has no room for buffers: plain responses and streams have to be
// forwarded completely with the base bytes of their requests.
func TestResponsesWithoutMemoryAreForwarded(t *testing.T) {
	t.Parallel()
	plain, events := strings.Repeat("x", 300_000), largeEvents(50)
	f := newMemoryFixture(t, 1<<20, newBackend(t, "b1", func(b *backend, w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.RequestURI, "/stream/") {
			respondWith(http.StatusOK, events)(b, w, r)
			return
		}
		respondWith(http.StatusOK, plain)(b, w, r)
	}))
	full := f.gateway.Memory.NewReservation()
	full.TryGrow(memory.Body, 1<<20-2*baseBytes)
	for path, want := range map[string]string{"/single/x": plain, "/stream/x": events} {
		if got := send(t, f.request(t, path, "")); got.status != http.StatusOK || got.body != want || got.bodyErr != nil {
			t.Errorf("%s: got %d and %d bytes (%v), want %d", path, got.status, len(got.body), got.bodyErr, len(want))
		}
	}
	full.Release()
	f.awaitReleased(t)
}
