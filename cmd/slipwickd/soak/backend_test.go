package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// usualFailures is how many of 100 requests fail after they ran in any case.
const baseFailurePercent = 2

// backend is a stand-in of a backend server, behind a proxy.
type backend struct {
	id       string
	pool     string
	zone     string
	recorder *recorder
	store    *store
	proxy    *proxy

	mu     sync.Mutex
	server *http.Server
	// born is when this life of it began, gone that it has no other.
	startedAt int64
	isRetired bool

	// words are what this life of it tells the gateways.
	notices atomic.Pointer[notices]
	// failing is how many of 100 requests fail after they ran.
	failing atomic.Int32
	// leftAt is when the store took that it leaves, in nanoseconds; 0 before.
	leavingAt atomic.Int64
}

func newBackend(t *testing.T, s *store, r *recorder, host, id, pool, zone string) *backend {
	t.Helper()
	b := &backend{
		id:       id,
		pool:     pool,
		zone:     zone,
		recorder: r,
		store:    s,
	}
	address, err := b.startIncarnation(host)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.crash)
	b.proxy = newProxy(t, host, address)
	return b
}

// live begins a life of it, and gives where it listens.
func (b *backend) startIncarnation(host string) (string, error) {
	listener, err := net.Listen("tcp4", host+":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{
		Handler: b,
	}
	b.notices.Store(newNotices())
	b.mu.Lock()
	b.server, b.startedAt = server, time.Now().UnixMilli()
	b.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// specification is what it enters of itself.
func (b *backend) specification(state string) map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	return map[string]any{
		"service": b.pool, "address": b.proxy.address, "zone": b.zone, "slots": 16, "state": state, "born": b.startedAt,
	}
}

// crash ends it at once, for good, with all connections.
func (b *backend) crash() {
	b.mu.Lock()
	b.isRetired = true
	server := b.server
	b.mu.Unlock()
	b.proxy.setMode(pathResets)
	_ = server.Close()
}

// awayTime is for how long a backend server is away that ended under a request.
const restartDelay = 700 * time.Millisecond

// end ends it, with all connections; it is back under its ID, at its address.
func (b *backend) crashAndRestart() {
	b.mu.Lock()
	server, startedAt := b.server, b.startedAt
	// One that leaves, or sheds, is not to begin anew meanwhile.
	notices := b.notices.Load()
	notices.mu.Lock()
	isBusy := notices.leaving || notices.shedding
	notices.mu.Unlock()
	isUnavailable := isBusy || b.isRetired || time.Since(time.UnixMilli(startedAt)) < restartDelay
	b.mu.Unlock()
	if isUnavailable || b.leavingAt.Load() != 0 {
		return
	}
	b.proxy.close()
	_ = server.Close()
	b.recorder.recordCrash(b)
	time.Sleep(restartDelay)
	host, _, _ := net.SplitHostPort(b.proxy.address)
	address, err := b.startIncarnation(host)
	if err != nil {
		return
	}
	b.mu.Lock()
	isRetired := b.isRetired
	b.mu.Unlock()
	if isRetired || b.proxy.open(b.proxy.address, address) != nil {
		return
	}
	b.proxy.setMode(pathForwards)
	if b.leavingAt.Load() == 0 {
		b.store.put("servers", b.id, b.specification("ready"))
	}
}

// ServeHTTP runs a request: a stream if it asks for events, else one answer.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if r.Header.Get("Expect-Instance") != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	leaving, shedding := b.checkArrival(b.recorder.find(id))
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if shedding {
		rejectRequest(w)
		return
	}
	if rand.IntN(50) == 0 {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.recorder.recordRun(id, b)
	if string(body) == crashBody {
		time.Sleep(10 * time.Millisecond)
		go b.crashAndRestart()
		<-r.Context().Done()
		return
	}
	w.Header().Set("Response-Stamp", b.id)
	if r.Header.Get("Authorization") != "" || string(body) != requestBody(id) && string(body) != crashBody {
		b.recorder.addViolation("request %s reached %s with a key, or with another body", id, b.id)
	}
	if rand.Int32N(100) < b.failing.Load()+baseFailurePercent {
		if rand.IntN(2) == 0 {
			// The answer is lost with its connection.
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if r.Header.Get("Accept") == "text/event-stream" {
		b.stream(w, r, id)
		return
	}
	time.Sleep(time.Duration(10+rand.IntN(40)) * time.Millisecond)
	_, _ = io.WriteString(w, responseBody(id))
}

// stream writes the request's events, from the one after the last it has.
func (b *backend) stream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	flusher := http.NewResponseController(w)
	for n := last + 1; n <= eventCount(id); n++ {
		time.Sleep(time.Duration(5+rand.IntN(20)) * time.Millisecond)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, id); err != nil {
			return
		}
		if flusher.Flush() != nil {
			return
		}
	}
}
