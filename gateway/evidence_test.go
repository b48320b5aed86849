package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
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

// TestHungBodyCountsAtTheDeadline guards against a server that hangs in the middle of each body and isn't
// noticed, because its next responses begin before it counts as unresponsive. A server that sends a body
// until the deadline of the request is not at fault.
func TestHungBodyCountsAtTheDeadline(t *testing.T) {
	const deadline = 3 * defaultFirstByteTimeout
	sendSlowly := func(b *backend, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Slipwick-Stamp", b.id)
		for r.Context().Err() == nil {
			_, _ = io.WriteString(w, "x")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(defaultFirstByteTimeout / 10)
		}
	}
	for name, test := range map[string]struct {
		handle func(*backend, http.ResponseWriter, *http.Request)
		want   int
	}{
		"hangs":        {sendPartThenWait(100), 1},
		"sends slowly": {sendSlowly, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, newBackend(t, "b1", test.handle))
			r := f.request(t, "/single/x", "question")
			r.Header.Set("Slipwick-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
			if got := send(t, r); got.status != http.StatusGatewayTimeout {
				t.Errorf("got %d, want 504", got.status)
			}
			got := 0
			for _, outcome := range f.gateway.Balancer.TakeUpdate().Outcomes {
				got += outcome.Failed
			}
			if got != test.want {
				t.Errorf("got %d failures of the server, want %d", got, test.want)
			}
		})
	}
}

// TestServerThatSendsABodySlowlyIsResponsive guards against a server that gets no more requests because it
// sends a response body for longer than a server may be silent, while another request waits there.
func TestServerThatSendsABodySlowlyIsResponsive(t *testing.T) {
	const pieces, interval = 24, 50 * time.Millisecond
	for name, size := range map[string]int{
		"buffered": 100,
		"large":    maxBufferedBytes + 100,
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, newBackend(t, "b1", func(b *backend, w http.ResponseWriter, r *http.Request) {
				if strings.HasSuffix(r.URL.Path, "/wait") {
					time.Sleep(pieces * interval)
					respondWith(http.StatusOK, "answer")(b, w, r)
					return
				}
				respondWith(http.StatusOK, strings.Repeat("x", size))(b, w, r)
				for range pieces {
					_ = http.NewResponseController(w).Flush()
					time.Sleep(interval)
					_, _ = io.WriteString(w, "x")
				}
			}))
			var both sync.WaitGroup
			both.Go(func() { f.post(t, "/single/wait") })
			both.Go(func() {
				if got := f.post(t, "/single/slow"); len(got.body) != size+pieces {
					t.Errorf("got %d bytes, want %d", len(got.body), size+pieces)
				}
			})
			for range pieces - 4 {
				time.Sleep(interval)
				if f.gateway.Balancer.States()[0].Unresponsive {
					t.Error("got a server that counts as unresponsive while it sends a response, want it usable")
					break
				}
			}
			both.Wait()
		})
	}
}
