package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/slipwick/slipwick/memory"
)

// largeEvents returns n events of about 1 KB each.
func largeEvents(n int) string {
	var events strings.Builder
	for i := range n {
		fmt.Fprintf(&events, "id: %d\ndata: %s\n\n", i+1, strings.Repeat("x", 1000))
	}
	return events.String()
}

// sendStream returns a handler that sends the events, some at a time, and then calls end.
func sendStream(events string, end func()) func(*backend, http.ResponseWriter, *http.Request) {
	return func(b *backend, w http.ResponseWriter, _ *http.Request) {
		events := events
		b.runs.Add(1)
		w.Header().Set("Slipwick-Stamp", b.id)
		const flushBytes = 10_000
		for len(events) > 0 {
			n := min(len(events), flushBytes)
			if _, err := io.WriteString(w, events[:n]); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
			events = events[n:]
		}
		end()
	}
}

// startStalledCaller sends a request for a stream and reads nothing.
func (f *fixture) startStalledCaller(t *testing.T) net.Conn {
	t.Helper()
	return f.dialCaller(t, "/stream/x", "Content-Length: 0\r\n")
}

// TestStalledStreamIsReadAhead has one caller stall for more than a second in a stream of 100 KB: the
// engine must be rid of it meanwhile, and the caller receive it completely.
func TestStalledStreamIsReadAhead(t *testing.T) {
	t.Parallel()
	want := largeEvents(100)
	var sent atomic.Bool
	f := newMemoryFixture(t, 4<<20, newBackend(t, "b1", sendStream(want, func() { sent.Store(true) })))
	conn := f.startStalledCaller(t)
	awaitCondition(t, "read-ahead", func() bool { return f.gateway.Memory.HeldFor(memory.Stream) > 32<<10 })
	if got := f.gateway.Memory.HeldFor(memory.Stream); got > baseBytes+maxReadAheadBytes {
		t.Errorf("got %d bytes held, want at most %d", got, baseBytes+maxReadAheadBytes)
	}
	awaitCondition(t, "end of the engine's response", sent.Load)
	time.Sleep(time.Second)
	if got := readResponse(t, conn); got.body != want || got.bodyErr != nil {
		t.Errorf("got %d bytes (%v), want %d", len(got.body), got.bodyErr, len(want))
	}
	_ = conn.Close()
	f.awaitReleased(t)
}

// TestStalledStreamStopsItsEngine has one caller stall in a stream of 12 MB, more than all buffers on the
// way hold: the engine has to be stopped by flow control, must neither count as unresponsive nor be
// blamed for the gap, and the stream has to go on when the caller reads.
func TestStalledStreamStopsItsEngine(t *testing.T) {
	t.Parallel()
	const events = 12 << 10
	want := largeEvents(events)
	var sent atomic.Bool
	f := newMemoryFixture(t, 4<<20, newBackend(t, "b1", sendStream(want, func() { sent.Store(true) })))
	conn := f.startStalledCaller(t)
	awaitCondition(t, "full buffer", func() bool { return f.gateway.Memory.HeldFor(memory.Stream) > 60<<10 })
	// Drops the outcomes until the response began: on a busy machine it may be overdue.
	f.gateway.Balancer.TakeUpdate()
	for range 15 {
		time.Sleep(100 * time.Millisecond)
		if got := f.gateway.Memory.Peak(); got > baseBytes+maxReadAheadBytes {
			t.Fatalf("got a peak of %d bytes for one stream, want at most %d", got, baseBytes+maxReadAheadBytes)
		}
		if got := f.gateway.Balancer.States()[0]; got.Unresponsive || got.Ejected {
			t.Fatalf("got %+v, want the engine in use: its caller stalls", got)
		}
	}
	if sent.Load() {
		t.Error("got the whole stream from the engine, want it stopped")
	}
	// The rest would take long through the small buffers of this connection.
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	got := make([]byte, 40<<10)
	if _, err := io.ReadFull(response.Body, got); err != nil || string(got) != want[:len(got)] {
		t.Errorf("got other events than sent, or %v", err)
	}
	_ = conn.Close()
	f.awaitReleased(t)
	for _, outcome := range f.gateway.Balancer.TakeUpdate().Outcomes {
		if outcome.Failed > 0 {
			t.Errorf("got outcomes %+v, want no failure", outcome)
		}
	}
}

