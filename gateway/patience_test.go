package gateway

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// answersAfter is a handler that answers like answers, after a while.
func answersAfter(wait time.Duration, body string) func(*backend, http.ResponseWriter, *http.Request) {
	return func(b *backend, w http.ResponseWriter, r *http.Request) {
		time.Sleep(wait)
		answers(http.StatusOK, body)(b, w, r)
	}
}

// TestSlowSendIsNotGivenUpWithoutAnother has the first backend server answer
// late while the budget allows no other send.
func TestSlowSendIsNotGivenUpWithoutAnother(t *testing.T) {
	for _, path := range []string{"/repeatable/x", "/resumable/x"} {
		second := newBackend(t, "b2", answers(http.StatusOK, event("1")))
		f := newFixture(t, newBackend(t, "b1", answersAfter(startPatience+200*time.Millisecond, event("1"))), second)
		f.gateway.Budget.Ratio, f.gateway.Budget.Extra = 0, 0
		got := f.post(t, path)
		if got.status != http.StatusOK || got.body != event("1") || got.header.Get("Slipwick-Stamp") != "b1" {
			t.Errorf("%s: got %d %q (%v), want the late answer of b1", path, got.status, got.body, got.header)
		}
		if got := second.runs.Load(); got != 0 {
			t.Errorf("%s: got %d runs elsewhere, want 0", path, got)
		}
	}
}

// TestSlowSendIsNotGivenUpWithoutAnotherServer has no other backend server.
func TestSlowSendIsNotGivenUpWithoutAnotherServer(t *testing.T) {
	f := newFixture(t, newBackend(t, "b1", answersAfter(startPatience+200*time.Millisecond, "answer")))
	if got := f.post(t, "/repeatable/x"); got.status != http.StatusOK || got.body != "answer" {
		t.Errorf("got %d %q, want the late answer", got.status, got.body)
	}
}

// TestAnswerThatHasBegunIsNotGivenUp has the first backend server send its head
// soon and the first event late.
func TestAnswerThatHasBegunIsNotGivenUp(t *testing.T) {
	second := newBackend(t, "b2", answers(http.StatusOK, event("1")))
	first := newBackend(t, "b1", func(b *backend, w http.ResponseWriter, _ *http.Request) {
		b.runs.Add(1)
		w.Header().Set("Slipwick-Stamp", b.id)
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(startPatience + 200*time.Millisecond)
		_, _ = io.WriteString(w, event("1"))
	})
	f := newFixture(t, first, second)
	got := f.post(t, "/resumable/x")
	if got.body != event("1") || got.header.Get("Slipwick-Stamp") != "b1" {
		t.Errorf("got %q of %s, want the answer of b1", got.body, got.header.Get("Slipwick-Stamp"))
	}
	if got := second.runs.Load(); got != 0 {
		t.Errorf("got %d runs elsewhere, want 0", got)
	}
}

// TestAnswerAtTheMomentOfGivingUp has answers come just when the patience ends:
// each request has to be served, by the first backend server or the second.
func TestAnswerAtTheMomentOfGivingUp(t *testing.T) {
	for _, budget := range []float64{0, 1000} {
		first := newBackend(t, "b1", answersAfter(startPatience, event("1")))
		f := newFixture(t, first, newBackend(t, "b2", answers(http.StatusOK, event("1"))))
		f.gateway.Budget.Ratio, f.gateway.Budget.Extra = 0, budget
		var all sync.WaitGroup
		for i := range 40 {
			all.Go(func() {
				time.Sleep(time.Duration(i%8) * time.Millisecond)
				if got := f.post(t, "/resumable/x"); got.status != http.StatusOK || got.body != event("1") || got.broken != nil {
					t.Errorf("budget %v: got %d %q (%v), want the whole answer", budget, got.status, got.body, got.broken)
				}
			})
		}
		all.Wait()
	}
}

// TestPatienceIsLearnt has the first backend server hang after many quick
// answers: the request goes on long before the start value would let it.
func TestPatienceIsLearnt(t *testing.T) {
	var hangs atomic.Bool
	release := make(chan struct{})
	defer close(release)
	first := newBackend(t, "b1", func(b *backend, w http.ResponseWriter, r *http.Request) {
		if hangs.Load() {
			<-release
		}
		answers(http.StatusOK, "answer")(b, w, r)
	})
	f := newFixture(t, first, newBackend(t, "b2", answers(http.StatusOK, "answer")))
	for range 40 {
		f.post(t, "/repeatable/x")
	}
	hangs.Store(true)
	started := time.Now()
	got := f.post(t, "/repeatable/x")
	if took := time.Since(started); got.body != "answer" || took > startPatience*3/4 {
		t.Errorf("got %q after %v, want the second backend server's answer before %v", got.body, took, startPatience*3/4)
	}
}

