package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// faults is what a replica does wrong; the zero value is a sound replica.
type faults struct {
	// shed is the share of its requests that the replica rejects though it has room. extra is the share of its answers
	// after which it sends more, at the point where the next answer on that connection is due: the answer once again
	// or, if isBare, a rejection that names no request.
	shed, extra float64
	isBare      bool
}

// replica is a stand-in of a replica.
type replica struct {
	id, address, zone string
	// work is how long a request takes on average.
	work   time.Duration
	log    *record
	ledger *ledger
	faults atomic.Pointer[faults]

	listener net.Listener
	places   chan struct{}
	waiting  atomic.Int64
	sequence int
}

// newReplica starts a replica that listens on a host.
func newReplica(id, host, zone string, work time.Duration, log *record, ledger *ledger) (*replica, error) {
	listener, err := net.Listen("tcp4", host+":0")
	if err != nil {
		return nil, err
	}
	r := &replica{
		id:       id,
		address:  listener.Addr().String(),
		zone:     zone,
		work:     work,
		log:      log,
		ledger:   ledger,
		listener: listener,
		places:   make(chan struct{}, replicaSlots),
	}
	r.faults.Store(&faults{})
	go r.accept()
	return r, nil
}

// entry is what the replica writes about itself.
func (r *replica) entry() map[string]any {
	r.sequence++
	return map[string]any{
		"service": serviceName, "address": r.address, "zone": r.zone, "version": "v1", "slots": replicaSlots,
		"state": "ready", "cold_remaining_ms": 0, "sequence": r.sequence,
	}
}

func (r *replica) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

// serve answers the requests of one connection, one at a time.
func (r *replica) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var extra []byte
	answered := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		id := request.Header.Get("Request-Id")
		if extra != nil {
			r.log.note("%s sends more after its answer to %s, where that to %s is due: %q", r.id, answered, id, extra)
			if _, err := conn.Write(extra); err != nil {
				return
			}
			extra = nil
		}
		answer := r.answer(request, id, body)
		if _, err := conn.Write(answer); err != nil {
			return
		}
		faults := r.faults.Load()
		if id != "" && rand.Float64() < faults.extra {
			extra, answered = answer, id
			if faults.isBare {
				extra = respondWith(http.StatusServiceUnavailable, "Not-Executed: 1", "")
			}
		}
	}
}

func (r *replica) answer(request *http.Request, id string, body []byte) []byte {
	expected := request.Header.Get("Expect-Instance")
	switch {
	case request.URL.Path == "/health":
		return respondWith(http.StatusOK, "Instance-Id: "+r.id, "")
	case expected != "" && expected != r.id:
		return respondWith(http.StatusMisdirectedRequest, "Request-Id: "+id+"\r\nInstance-Id: "+r.id, "")
	case rand.Float64() < r.faults.Load().shed:
		r.log.note("%s rejects %s, which it doesn't run", r.id, id)
		return rejection(id)
	}
	if err := r.enter(); err != nil {
		r.log.note("%s rejects %s, which it doesn't run: %v", r.id, id, err)
		return rejection(id)
	}
	defer func() { <-r.places }()
	runs := r.ledger.recordRun(id, r.id, request.Method, request.RequestURI, body)
	r.log.note("%s runs %s (run %d)", r.id, id, runs)
	time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(r.work)))
	stamp := fmt.Sprintf("%s.%d", r.id, runs)
	r.ledger.recordStamp(id, stamp)
	return respondWith(http.StatusOK, "Request-Id: "+id+"\r\nResponse-Stamp: "+stamp, "done: "+id)
}

var errFull = errors.New("it is full")

// enter takes a slot, if the queue for one isn't full.
func (r *replica) enter() error {
	if r.waiting.Add(1) > replicaQueue {
		r.waiting.Add(-1)
		return errFull
	}
	r.places <- struct{}{}
	r.waiting.Add(-1)
	return nil
}

func rejection(id string) []byte {
	return respondWith(http.StatusServiceUnavailable, "Request-Id: "+id+"\r\nNot-Executed: 1", "")
}

func respondWith(status int, headers, body string) []byte {
	return []byte("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n" + headers +
		"\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
}

// ledger knows what clients sent and got, and what replicas ran, by request ID.
type ledger struct {
	mu       sync.Mutex
	requests map[string]*entry
}

// entry is one request.
type entry struct {
	method, target, body string
	runs                 []string
	stamps               []string
	status               int
	sentAt               time.Time
}

func newLedger() *ledger {
	return &ledger{
		requests: make(map[string]*entry),
	}
}

func (l *ledger) recordSent(id, method, target, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[id] = &entry{
		method: method,
		target: target,
		body:   body,
		sentAt: time.Now(),
	}
}

// recordRun notes that a replica began to work on a request, and returns how often that has happened.
func (l *ledger) recordRun(id, replica, method, target string, body []byte) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.requests[id]
	if e == nil {
		e = &entry{}
		l.requests[id] = e
	}
	if e.method != method || e.target != target || e.body != string(body) {
		replica += " (changed: " + method + " " + target + ")"
	}
	e.runs = append(e.runs, replica)
	return len(e.runs)
}

func (l *ledger) recordStamp(id, stamp string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.requests[id]; e != nil {
		e.stamps = append(e.stamps, stamp)
	}
}

// recordAnswer notes the status that a client got, 0 if it got none.
func (l *ledger) recordAnswer(id string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[id].status = status
}