// TestEngineThatCutsStalledStreamIsNotBlamed has an engine break off a stream whose caller stalls.
func TestEngineThatCutsStalledStreamIsNotBlamed(t *testing.T) {
	t.Parallel()
	cut := make(chan struct{})
	f := newMemoryFixture(t, 4<<20, newBackend(t, "b1", sendStream(largeEvents(160), func() {
		<-cut
		panic(http.ErrAbortHandler)
	})))
	conn := f.startStalledCaller(t)
	awaitCondition(t, "full buffer", func() bool { return f.gateway.Memory.HeldFor(memory.Stream) > 60<<10 })
	// Drops the outcomes until the response began: on a busy machine it may be overdue.
	f.gateway.Balancer.TakeUpdate()
	close(cut)
	if got := readResponse(t, conn); got.bodyErr == nil {
		t.Error("got a complete response, want it broken off")
	}
	_ = conn.Close()
	f.awaitReleased(t)
	for _, outcome := range f.gateway.Balancer.TakeUpdate().Outcomes {
		if outcome.Failed > 0 {
			t.Errorf("got outcomes %+v, want no failure", outcome)
		}
	}
}

// TestStalledCallerIsEndedAtItsDeadline guards against memory and leases that a caller keeps who never
// reads.
func TestStalledCallerIsEndedAtItsDeadline(t *testing.T) {
	t.Parallel()
	f := newMemoryFixture(t, 4<<20, newBackend(t, "b1", sendStream(largeEvents(1000), func() {})))
	started := time.Now()
	f.dialCaller(t, "/stream/x", "Content-Length: 0\r\nSlipwick-Deadline-Ms: 1000\r\n")
	awaitCondition(t, "read-ahead", func() bool { return f.gateway.Memory.Peak() > baseBytes })
	f.awaitReleased(t)
	if took, most := time.Since(started), time.Second+writeGrace+3*time.Second; took > most {
		t.Errorf("got the end after %v, want it within %v", took, most)
	}
	if got := f.gateway.Balancer.RequestsInFlight("p"); got != 0 {
		t.Errorf("got %v requests in flight, want 0", got)
	}
}

// TestStalledCallersDelayNoOthers measures 200 requests without other callers, and again beside 50
// callers that stall in their streams: the median time of a request must not change.
func TestStalledCallersDelayNoOthers(t *testing.T) {
	f := newMemoryFixture(t, 8<<20, newBackends(t, 2, func(b *backend, w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.RequestURI, "/stream/") {
			sendStream(largeEvents(300), func() { <-r.Context().Done() })(b, w, r)
			return
		}
		respondWith(http.StatusOK, "answer")(b, w, r)
	})...)
	measure := func() time.Duration {
		var times []time.Duration
		for range 200 {
			started := time.Now()
			if got := f.post(t, "/repeatable/x"); got.status != http.StatusOK {
				t.Fatalf("got %d, want 200", got.status)
			}
			times = append(times, time.Since(started))
		}
		slices.Sort(times)
		return times[len(times)/2]
	}
	before := measure()
	var stalled []net.Conn
	for range 50 {
		stalled = append(stalled, f.startStalledCaller(t))
	}
	awaitCondition(t, "stalled callers", func() bool { return f.gateway.Memory.HeldFor(memory.Stream) > 2<<20 })
	during := measure()
	t.Logf("median of 200 requests: %v alone, %v beside 50 stalled callers", before, during)
	if most := 2*before + 2*time.Millisecond; during > most {
		t.Errorf("got a median of %v beside stalled callers, want at most %v", during, most)
	}
	for _, conn := range stalled {
		_ = conn.Close()
	}
	f.awaitReleased(t)
}

// TestOneByteASecondOnManyStreams has 500 callers read one byte a second of streams of 200 KB: with 64
// KB for each they would hold 32 MB, and the limit is 8 MB.
func TestOneByteASecondOnManyStreams(t *testing.T) {
	t.Parallel()
	const callers = 500
	f := newMemoryFixture(t, 8<<20, newBackends(t, 2, func(b *backend, w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.RequestURI, "/stream/") {
			sendStream(largeEvents(200), func() { <-r.Context().Done() })(b, w, r)
			return
		}
		respondWith(http.StatusOK, "answer")(b, w, r)
	})...)
	var conns []net.Conn
	for range callers {
		conns = append(conns, f.startStalledCaller(t))
	}
	for range 2 {
		time.Sleep(time.Second)
		for _, conn := range conns {
			if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
				t.Fatal(err)
			}
		}
		got := send(t, f.request(t, "/repeatable/x", strings.Repeat("x", 1<<20)))
		if got.status != http.StatusOK {
			t.Errorf("got %d %q beside slow readers, want 200", got.status, got.body)
		}
	}
	t.Logf("%d callers: %d bytes held for streams, peak %d",
		callers, f.gateway.Memory.HeldFor(memory.Stream), f.gateway.Memory.Peak())
	for _, conn := range conns {
		_ = conn.Close()
	}
	f.awaitReleased(t)
}

