package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick/memory"
	"github.com/slipwick/slipwick/upstream"
)

// TestBodiesOfAllSizesAreForwarded guards against bytes lost where the buffer of a body grows, for
// bodies with and without an announced length.
func TestBodiesOfAllSizesAreForwarded(t *testing.T) {
	t.Parallel()
	b := newBackend(t, "b1", respondWith(http.StatusOK, "answer"))
	f := newMemoryFixture(t, 32<<20, b)
	for _, size := range []int{0, 1, initialBodyBytes - 1, initialBodyBytes, initialBodyBytes + 1, 100_000, 1 << 20} {
		want := strings.Repeat("0123456789", size/10+1)[:size]
		for _, length := range []int64{int64(size), -1} {
			if status, got := f.forwardBody(t, b, want, length); status != http.StatusOK || got == nil || *got != want {
				t.Errorf("%d bytes, length %d: got %d and %v at the server, want 200 and the body", size, length, status, got)
			}
		}
	}
	f.awaitReleased(t)
}

// forwardBody sends a request with a body and the announced length, -1 for none, and returns the status and the body
// that the server received. A request that was refused since its dial timed out, as on a busy machine, must not have
// reached the server, and is sent again. A refusal for another reason is returned.
func (f *fixture) forwardBody(t *testing.T, b *backend, body string, length int64) (status int, received *string) {
	t.Helper()
	const tries = 20
	for range tries {
		b.body.Store(nil)
		timeouts := f.gateway.Client.FailedDials[upstream.DialTimedOut].Load()
		r := f.request(t, "/single/x", "")
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), length
		status = send(t, r).status
		hasTimedOut := f.gateway.Client.FailedDials[upstream.DialTimedOut].Load() > timeouts
		if status != http.StatusServiceUnavailable || !hasTimedOut {
			break
		}
		if b.body.Load() != nil {
			t.Errorf("%d bytes, length %d: got a refusal of a request that the server received", len(body), length)
		}
	}
	return status, b.body.Load()
}

// TestSlowBodiesHoldOnlyWhatWasSent has 200 callers announce 1 MB each, send 1 KB and stall, which
// together is twelve times the limit: another caller has to be served, and the memory is free once they
// disconnect.
func TestSlowBodiesHoldOnlyWhatWasSent(t *testing.T) {
	t.Parallel()
	const callers = 200
	f := newMemoryFixture(t, 16<<20, newBackend(t, "b1", respondWith(http.StatusOK, "answer")))
	var callerConns []net.Conn
	for range callers {
		conn := f.dialCaller(t, "/single/x", "Content-Length: 1000000\r\n")
		if _, err := io.WriteString(conn, strings.Repeat("x", 1000)); err != nil {
			t.Fatal(err)
		}
		callerConns = append(callerConns, conn)
	}
	const perCaller = baseBytes + initialBodyBytes
	awaitCondition(t, "begin of all bodies", func() bool { return f.gateway.Memory.Held() == callers*perCaller })
	r := f.request(t, "/single/x", strings.Repeat("y", 1<<20))
	if got := send(t, r); got.status != http.StatusOK {
		t.Errorf("got %d %q beside slow bodies, want 200", got.status, got.body)
	}
	if got := f.gateway.Memory.HeldFor(memory.Body); got > callers*initialBodyBytes {
		t.Errorf("got %d bytes held for bodies, want at most %d", got, callers*initialBodyBytes)
	}
	for _, conn := range callerConns {
		_ = conn.Close()
	}
	f.awaitReleased(t)
}

