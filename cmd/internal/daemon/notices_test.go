package daemon

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/admission"
	"github.com/slipwick/slipwick/engine"
	"github.com/slipwick/slipwick/standin"
)

// noticeDelay is how long after a notice the engine may still receive requests that were sent before
// the router applied the notice.
const noticeDelay = 100 * time.Millisecond

// sendChats sends the first request of a new chat every chatInterval for the given time. It returns
// how many were not completed.
func (f *fixture) sendChats(t *testing.T, length time.Duration) (unserved int64) {
	t.Helper()
	const chatInterval = 25 * time.Millisecond
	var requests sync.WaitGroup
	var failed atomic.Int64
	for i, start := 0, time.Now(); time.Since(start) < length; i++ {
		requests.Go(func() {
			body := strings.ReplaceAll(streamedChat, "hello", fmt.Sprint("hello ", i))
			response, _ := f.post(t, chatPath, body, "Slipwick-Chat", fmt.Sprint(i))
			if response.Trailer.Get(slipwick.OutcomeHeader) != "completed" {
				failed.Add(1)
			}
		})
		time.Sleep(chatInterval)
	}
	requests.Wait()
	return failed.Load()
}

// startRecorder records when the first response of an engine starts.
type startRecorder struct {
	http.ResponseWriter
	startedAt *atomic.Int64
}

func (w *startRecorder) WriteHeader(status int) {
	w.startedAt.CompareAndSwap(0, time.Now().UnixNano())
	w.ResponseWriter.WriteHeader(status)
}

func (w *startRecorder) Write(b []byte) (int, error) {
	w.startedAt.CompareAndSwap(0, time.Now().UnixNano())
	return w.ResponseWriter.Write(b)
}

func (w *startRecorder) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// countArrivals counts the chat requests that reach an engine from now on: as late those that
// arrive more than noticeDelay after its first response started, as early the others.
func (f *fixture) countArrivals(engineIndex int) (early, late *atomic.Int64) {
	early, late = new(atomic.Int64), new(atomic.Int64)
	startedAt := new(atomic.Int64)
	engineServer := f.engines[engineIndex]
	f.handlers[engineIndex].set(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == engine.CompletionsPath {
			if at := startedAt.Load(); at == 0 || time.Now().UnixNano()-at < int64(noticeDelay) {
				early.Add(1)
			} else {
				late.Add(1)
			}
			w = &startRecorder{
				ResponseWriter: w,
				startedAt:      startedAt,
			}
		}
		engineServer.ServeHTTP(w, r)
	}))
	return early, late
}

// TestEngineThatAsksForPauseGetsNoChats has one engine of three reject all chats and ask for a pause
// of two seconds. It must get no chats during the pause, and all chats must be served by the others.
func TestEngineThatAsksForPauseGetsNoChats(t *testing.T) {
	f := newFixture(t, 3)
	f.engines[0].SetFaults(standin.Faults{
		Reject:     true,
		RetryAfter: 2 * time.Second,
	})
	early, late := f.countArrivals(0)
	unserved := f.sendChats(t, 1800*time.Millisecond)
	if early.Load() == 0 || late.Load() > 0 {
		t.Errorf("got %d chats at the engine before and %d during the pause, want some and none", early.Load(), late.Load())
	}
	if unserved > 0 {
		t.Errorf("got %d chats not completed, want none: two engines have free slots", unserved)
	}
}

// TestEngineThatAnnouncesLeavingGetsNoChats has one engine of three keep serving and announce in its
// responses that it leaves, while its load report does not say so yet. The probes must not cancel
// the announcement.
func TestEngineThatAnnouncesLeavingGetsNoChats(t *testing.T) {
	f := newFixture(t, 3)
	f.engines[0].SetFaults(standin.Faults{
		AnnounceLeaving: true,
	})
	early, late := f.countArrivals(0)
	unserved := f.sendChats(t, 2500*time.Millisecond)
	if early.Load() == 0 || late.Load() > 0 {
		t.Errorf("got %d chats at the engine before and %d after the announcement, want some and none",
			early.Load(), late.Load())
	}
	if unserved > 0 {
		t.Errorf("got %d chats not completed, want none", unserved)
	}
}

// TestServiceThatAsksForPauseOrLeavesGetsNoCalls has the only server of a plain service reject a call
// and ask for a pause, or announce in its response that it leaves. The next call must not reach it;
// the caller must get a 503 with Retry-After.
func TestServiceThatAsksForPauseOrLeavesGetsNoCalls(t *testing.T) {
	for name, header := range map[string][]string{
		"pauses": {"Retry-After", "60", "X-Not-Run", "true"},
		"leaves": {"X-Leaving", "true"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			var calls atomic.Int64
			f.service.SetIntercept(func(w http.ResponseWriter) bool {
				calls.Add(1)
				for i := 0; i+1 < len(header); i += 2 {
					w.Header().Set(header[i], header[i+1])
				}
				if name == "pauses" {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
				return name == "pauses"
			})
			f.post(t, servicesPath+"records/add", "first")
			// The response may reach the caller before the notice reaches the owner, which is this router.
			waitUntil(t, "the owner knows of the notice", func() bool {
				for _, owned := range f.router.CurrentStatus().Owned {
					if owned.Pool == "records" {
						return owned.Health != admission.HealthGood.String()
					}
				}
				return false
			})
			response, _ := f.post(t, servicesPath+"records/add", "second")
			if got := calls.Load(); got != 1 {
				t.Errorf("got %d calls at the server, want only the first", got)
			}
			if got, want := response.StatusCode, http.StatusServiceUnavailable; got != want {
				t.Errorf("got status %d, want %d", got, want)
			}
			if got := response.Header.Get(slipwick.OutcomeHeader); got != string(slipwick.OutcomeNotRun) {
				t.Errorf("got outcome %q, want not-run", got)
			}
			if response.Header.Get("Retry-After") == "" {
				t.Error("got no Retry-After, want one")
			}
		})
	}
}