// TestPatienceLeavesTimeForTheNextSend has the first backend server hang before
// anything was learnt, and a caller with little time.
func TestPatienceLeavesTimeForTheNextSend(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	f := newFixture(t, newBackend(t, "b1", func(*backend, http.ResponseWriter, *http.Request) { <-release }),
		newBackend(t, "b2", answersAfter(50*time.Millisecond, "answer")))
	r := f.request(t, "/repeatable/x", "question")
	r.Header.Set("Slipwick-Deadline-Ms", "400")
	if got := send(t, r); got.status != http.StatusOK || got.body != "answer" {
		t.Errorf("got %d %q, want the second backend server's answer", got.status, got.body)
	}
}

// TestSendIsNotGivenUpWhenNoneMayFollow has three backend servers refuse and the
// fourth answer late: a fifth send is not allowed any more, though it could be.
func TestSendIsNotGivenUpWhenNoneMayFollow(t *testing.T) {
	late := answersAfter(startPatience+200*time.Millisecond, "late")
	var mu sync.Mutex
	asked := 0
	handle := func(b *backend, w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		asked++
		n := asked
		mu.Unlock()
		if n < 4 {
			refuses(b, w, r)
			return
		}
		late(b, w, r)
	}
	var backends []*backend
	for _, id := range []string{"b1", "b2", "b3", "b4", "b5"} {
		backends = append(backends, newBackend(t, id, handle))
	}
	f := newFixture(t, backends...)
	if got := f.post(t, "/repeatable/x"); got.status != http.StatusOK || got.body != "late" {
		t.Errorf("got %d %q, want the late answer", got.status, got.body)
	}
	if got := f.gateway.Balancer.InFlight("p"); got != 0 {
		t.Errorf("got %v requests in flight afterwards, want 0", got)
	}
}

// leavingObserver has the caller leave when a send was given up, before the next
// one is made.
type leavingObserver struct {
	observed
	leave context.CancelFunc
}

func (o *leavingObserver) Attempted(*Attempt) {
	o.leave()
	// The server has to notice that the caller's connection is gone.
	time.Sleep(200 * time.Millisecond)
}

// TestGrantedPlaceIsGivenBack has a caller leave between the grant of the next
// send and the send.
func TestGrantedPlaceIsGivenBack(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	second := newBackend(t, "b2", answers(http.StatusOK, "answer"))
	f := newFixture(t, newBackend(t, "b1", func(*backend, http.ResponseWriter, *http.Request) { <-release }), second)
	r := f.request(t, "/repeatable/x", "question")
	ctx, leave := context.WithCancel(r.Context())
	defer leave()
	f.gateway.Observer = &leavingObserver{
		leave: leave,
	}
	response, err := http.DefaultClient.Do(r.WithContext(ctx))
	if err == nil {
		_ = response.Body.Close()
		t.Fatal("got an answer, want the caller to have left")
	}
	deadline := time.Now().Add(2 * time.Second)
	for ; f.gateway.Balancer.InFlight("p") > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("got %v requests in flight after the caller has left, want 0", f.gateway.Balancer.InFlight("p"))
		}
	}
	if got := second.runs.Load(); got != 0 {
		t.Errorf("got %d runs for a caller that has left, want 0", got)
	}
}

// TestPlaceThatIsNotGrantedLeavesNoTrace has a prompt's send hang while the budget is
// empty: no other engine counts as having the prompt.
func TestPlaceThatIsNotGrantedLeavesNoTrace(t *testing.T) {
	late := answersAfter(startPatience+300*time.Millisecond, "late")
	f := newFixture(t, newBackend(t, "b1", late), newBackend(t, "b2", late))
	f.gateway.Budget.Ratio, f.gateway.Budget.Extra = 0, 0
	r := f.request(t, "/affine-again/x", "question")
	r.Header.Set("Slipwick-Prompt", "ab:2000,cd:10")
	if got := send(t, r); got.body != "late" {
		t.Errorf("got %d %q, want the late answer", got.status, got.body)
	}
	if got := f.gateway.Balancer.Tell().Reads; len(got) != 1 {
		t.Errorf("got %v, want the one engine that read the prompt", got)
	}
}
