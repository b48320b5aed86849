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
	"github.com/slipwick/slipwick/engine"
	"github.com/slipwick/slipwick/standin"
)

// noticeOnWay is how long after an answer requests may arrive that were on their way.
const noticeOnWay = 100 * time.Millisecond

// chats sends a turn of another chat every chatEvery for a while.
func (f *fixture) chats(t *testing.T, length time.Duration) (unserved int64) {
	t.Helper()
	const chatEvery = 25 * time.Millisecond
	var turns sync.WaitGroup
	var failed atomic.Int64
	for i, began := 0, time.Now(); time.Since(began) < length; i++ {
		turns.Go(func() {
			body := strings.ReplaceAll(streamed, "hello", fmt.Sprint("hello ", i))
			response, _ := f.post(t, chatPath, body, "Slipwick-Chat", fmt.Sprint(i))
			if response.Trailer.Get(slipwick.OutcomeHeader) != "completed" {
				failed.Add(1)
			}
		})
		time.Sleep(chatEvery)
	}
	turns.Wait()
	return failed.Load()
}

// noticedWriter notes when the answer begins.
type noticedWriter struct {
	http.ResponseWriter
	began *atomic.Int64
}

func (w *noticedWriter) WriteHeader(status int) {
	w.began.CompareAndSwap(0, time.Now().UnixNano())
	w.ResponseWriter.WriteHeader(status)
}

func (w *noticedWriter) Write(b []byte) (int, error) {
	w.began.CompareAndSwap(0, time.Now().UnixNano())
	return w.ResponseWriter.Write(b)
}

func (w *noticedWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// arrivalsAt counts the chat turns that reach an engine from now on, by whether they come
// later than noticeOnWay after its first answer began.
func (f *fixture) arrivalsAt(engineIndex int) (first, late *atomic.Int64) {
	first, late = new(atomic.Int64), new(atomic.Int64)
	began := new(atomic.Int64)
	handler := f.servers[engineIndex].Config.Handler
	f.servers[engineIndex].Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == engine.CompletionsPath {
			if at := began.Load(); at == 0 || time.Now().UnixNano()-at < int64(noticeOnWay) {
				first.Add(1)
			} else {
				late.Add(1)
			}
			w = &noticedWriter{
				ResponseWriter: w,
				began:          began,
			}
		}
		handler.ServeHTTP(w, r)
	})
	return first, late
}

// TestEngineThatAsksForRestGetsIt has one engine of three turn all chats away and ask for
// two seconds of rest.
func TestEngineThatAsksForRestGetsIt(t *testing.T) {
	f := newFixture(t, 3)
	f.engines[0].SetFaults(standin.Faults{
		Refuse: true,
		Rest:   2 * time.Second,
	})
	first, late := f.arrivalsAt(0)
	unserved := f.chats(t, 1800*time.Millisecond)
	if first.Load() == 0 || late.Load() > 0 {
		t.Errorf("got %d chats there at first and %d while it rests, want some and none", first.Load(), late.Load())
	}
	if unserved > 0 {
		t.Errorf("got %d chats unserved, want none: two engines have room", unserved)
	}
}

// TestEngineThatSaysItLeavesGetsNothingNew has one engine of three serve on and say in its
// answers that it leaves, while its load report does not say so yet.
func TestEngineThatSaysItLeavesGetsNothingNew(t *testing.T) {
	f := newFixture(t, 3)
	f.engines[0].SetFaults(standin.Faults{
		SaysLeaving: true,
	})
	first, late := f.arrivalsAt(0)
	unserved := f.chats(t, 2500*time.Millisecond)
	if first.Load() == 0 || late.Load() > 0 {
		t.Errorf("got %d chats there at first and %d later, want some and none", first.Load(), late.Load())
	}
	if unserved > 0 {
		t.Errorf("got %d chats unserved, want none", unserved)
	}
}

// TestServiceThatAsksForRestOrLeavesGetsNothing has the only server of a plain service
// turn a call away and ask for rest, or say with its answer that it leaves. Callers hear
// when to come back.
func TestServiceThatAsksForRestOrLeavesGetsNothing(t *testing.T) {
	for name, header := range map[string][]string{
		"rests":  {"Retry-After", "60", "X-Not-Run", "true"},
		"leaves": {"X-Leaving", "true"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			var calls atomic.Int64
			f.service.Before = func(w http.ResponseWriter) bool {
				calls.Add(1)
				for i := 0; i+1 < len(header); i += 2 {
					w.Header().Set(header[i], header[i+1])
				}
				if name == "rests" {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
				return name == "rests"
			}
			f.post(t, servicesPath+"records/add", "first")
			// The owner hears of it within a moment.
			time.Sleep(noticeOnWay)
			response, _ := f.post(t, servicesPath+"records/add", "second")
			if got := calls.Load(); got != 1 {
				t.Errorf("got %d calls there, want the first alone", got)
			}
			if got, want := response.StatusCode, http.StatusServiceUnavailable; got != want {
				t.Errorf("got status %d, want %d", got, want)
			}
			if got := response.Header.Get(slipwick.OutcomeHeader); got != string(slipwick.OutcomeNotRun) {
				t.Errorf("got outcome %q, want not-run", got)
			}
			if response.Header.Get("Retry-After") == "" {
				t.Error("got no Retry-After, want when to come back")
			}
		})
	}
}
