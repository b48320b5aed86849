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
	arrivals := make(chan struct{}, 2)
	release := make(chan struct{})
	f := newFixture(t, newBackend(t, "b1", func(b *backend, w http.ResponseWriter, r *http.Request) {
		arrivals <- struct{}{}
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
	<-arrivals
	select {
	case <-arrivals:
		t.Error("got both requests at the engine, want the second to wait for the first")
	case <-time.After(100 * time.Millisecond):
	}
	close(release)
	both.Wait()
}
