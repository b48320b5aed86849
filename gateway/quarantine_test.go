package gateway

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/slipwick/slipwick/quarantine"
)

// dies is a handler under which the backend server ends.
func dies(b *backend, w http.ResponseWriter, _ *http.Request) {
	b.runs.Add(1)
	w.Header().Set("Slipwick-Stamp", b.id)
	_ = b.server.Config.Close()
}

// withLedger has the gateway keep a ledger.
func (f *fixture) withLedger() *quarantine.Ledger {
	f.gateway.Quarantine = quarantine.NewLedger("r")
	return f.gateway.Quarantine
}

func fleetOf(t *testing.T, n int, handle func(*backend, http.ResponseWriter, *http.Request)) []*backend {
	t.Helper()
	var backends []*backend
	for i := range n {
		backends = append(backends, newBackend(t, fmt.Sprint("b", i), handle))
	}
	return backends
}

func runsOf(backends []*backend) int64 {
	runs := int64(0)
	for _, b := range backends {
		runs += b.runs.Load()
	}
	return runs
}

// TestRequestUnderWhichServersEndIsRefused asks for the same under new request IDs, on
// each kind of route: three servers end, and no more.
func TestRequestUnderWhichServersEndIsRefused(t *testing.T) {
	for _, path := range []string{"/resumable/x", "/stream/x", "/repeatable/x", "/single/x", "/affine/x"} {
		backends := fleetOf(t, 8, dies)
		f := newFixture(t, backends...)
		f.withLedger()
		var last reply
		for i := range 8 {
			r := f.request(t, path, "question")
			r.Header.Set("Slipwick-Request", fmt.Sprint("q", i))
			last = send(t, r)
		}
		if got := runsOf(backends); got != 3 {
			t.Errorf("%s: got %d runs, want 3", path, got)
		}
		if last.status != http.StatusServiceUnavailable || last.header.Get("Retry-After") == "" {
			t.Errorf("%s: got %d, Retry-After %q, want 503 and when to come back",
				path, last.status, last.header.Get("Retry-After"))
		}
		if got := f.observed.refusals; len(got) == 0 || got[0].Reason != reasonQuarantined {
			t.Errorf("%s: got refusals %v, want them told as quarantined", path, got)
		}
	}
}

// TestOthersOfTheSameCallerAreServed asks for something else once a request is quarantined.
func TestOthersOfTheSameCallerAreServed(t *testing.T) {
	backends := fleetOf(t, 5, func(b *backend, w http.ResponseWriter, r *http.Request) {
		if *b.body.Load() == "bad" {
			dies(b, w, r)
			return
		}
		answers(http.StatusOK, "answer")(b, w, r)
	})
	f := newFixture(t, backends...)
	f.withLedger()
	for range 4 {
		send(t, f.request(t, "/repeatable/x", "bad"))
	}
	if got := send(t, f.request(t, "/repeatable/x", "bad")).status; got != http.StatusServiceUnavailable {
		t.Errorf("got %d for the request that is quarantined, want 503", got)
	}
	if got := send(t, f.request(t, "/repeatable/x", "good")).status; got != http.StatusOK {
		t.Errorf("got %d for another body, want 200", got)
	}
	if got := send(t, f.request(t, "/repeatable/y", "question")).status; got != http.StatusOK {
		t.Errorf("got %d for another path, want 200", got)
	}
}

// TestBrokenAnswersOfLivingServersQuarantineNothing has servers break answers off, fail and
// refuse, and live on.
func TestBrokenAnswersOfLivingServersQuarantineNothing(t *testing.T) {
	for name, handle := range map[string]func(*backend, http.ResponseWriter, *http.Request){
		"break off before an answer": breaks(""),
		"break off in an answer":     breaks("id: 0\ndata: x\n\n"),
		"fail":                       answers(http.StatusInternalServerError, "failed"),
		"refuse":                     refuses,
	} {
		backends := fleetOf(t, 6, handle)
		f := newFixture(t, backends...)
		ledger := f.withLedger()
		for range 6 {
			f.post(t, "/resumable/x")
		}
		if ledger.Count() > 0 || len(ledger.News()) > 0 {
			t.Errorf("servers that %s: got a request quarantined or marked, want neither", name)
		}
	}
}

// TestLeavingServersQuarantineNothing has servers that leave end with what runs there.
func TestLeavingServersQuarantineNothing(t *testing.T) {
	backends := fleetOf(t, 4, dies)
	f := newFixture(t, backends...)
	ledger := f.withLedger()
	for _, b := range backends {
		b.server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.gateway.Balancer.SetBackends(nil)
			dies(b, w, r)
		})
	}
	f.post(t, "/repeatable/x")
	if got := ledger.News(); len(got) > 0 {
		t.Errorf("got %v marked, want nothing", got)
	}
}

// TestStreamThatRanForLongIsNoSuspect has servers end long after a stream's first event.
func TestStreamThatRanForLongIsNoSuspect(t *testing.T) {
	for wait, want := range map[time.Duration]int{0: 1, harmlessAfter + 100*time.Millisecond: 0} {
		b := newBackend(t, "b", func(b *backend, w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Slipwick-Stamp", b.id)
			_, _ = io.WriteString(w, "id: 0\ndata: x\n\n")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(wait)
			_ = b.server.Config.Close()
		})
		f := newFixture(t, b)
		ledger := f.withLedger()
		f.post(t, "/stream/x")
		if got := len(ledger.News()); got != want {
			t.Errorf("end %v after the first event: got %d marks, want %d", wait, got, want)
		}
	}
}

// TestRunThatWaitsIsStoppedWhenItsRequestIsQuarantined has a request wait at a server when the
// fleet finds that it has to be quarantined.
func TestRunThatWaitsIsStoppedWhenItsRequestIsQuarantined(t *testing.T) {
	gone := make(chan struct{})
	began := make(chan struct{})
	b := newBackend(t, "b", func(_ *backend, _ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		close(gone)
	})
	f := newFixture(t, b)
	ledger := f.withLedger()
	ended := make(chan reply)
	r := f.request(t, "/repeatable/x", "question")
	go func() { ended <- send(t, r) }()
	<-began
	key := quarantine.KeyOf("w", http.MethodPost, "/repeatable/x", []byte("question"))
	ledger.Hear([]quarantine.Mark{{Key: key, Server: 1}, {Key: key, Server: 2}, {Key: key, Server: 3}})
	select {
	case <-gone:
	case <-time.After(2 * time.Second):
		t.Error("got the run going on after 2 s, want its connection closed")
	}
	if got := (<-ended).status; got != http.StatusBadGateway {
		t.Errorf("got status %d, want 502: it may have run", got)
	}
	if state := f.gateway.Balancer.States()[0]; state.Out || state.ErrorRate > 0 {
		t.Errorf("got the backend server judged for it: %+v", state)
	}
}
