package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// blockedBackend is a handler that runs a request and responds once release is closed.
func blockedBackend(
	started chan<- struct{}, release <-chan struct{},
) func(*backend, http.ResponseWriter, *http.Request) {
	return func(b *backend, w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		select {
		case <-release:
		case <-r.Context().Done():
		}
		respondWith(http.StatusOK, "answer")(b, w, r)
	}
}

// checkRefusedAsStopping checks that the request was refused as the router stops.
func checkRefusedAsStopping(t *testing.T, got reply) {
	t.Helper()
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" ||
		!strings.Contains(got.body, "stopping") {
		t.Errorf("got %d %q, want a refusal as the router stops", got.status, got.body)
	}
}

// TestStopRefusesRequestsWhoseBodiesStillArrive guards against requests that are passed on when their body ends, though
// the router then stops before their deadline.
func TestStopRefusesRequestsWhoseBodiesStillArrive(t *testing.T) {
	b := newBackend(t, "b1", respondWith(http.StatusOK, "answer"))
	f := newFixture(t, b)
	reader, writer := io.Pipe()
	r := f.request(t, "/single/x", "")
	r.Body, r.ContentLength = reader, -1
	replies := make(chan reply, 1)
	go func() { replies <- send(t, r) }()
	if _, err := writer.Write([]byte("half of a")); err != nil {
		t.Fatal(err)
	}
	awaitCondition(t, "request in progress", func() bool { return f.gateway.InFlight() == 1 })
	f.gateway.StopAt(time.Now().Add(time.Second))
	select {
	case got := <-replies:
		checkRefusedAsStopping(t, got)
	case <-time.After(time.Second):
		t.Error("got no response before the body ended, want a refusal at once")
	}
	_ = writer.Close()
	if got := b.runs.Load(); got != 0 {
		t.Errorf("got %d runs, want 0", got)
	}
}

// TestStopRefusesRequestsThatWaitForPermits guards against requests that are sent once they get their permit, though
// the router then stops before their deadline.
func TestStopRefusesRequestsThatWaitForPermits(t *testing.T) {
	started, release := make(chan struct{}, 2), make(chan struct{})
	b := newBackend(t, "b1", blockedBackend(started, release))
	source := newPermits(1)
	f := newPermitFixture(t, source, b)
	running, waiting := make(chan reply, 1), make(chan reply, 1)
	go func() { running <- f.post(t, "/single/x") }()
	<-started
	go func() { waiting <- f.post(t, "/single/x") }()
	awaitCondition(t, "second request that waits", func() bool { return len(source.calls()) == 2 })
	f.gateway.StopAt(time.Now().Add(time.Second))
	checkRefusedAsStopping(t, <-waiting)
	close(release)
	if got := <-running; got.status != http.StatusOK {
		t.Errorf("running request: got status %d, want 200", got.status)
	}
	if got := b.runs.Load(); got != 1 {
		t.Errorf("got %d runs, want 1", got)
	}
	source.checkNoLeak(t, f, 1)
}

// TestStopEndsRetriesOfWhatDidNotRun guards against further sends while the router stops, of requests that certainly
// did not run and that another router can take.
func TestStopEndsRetriesOfWhatDidNotRun(t *testing.T) {
	var f *fixture
	second := newBackend(t, "b2", respondWith(http.StatusOK, "answer"))
	f = newFixture(t, newBackend(t, "b1", func(b *backend, w http.ResponseWriter, r *http.Request) {
		f.gateway.StopAt(time.Now().Add(time.Second))
		rejectNotRun(b, w, r)
	}), second)
	checkRefusedAsStopping(t, f.post(t, "/single/x"))
	if got := second.runs.Load(); got != 0 {
		t.Errorf("got %d runs, want 0", got)
	}
}

// TestStopAllowsRetriesOfWhatMayHaveRun guards against failures of requests that may be repeated and that can't be
// refused any more, while there is time before the router stops; and against retries when there is none.
func TestStopAllowsRetriesOfWhatMayHaveRun(t *testing.T) {
	for name, tc := range map[string]struct {
		left   time.Duration
		status int
		runs   int64
	}{
		"time": {
			left:   time.Minute,
			status: http.StatusOK,
			runs:   1,
		},
		"no time": {
			left:   time.Millisecond,
			status: http.StatusBadGateway,
		},
	} {
		var f *fixture
		second := newBackend(t, "b2", respondWith(http.StatusOK, "answer"))
		f = newFixture(t, newBackend(t, "b1", func(b *backend, w http.ResponseWriter, r *http.Request) {
			f.gateway.Drain(time.Now().Add(tc.left))
			f.gateway.StopAt(time.Now().Add(time.Second))
			breakAfter("")(b, w, r)
		}), second)
		if got := f.post(t, "/repeatable/x").status; got != tc.status {
			t.Errorf("%s: got status %d, want %d", name, got, tc.status)
		}
		if got := second.runs.Load(); got != tc.runs {
			t.Errorf("%s: got %d runs of the retry, want %d", name, got, tc.runs)
		}
	}
}

// TestEndOfRequestsIsAnswered guards against requests that get no response when the router stops, and against refusals
// that promise that a request didn't run which may have.
func TestEndOfRequestsIsAnswered(t *testing.T) {
	started, release := make(chan struct{}, 2), make(chan struct{})
	defer close(release)
	source := newPermits(1)
	f := newPermitFixture(t, source, newBackend(t, "b1", blockedBackend(started, release)))
	running, waiting := make(chan reply, 1), make(chan reply, 1)
	go func() { running <- f.post(t, "/repeatable/x") }()
	<-started
	go func() { waiting <- f.post(t, "/single/x") }()
	awaitCondition(t, "second request that waits", func() bool { return len(source.calls()) == 2 })
	f.gateway.EndRequests()
	checkRefusedAsStopping(t, <-waiting)
	if got := <-running; got.status != http.StatusBadGateway {
		t.Errorf("running request: got status %d, want 502", got.status)
	}
	source.checkNoLeak(t, f, 1)
}
