package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"
)

// TestStartingRouterHoldsOnlyPromptsWithoutHome has a router that does not know
// yet what engines keep.
func TestStartingRouterHoldsOnlyPromptsWithoutHome(t *testing.T) {
	for _, test := range []struct {
		name, path, prompt string
		wait               time.Duration
	}{
		{"no prompt", "/affine/x", "", 0},
		{"a prompt with a home", "/affine/x", "ab:100,cd:10", 0},
		// To read them again takes 1, 200 and 900 ms at the start values.
		{"a short prompt without one", "/affine/x", "ef:100,cd:10", time.Millisecond},
		{"a long prompt without one", "/affine/x", "ef:20000,cd:10", 200 * time.Millisecond},
		{"a very long prompt without one", "/affine/x", "ef:90000,cd:10", startWait},
		// Read again, the prompt takes 179 ms at most: a wait beyond 21 ms would have
		// the answer late.
		{"a prompt without one, soon due", "/soon/x", "ef:8000,cd:10", 21 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, newBackend(t, "b1", answers(http.StatusOK, "answer")))
			f.gateway.Homes = make(chan struct{})
			f.gateway.Balancer.Keeps("b1", []uint64{PartKey("ab")})
			request := f.request(t, test.path, "question")
			if test.prompt != "" {
				request.Header.Set("Slipwick-Prompt", test.prompt)
			}
			started := time.Now()
			got := send(t, request)
			took := time.Since(started)
			if got.status != http.StatusOK || took < test.wait || took > test.wait+startWait/4 {
				t.Errorf("got status %d after %v, want 200 after %v", got.status, took, test.wait)
			}
		})
	}
}

// TestStartingRouterServesAsSoonAsItKnows has the homes learnt while a request
// waits for them.
func TestStartingRouterServesAsSoonAsItKnows(t *testing.T) {
	f := newFixture(t, newBackend(t, "b1", answers(http.StatusOK, "answer")))
	ready, homes := make(chan struct{}), make(chan struct{})
	f.gateway.Ready, f.gateway.Homes = ready, homes
	request := f.request(t, "/affine/x", "question")
	request.Header.Set("Slipwick-Prompt", "ef:90000,cd:10")
	time.AfterFunc(startWait/8, func() { close(ready) })
	time.AfterFunc(startWait/4, func() { close(homes) })
	started := time.Now()
	got := send(t, request)
	if took := time.Since(started); got.status != http.StatusOK || took < startWait/4 || took > startWait*3/4 {
		t.Errorf("got status %d after %v, want 200 soon after %v", got.status, took, startWait/4)
	}
}

// TestStartingRouterHoldsRequestsForHalfOfTheirTime has a router that starts get what it needs
// late, or never.
//
// What was found after a loss of power at 986 routers: reading the list of backend servers took
// seconds on small boxes, requests were refused after 400 ms, came back to another router that
// started too, and were refused for good: 1,414 of 1,747 in the first two seconds.
func TestStartingRouterHoldsRequestsForHalfOfTheirTime(t *testing.T) {
	const never = time.Hour
	for _, test := range []struct {
		name, path          string
		readyAfter, longest time.Duration
		status              int
		took                time.Duration
	}{
		{"ready in time", "/affine/x", 3 * startWait, 4 * time.Second, http.StatusOK, 3 * startWait},
		{"never ready", "/affine/x", never, 2 * time.Second, http.StatusServiceUnavailable, time.Second},
		{"never ready, little time", "/affine/x", never, startWait, http.StatusServiceUnavailable, startWait / 2},
		{"no route", "/nowhere", never, 2 * time.Second, http.StatusServiceUnavailable, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, newBackend(t, "b1", answers(http.StatusOK, "answer")))
			ready := make(chan struct{})
			f.gateway.Ready = ready
			timer := time.AfterFunc(test.readyAfter, func() { close(ready) })
			defer timer.Stop()
			request := f.request(t, test.path, "question")
			request.Header.Set(f.gateway.Headers.Deadline, strconv.FormatInt(test.longest.Milliseconds(), 10))
			started := time.Now()
			got := send(t, request)
			took := time.Since(started)
			if got.status != test.status || took < test.took || took > test.took+startWait/2 {
				t.Errorf("got status %d after %v, want %d after %v", got.status, took, test.status, test.took)
			}
		})
	}
}
