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
const usualFailures = 2

// backend is a stand-in of a backend server, behind a proxy.
type backend struct {
	id     string
	pool   string
	zone   string
	ledger *ledger
	store  *store
	proxy  *proxy

	mu     sync.Mutex
	server *http.Server
	// born is when this life of it began, gone that it has no other.
	born int64
	gone bool

	// words are what this life of it tells the gateways.
	words atomic.Pointer[words]
	// failing is how many of 100 requests fail after they ran.
	failing atomic.Int32
	// leftAt is when the store took that it leaves, in nanoseconds; 0 before.
	leftAt atomic.Int64
}

func newBackend(t *testing.T, s *store, l *ledger, host, id, pool, zone string) *backend {
	t.Helper()
	b := &backend{
		id:     id,
		pool:   pool,
		zone:   zone,
		ledger: l,
		store:  s,
	}
	address, err := b.live(host)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.crash)
	b.proxy = newProxy(t, host, address)
	return b
}

// live begins a life of it, and gives where it listens.
func (b *backend) live(host string) (string, error) {
	listener, err := net.Listen("tcp4", host+":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{
		Handler: b,
	}
	b.words.Store(newWords())
	b.mu.Lock()
	b.server, b.born = server, time.Now().UnixMilli()
	b.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// specification is what it enters of itself.
func (b *backend) specification(state string) map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	return map[string]any{
		"service": b.pool, "address": b.proxy.address, "zone": b.zone, "slots": 16, "state": state, "born": b.born,
	}
}

// crash ends it at once, for good, with all connections.
func (b *backend) crash() {
	b.mu.Lock()
	b.gone = true
	server := b.server
	b.mu.Unlock()
	b.proxy.setMode(pathResets)
	_ = server.Close()
}

// awayTime is for how long a backend server is away that ended under a request.
const awayTime = 700 * time.Millisecond

// end ends it, with all connections; it is back under its ID, at its address.
func (b *backend) end() {
	b.mu.Lock()
	server, born := b.server, b.born
	// One that leaves, or sheds, is not to begin anew meanwhile.
	words := b.words.Load()
	words.mu.Lock()
	isBusy := words.leaves || words.sheds
	words.mu.Unlock()
	isLate := isBusy || b.gone || time.Since(time.UnixMilli(born)) < awayTime
	b.mu.Unlock()
	if isLate || b.leftAt.Load() != 0 {
		return
	}
	b.proxy.close()
	_ = server.Close()
	b.ledger.endedUnder(b)
	time.Sleep(awayTime)
	host, _, _ := net.SplitHostPort(b.proxy.address)
	address, err := b.live(host)
	if err != nil {
		return
	}
	b.mu.Lock()
	gone := b.gone
	b.mu.Unlock()
	if gone || b.proxy.open(b.proxy.address, address) != nil {
		return
	}
	b.proxy.setMode(pathPasses)
	if b.leftAt.Load() == 0 {
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
	leaves, sheds := b.arrived(b.ledger.find(id))
	if leaves {
		w.Header().Set("Server-Leaving", "1")
	}
	if sheds {
		shed(w)
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
	if string(body) == endingBody {
		time.Sleep(10 * time.Millisecond)
		go b.end()
		<-r.Context().Done()
		return
	}
	w.Header().Set("Response-Stamp", b.id)
	if r.Header.Get("Authorization") != "" || string(body) != bodyOf(id) && string(body) != endingBody {
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
