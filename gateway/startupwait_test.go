package gateway

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick/clock"
)

// TestStartingRouterHoldsOnlyUncachedPrompts covers a router that does not know yet which prompts
// the engines have cached: only requests whose prompt no engine is known to have cached wait.
func TestStartingRouterHoldsOnlyUncachedPrompts(t *testing.T) {
	for _, test := range []struct {
		name, path, prompt string
		wait               time.Duration
	}{
		{"no prompt", "/affine/x", "", 0},
		{"a cached prompt", "/affine/x", "ab:100,cd:10", 0},
		// Prefilling these prompts again takes 1.1, 200.1 and 900.1 ms by the balancer's default values.
		{"a short uncached prompt", "/affine/x", "ef:100,cd:10", 1100 * time.Microsecond},
		{"a long uncached prompt", "/affine/x", "ef:20000,cd:10", 200100 * time.Microsecond},
		{"a very long uncached prompt", "/affine/x", "ef:90000,cd:10", startupWait},
		// Prefilling this prompt again takes 178.62 ms at most: after a wait of more than 21.38 ms the
		// response would miss the objective of 200 ms.
		{"an uncached prompt with an objective", "/soon/x", "ef:8000,cd:10", 21380 * time.Microsecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBackend(t, "b1", respondWith(http.StatusOK, "answer"))
			f := newFixture(t, b)
			// The clock stands still while the backend server, which is outside of the bubble, responds.
			synctest.Test(t, func(t *testing.T) {
				f.gateway.CachesKnown = make(chan struct{})
				f.gateway.Balancer = newBalancer([]*backend{b})
				f.gateway.Balancer.RecordCachedParts("b1", []uint64{PartKey("ab")})
				request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, test.path, strings.NewReader("question"))
				request.Host = "a.example"
				request.Header.Set("Authorization", "Bearer good")
				request.Header.Set("Slipwick-Request", "q1")
				if test.prompt != "" {
					request.Header.Set("Slipwick-Prompt", test.prompt)
				}
				response := httptest.NewRecorder()
				started := time.Now()
				f.gateway.ServeHTTP(response, request)
				if got, took := response.Code, time.Since(started); got != http.StatusOK || took != test.wait {
					t.Errorf("got status %d after %v, want 200 after %v", got, took, test.wait)
				}
			})
		})
	}
}

// TestStartingRouterServesOnceCachesAreKnown has the router learn which engines have which
// prompts cached while a request waits for that.
func TestStartingRouterServesOnceCachesAreKnown(t *testing.T) {
	f := newFixture(t, newBackend(t, "b1", respondWith(http.StatusOK, "answer")))
	ready, cachesKnown := make(chan struct{}), make(chan struct{})
	f.gateway.Ready, f.gateway.CachesKnown = ready, cachesKnown
	request := f.request(t, "/affine/x", "question")
	request.Header.Set("Slipwick-Prompt", "ef:90000,cd:10")
	time.AfterFunc(startupWait/8, func() { close(ready) })
	time.AfterFunc(startupWait/4, func() { close(cachesKnown) })
	started := time.Now()
	got := send(t, request)
	if took := time.Since(started); got.status != http.StatusOK || took < startupWait/4 || took > startupWait*3/4 {
		t.Errorf("got status %d after %v, want 200 soon after %v", got.status, took, startupWait/4)
	}
}

// TestStartingRouterHoldsRequestsForHalfOfTheirTime has a starting router become ready late, or
// never.
//
// It guards against a failure after a power loss with 986 routers. Reading the list of backend
// servers took seconds on small boxes. Requests were refused after 400 ms, retried at another
// router that was starting too, and refused for good: 1,414 of 1,747 in the first two seconds.
func TestStartingRouterHoldsRequestsForHalfOfTheirTime(t *testing.T) {
	const never = time.Hour
	for _, test := range []struct {
		name, path           string
		readyAfter, deadline time.Duration
		status               int
		took                 time.Duration
	}{
		{"ready in time", "/affine/x", 3 * startupWait, 4 * time.Second, http.StatusOK, 3 * startupWait},
		{"never ready", "/affine/x", never, 2 * time.Second, http.StatusServiceUnavailable, time.Second},
		{"never ready, little time", "/affine/x", never, startupWait, http.StatusServiceUnavailable, startupWait / 2},
		{"no route", "/nowhere", never, 2 * time.Second, http.StatusServiceUnavailable, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, newBackend(t, "b1", respondWith(http.StatusOK, "answer")))
			ready := make(chan struct{})
			f.gateway.Ready = ready
			timer := time.AfterFunc(test.readyAfter, func() { close(ready) })
			defer timer.Stop()
			request := f.request(t, test.path, "question")
			request.Header.Set(f.gateway.Headers.Deadline, strconv.FormatInt(test.deadline.Milliseconds(), 10))
			started := time.Now()
			got := send(t, request)
			took := time.Since(started)
			if got.status != test.status || took < test.took || took > test.took+startupWait/2 {
				t.Errorf("got status %d after %v, want %d after %v", got.status, took, test.status, test.took)
			}
		})
	}
}

// TestLateStartHoldsRequestsBriefly has a request arrive at a router that is not ready 10 s and more after
// its start, because neither the store nor other routers give it the lists.
//
// It guards against holding requests for up to 5 s only to refuse them, while their callers could try
// another router or give up.
func TestLateStartHoldsRequestsBriefly(t *testing.T) {
	const deadline, margin = 2 * time.Second, 100 * time.Millisecond
	for _, test := range []struct {
		name, path string
		runningFor time.Duration
		took       time.Duration
	}{
		{"objective of 200 ms", "/soon/x", usualStartupTime + time.Second, 50 * time.Millisecond},
		{"no objective", "/affine/x", usualStartupTime + time.Second, deadline / 4},
		{"late while it waits", "/soon/x", usualStartupTime - 300*time.Millisecond, 300 * time.Millisecond},
		{"in time", "/soon/x", 0, deadline / 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, newBackend(t, "b1", respondWith(http.StatusOK, "answer")))
			f.gateway.Ready, f.gateway.StartedAt = make(chan struct{}), clock.Now().Add(-test.runningFor)
			request := f.request(t, test.path, "question")
			request.Header.Set(f.gateway.Headers.Deadline, strconv.FormatInt(deadline.Milliseconds(), 10))
			started := time.Now()
			got := send(t, request)
			took := time.Since(started)
			if got.status != http.StatusServiceUnavailable || took < test.took || took > test.took+margin {
				t.Errorf("got status %d after %v, want 503 after %v", got.status, took, test.took)
			}
		})
	}
}
