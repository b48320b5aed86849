package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"
)

// usualFailures is how many of 100 requests fail after they ran in any case.
const usualFailures = 2

// backend is a stand-in of a backend server, behind a proxy.
type backend struct {
	id     string
	pool   string
	zone   string
	ledger *ledger
	proxy  *proxy
	server *http.Server
	// failing is how many of 100 requests fail after they ran.
	failing atomic.Int32
	// leftAt is when the store took that it leaves, in nanoseconds; 0 before.
	leftAt atomic.Int64
}

func newBackend(t *testing.T, l *ledger, host, id, pool, zone string) *backend {
	t.Helper()
	b := &backend{
		id:     id,
		pool:   pool,
		zone:   zone,
		ledger: l,
	}
	listener, err := net.Listen("tcp4", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	b.server = &http.Server{
		Handler: b,
	}
	go func() { _ = b.server.Serve(listener) }()
	t.Cleanup(func() { _ = b.server.Close() })
	b.proxy = newProxy(t, host, listener.Addr().String())
	return b
}

// specification is what it enters of itself.
func (b *backend) specification(state string) map[string]any {
	return map[string]any{
		"service": b.pool, "address": b.proxy.address, "zone": b.zone, "slots": 16, "state": state,
	}
}

// crash ends it at once, with all connections.
func (b *backend) crash() {
	b.proxy.setMode(pathResets)
	_ = b.server.Close()
}

// ServeHTTP runs a request: a stream if it asks for events, else one answer.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if r.Header.Get("Expect-Instance") != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
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
	b.ledger.ran(id, b)
	w.Header().Set("Response-Stamp", b.id)
	if r.Header.Get("Authorization") != "" || string(body) != bodyOf(id) {
		b.ledger.violated("request %s reached %s with a key, or with another body", id, b.id)
	}
	if rand.Int32N(100) < b.failing.Load()+usualFailures {
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
	_, _ = io.WriteString(w, answerOf(id))
}

// stream writes the request's events, from the one after the last it has.
func (b *backend) stream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	flusher := http.NewResponseController(w)
	for n := last + 1; n <= eventsOf(id); n++ {
		time.Sleep(time.Duration(5+rand.IntN(20)) * time.Millisecond)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, id); err != nil {
			return
		}
		if flusher.Flush() != nil {
			return
		}
	}
}