// TestPromptReaderStartsNoReadAhead guards against goroutines and memory for callers who read at once. It
// runs by itself, since its caller must not be kept from reading for stallDelay by the tests of many
// callers.
func TestPromptReaderStartsNoReadAhead(t *testing.T) {
	want := largeEvents(50)
	f := newMemoryFixture(t, 4<<20, newBackend(t, "b1", sendStream(want, func() {})))
	for range 20 {
		if got := send(t, f.request(t, "/stream/x", "")); got.status != http.StatusOK || got.body != want {
			t.Errorf("got %d with %d bytes, want %d", got.status, len(got.body), len(want))
		}
	}
	f.awaitReleased(t)
	if got := f.gateway.Memory.Peak(); got != baseBytes {
		t.Errorf("got a peak of %d bytes, want %d", got, baseBytes)
	}
}

// TestReadAheadQueueKeepsOrder puts and takes pieces of many sizes, with and without memory.
func TestReadAheadQueueKeepsOrder(t *testing.T) {
	t.Parallel()
	for _, limit := range []int64{0, 2, 20 << 10, 1 << 20} {
		account := &memory.Account{
			Limit: limit,
		}
		q := readAheadQueue{
			held: account.NewReservation(),
		}
		var put, got []byte
		into := make([]byte, 3_000)
		for i := range 300 {
			if len(q.chunk) == 0 {
				chunk := []byte(strings.Repeat(string(rune('a'+i%26)), 1+i*997%readAheadChunkBytes))
				put = append(put, chunk...)
				q.put(chunk)
			}
			q.store()
			if i%3 == 0 || len(q.chunk) > 0 {
				got = append(got, into[:q.take(into[:1+i*691%len(into)])]...)
			}
		}
		for n := 1; n > 0; {
			q.store()
			n = q.take(into)
			got = append(got, into[:n]...)
		}
		if string(got) != string(put) {
			t.Errorf("limit %d: got %d bytes, want the %d in order", limit, len(got), len(put))
		}
		if q.release(); account.Held() != 0 || limit > 0 && account.Peak() > limit {
			t.Errorf("limit %d: got %d held, peak %d, want 0 and at most the limit", limit, account.Held(), account.Peak())
		}
	}
}

// TestStallExcusesNoLaterFailure has a caller stall in a stream and then read again. The engine goes on for
// longer than stallExcuse and then breaks the stream off, which has to count as its failure.
func TestStallExcusesNoLaterFailure(t *testing.T) {
	t.Parallel()
	f := newMemoryFixture(t, 4<<20, newBackend(t, "b1", func(b *backend, w http.ResponseWriter, r *http.Request) {
		sendStream(largeEvents(2_000), func() {
			// A busy machine takes seconds until the caller has read what it stalled on.
			for range 80 {
				time.Sleep(stallExcuse / 10)
				_, _ = io.WriteString(w, event("more"))
				_ = http.NewResponseController(w).Flush()
			}
			panic(http.ErrAbortHandler)
		})(b, w, r)
	}))
	conn := f.startStalledCaller(t)
	awaitCondition(t, "pause", func() bool { return f.gateway.Memory.HeldFor(memory.Stream) > 60<<10 })
	time.Sleep(4 * stallDelay)
	// The outcomes taken here are those until the response began: on a busy machine it may be overdue.
	f.gateway.Balancer.TakeUpdate()
	if got := readResponse(t, conn); got.bodyErr == nil {
		t.Error("got a complete response, want it broken off")
	}
	_ = conn.Close()
	f.awaitReleased(t)
	failed := 0.0
	for _, outcome := range f.gateway.Balancer.TakeUpdate().Outcomes {
		failed += float64(outcome.Failed)
	}
	if failed != 1 {
		t.Errorf("got %v failures of the engine, want 1", failed)
	}
}

// TestCallerStallExplainsASoonEnd guards against a server that is excused for the rest of a
// response because its caller stalled once, and against one that is blamed soon after the stall.
func TestCallerStallExplainsASoonEnd(t *testing.T) {
	t.Parallel()
	for waited, want := range map[time.Duration]bool{
		0:               true,
		stallExcuse / 2: true,
		stallExcuse:     false,
	} {
		s := &callerStall{}
		s.recordWait(time.Hour)
		if s.explainsEnd() {
			t.Error("got a response that ends because of its caller, who never stalled")
		}
		s.begin()
		s.recordWait(waited)
		if got := s.explainsEnd(); got != want {
			t.Errorf("%v after the stall: got %v, want %v", waited, got, want)
		}
		s.begin()
		if !s.explainsEnd() {
			t.Error("got no excuse after another stall, want it")
		}
	}
}
