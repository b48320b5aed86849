package gateway

import (
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestPromptIsReadOnce sends two requests with one prompt at once: the second
// reaches the engine when it has begun to answer the first.
func TestPromptIsReadOnce(t *testing.T) {
	reads := make(chan struct{}, 2)
	answer := make(chan struct{})
	f := newFixture(t, newBackend(t, "b1", func(b *backend, w http.ResponseWriter, r *http.Request) {
		reads <- struct{}{}
		<-answer
		answers(http.StatusOK, "answer")(b, w, r)
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
		t.Error("got two readings at once, want the second request to wait for the first")
	case <-time.After(100 * time.Millisecond):
	}
	close(answer)
	both.Wait()
}

// TestHangingSingleRequestSpeaksAgainstItsBackend has a request that may not be
// repeated wait beyond its patience: later ones are to know before it ends.
func TestHangingSingleRequestSpeaksAgainstItsBackend(t *testing.T) {
	release := make(chan struct{})
	f := newFixture(t, newBackend(t, "b1", func(b *backend, w http.ResponseWriter, r *http.Request) {
		<-release
		answers(http.StatusOK, "answer")(b, w, r)
	}))
	var hanging sync.WaitGroup
	for range 3 {
		hanging.Go(func() { f.post(t, "/single/x") })
	}
	time.Sleep(startPatience + 200*time.Millisecond)
	told := f.gateway.Balancer.Tell().Outcomes
	close(release)
	hanging.Wait()
	if len(told) != 1 || told[0].Failed != 3 {
		t.Errorf("got %v, want three failures told while the requests wait", told)
	}
}