// TestBodyWithoutRoomIsRefused fills the memory: requests with and without a body are refused after the
// bounded wait, were not run, and are served once there is room.
func TestBodyWithoutRoomIsRefused(t *testing.T) {
	b := newBackend(t, "b1", respondWith(http.StatusOK, "answer"))
	f := newMemoryFixture(t, 1<<20, b)
	full := f.gateway.Memory.NewReservation()
	full.TryGrow(memory.Body, 1<<20)
	for _, body := range []string{"", "question", strings.Repeat("x", 300_000)} {
		for path, wait := range map[string]time.Duration{
			"/single/x": defaultMemoryWait,
			"/soon/x":   200 * time.Millisecond / memoryWaitDivisor,
		} {
			started := time.Now()
			got := send(t, f.request(t, path, body))
			took := time.Since(started)
			if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
				t.Errorf("%s: got %d %v, want 503 with Retry-After", path, got.status, got.header)
			}
			if took < wait || took > wait+time.Second {
				t.Errorf("%s: got the refusal after %v, want it after %v", path, took, wait)
			}
		}
	}
	if got := b.runs.Load(); got != 0 {
		t.Errorf("got %d runs, want 0", got)
	}
	for _, refusal := range f.observer.refused() {
		if refusal.Reason != "memory" {
			t.Errorf("got reason %s, want memory", refusal.Reason)
		}
	}
	time.AfterFunc(defaultMemoryWait/4, full.Release)
	if got := f.post(t, "/single/x"); got.status != http.StatusOK {
		t.Errorf("got %d, want 200 once there is room", got.status)
	}
	f.awaitReleased(t)
}

// TestBodyAboveAllMemoryIsTooLarge guards against a body that is refused again and again because there
// can never be room for it.
func TestBodyAboveAllMemoryIsTooLarge(t *testing.T) {
	t.Parallel()
	f := newMemoryFixture(t, 64<<10, newBackend(t, "b1", respondWith(http.StatusOK, "answer")))
	got := send(t, f.request(t, "/single/x", strings.Repeat("x", 200_000)))
	if got.status != http.StatusRequestEntityTooLarge {
		t.Errorf("got %d %q, want 413", got.status, got.body)
	}
	f.awaitReleased(t)
}

// TestBodyIsReadUntilTheDeadline guards against a body that is read beyond the deadline of its request: a caller stops
// sending in it.
func TestBodyIsReadUntilTheDeadline(t *testing.T) {
	b := newBackend(t, "b1", respondWith(http.StatusOK, "answer"))
	f := newMemoryFixture(t, 1<<20, b)
	synctest.Test(t, func(t *testing.T) {
		listener := &pipeListener{
			conns: make(chan net.Conn),
			done:  make(chan struct{}),
		}
		server := &http.Server{
			Handler: f.gateway,
		}
		served := make(chan struct{})
		go func() {
			defer close(served)
			_ = server.Serve(listener)
		}()
		conn := listener.dial()
		const wait = 200 * time.Millisecond
		started := time.Now()
		_, err := fmt.Fprintf(conn, "POST /single/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer good\r\n"+
			"Slipwick-Request: q1\r\nContent-Length: 1000\r\nSlipwick-Deadline-Ms: %d\r\n\r\nbody", wait.Milliseconds())
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = response.Body.Close() }()
		if _, err := io.ReadAll(response.Body); err != nil {
			t.Error(err)
		}
		if got, took := response.StatusCode, time.Since(started); got != http.StatusRequestTimeout || took != wait {
			t.Errorf("got %d after %v, want 408 after %v", got, took, wait)
		}
		_ = conn.Close()
		close(listener.done)
		_ = server.Close()
		<-served
	})
	if got := b.runs.Load(); got != 0 {
		t.Errorf("got %d runs, want 0", got)
	}
	f.awaitReleased(t)
}

// TestReadDeadlineEndsWithTheBody guards against a caller that counts as disconnected at its deadline,
// because the deadline for its body still applies after the body was read.
func TestReadDeadlineEndsWithTheBody(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	defer close(release)
	f := newMemoryFixture(t, 1<<20, newBackend(t, "b1", func(*backend, http.ResponseWriter, *http.Request) { <-release }))
	for range 3 {
		r := f.request(t, "/single/x", "question")
		// Within a shorter deadline, a busy machine may not connect to the backend server: a 503.
		r.Header.Set("Slipwick-Deadline-Ms", "1000")
		if got := send(t, r); got.status != http.StatusGatewayTimeout {
			t.Errorf("got %d %q, want 504", got.status, got.body)
		}
	}
	f.awaitReleased(t)
}
