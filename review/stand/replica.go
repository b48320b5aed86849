package main

import (
	"bufio"
	"bytes"
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
	// that it sends a second time, at the point where the next answer on that connection is due.
	shed, extra float64
}

// work is how long a request takes: about half to one and a half times the mean.
type work struct{ mean time.Duration }

func (w work) draw() time.Duration {
	return time.Duration((0.5 + rand.Float64()) * float64(w.mean))
}

// replica is a stand-in of a replica.
type replica struct {
	id, address, service, zone string
	slots, queue               int
	work                       work
	log                        *record
	ledger                     *ledger
	faults                     atomic.Pointer[faults]

	listener net.Listener
	places   chan struct{}
	waiting  atomic.Int64
	sequence int
}

// newReplica starts a replica that listens on a host.
func newReplica(id, host, service, zone string, slots, queue int, log *record, ledger *ledger) (*replica, error) {
	listener, err := net.Listen("tcp4", host+":0")
	if err != nil {
		return nil, err
	}
	const meanWork = 30 * time.Millisecond
	r := &replica{
		id:       id,
		address:  listener.Addr().String(),
		service:  service,
		zone:     zone,
		slots:    slots,
		queue:    queue,
		work:     work{mean: meanWork},
		log:      log,
		ledger:   ledger,
		listener: listener,
		places:   make(chan struct{}, slots),
	}
	r.faults.Store(&faults{})
	go r.accept()
	return r, nil
}

// entry is what the replica writes about itself.
func (r *replica) entry() map[string]any {
	r.sequence++
	return map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots,
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
			r.log.note("%s sends the answer to %s once more, where that to %s is due", r.id, idOf(extra), id)
			if _, err := conn.Write(extra); err != nil {
				return
			}
			extra = nil
		}
		answer := r.answer(request, id, body)
		if _, err := conn.Write(answer); err != nil {
			return
		}
		if id != "" && rand.Float64() < r.faults.Load().extra {
			extra = answer
		}
	}
}

// idOf returns the request ID of an answer.
func idOf(answer []byte) string {
	response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(answer)), nil)
	if err != nil {
		return "?"
	}
	_ = response.Body.Close()
	return response.Header.Get("Request-Id")
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
	time.Sleep(r.work.draw())
	stamp := fmt.Sprintf("%s.%d", r.id, runs)
	r.ledger.recordStamp(id, stamp)
	return respondWith(http.StatusOK, "Request-Id: "+id+"\r\nResponse-Stamp: "+stamp, "done: "+id)
}

var errFull = errors.New("it is full")

// enter takes a slot, if the queue for one isn't full.
func (r *replica) enter() error {
	if r.waiting.Add(1) > int64(r.queue) {
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
