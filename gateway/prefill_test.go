package gateway

import (
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestPromptIsPrefilledOnce sends two requests with the same prompt at the same time: the second
// must not reach the engine before the response to the first has begun.
func TestPromptIsPrefilledOnce(t *testing.T) {
	reads := make(chan struct{}, 2)
	release := make(chan struct{})
	f := newFixture(t, newBackend(t, "b1", func(b *backend, w http.ResponseWriter, r *http.Request) {
		reads <- struct{}{}
		<-release
		respondWith(http.StatusOK, "answer")(b, w, r)
	}))
	var both sync.WaitGroup
	for range 2 {
		request := f.request(t, "/affine/x", "question")
		request.Header.Set("Slipwick-Prompt", "ab:20000,cd:10")
		both.Go(func() {
			if got := send(t, request); got.status != http.StatusOK {
				t.Errorf("got status %d, want 200", got.status)
			}
		})
	}
	<-reads
	select {
	case <-reads:
		t.Error("got both requests at the engine, want the second to wait for the first")
	case <-time.After(100 * time.Millisecond):
	}
	close(release)
	both.Wait()
}

// TestHangingNonRepeatableRequestIsReportedAsFailure has requests that must not be repeated wait
// beyond the first-byte timeout: the failures have to be reported before the requests end, so that
// later requests avoid the backend server.
func TestHangingNonRepeatableRequestIsReportedAsFailure(t *testing.T) {
	release := make(chan struct{})
	f := newFixture(t, newBackend(t, "b1", func(b *backend, w http.ResponseWriter, r *http.Request) {
		<-release
		respondWith(http.StatusOK, "answer")(b, w, r)
	}))
	var hanging sync.WaitGroup
	for range 3 {
		hanging.Go(func() { f.post(t, "/single/x") })
	}
	time.Sleep(defaultFirstByteTimeout + 200*time.Millisecond)
	reported := f.gateway.Balancer.TakeUpdate().Outcomes
	close(release)
	hanging.Wait()
	if len(reported) != 1 || reported[0].Failed != 3 {
		t.Errorf("got %v, want three failures reported while the requests wait", reported)
	}
}
