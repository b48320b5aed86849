package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// sendPartThenWait returns a handler that sends size bytes of a longer response and then nothing until the
// request ends.
func sendPartThenWait(size int) func(*backend, http.ResponseWriter, *http.Request) {
	return func(b *backend, w http.ResponseWriter, r *http.Request) {
		b.runs.Add(1)
		w.Header().Set("Slipwick-Stamp", b.id)
		_, _ = io.WriteString(w, strings.Repeat("x", size))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
}

// TestCallersEndIsNoFailureOfTheServer guards against a server that is ejected because callers with short
// deadlines, or who disconnect, end responses that it has begun.
func TestCallersEndIsNoFailureOfTheServer(t *testing.T) {
	for _, test := range []struct {
		name        string
		size        int
		disconnects bool
	}{
		{"deadline", 100, false},
		{"deadline, large response", maxBufferedBytes + 100, false},
		{"disconnect", 100, true},
		{"disconnect, large response", maxBufferedBytes + 100, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, newBackend(t, "b1", sendPartThenWait(test.size)))
			ctx, disconnect := context.WithCancel(t.Context())
			defer disconnect()
			r := f.request(t, "/single/x", "question").WithContext(ctx)
			if test.disconnects {
				time.AfterFunc(150*time.Millisecond, disconnect)
			} else {
				r.Header.Set("Slipwick-Deadline-Ms", "150")
			}
			if response, err := http.DefaultClient.Do(r); err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
			for deadline := time.Now().Add(3 * time.Second); f.gateway.InFlight() > 0; time.Sleep(5 * time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("got the request still in progress after 3 s, want it ended")
				}
			}
			if got := f.gateway.Balancer.States()[0].ErrorRate; got != 0 {
				t.Errorf("got an error rate of %v, want 0", got)
			}
			if got := f.gateway.Balancer.RequestsInFlight("p"); got != 0 {
				t.Errorf("got %v requests in flight at the end, want 0", got)
			}
		})
	}
}
