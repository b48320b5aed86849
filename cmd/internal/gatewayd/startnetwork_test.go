package gatewayd

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// A message between two routers takes minLatency to maxLatency. A router sends bodies at
	// linkBytesPerSecond, 20 Mbit/s, which concurrent bodies share.
	minLatency         = time.Millisecond
	maxLatency         = 3 * time.Millisecond
	linkBytesPerSecond = 20e6 / 8
)

// startNetwork connects the routers of a startingFleet by function calls with latency.
type startNetwork struct {
	mu sync.Mutex
	// routers are the routers by the IP address of their box.
	routers map[netip.Addr]*startingRouter
	// isCut reports whether datagrams between two boxes are lost; nil loses none.
	isCut func(from, to netip.Addr) bool
}

// set puts a router on the network, in place of the one before of its box.
func (n *startNetwork) set(r *startingRouter) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.routers[netip.MustParseAddrPort(r.Settings.Listen.Peers).Addr()] = r
}

// router returns the router of a box, or nil.
func (n *startNetwork) router(box netip.Addr) *startingRouter {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.routers[box]
}

func latency() time.Duration {
	return minLatency + rand.N(maxLatency-minLatency)
}

// startTransport sends datagrams of one of a router's sockets, whose address is from.
type startTransport struct {
	network *startNetwork
	from    string
}

// Send delivers a datagram unless the receiver isn't running.
func (t *startTransport) Send(address string, packet []byte) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return
	}
	from, err := netip.ParseAddrPort(t.from)
	if err != nil || t.network.isCut != nil && t.network.isCut(from.Addr(), to.Addr()) {
		return
	}
	time.AfterFunc(latency(), func() {
		if r := t.network.router(to.Addr()); r != nil && r.isRunning.Load() {
			r.receive(to.Port(), t.from, packet)
		}
	})
}

// RoundTrip passes a request to the handler for peers of the router at its address.
func (n *startNetwork) RoundTrip(request *http.Request) (*http.Response, error) {
	time.Sleep(latency())
	to, err := netip.ParseAddrPort(request.URL.Host)
	if err != nil {
		return nil, err
	}
	r := n.router(to.Addr())
	if r == nil || !r.isRunning.Load() {
		time.Sleep(latency())
		return nil, errors.New("connection refused")
	}
	body, writer := io.Pipe()
	w := &linkWriter{
		router: r,
		header: make(http.Header),
		begun:  make(chan int, 1),
		body:   writer,
	}
	// A body that the caller abandons, or whose time is over, ends the transfer.
	stop := context.AfterFunc(request.Context(), func() { _ = writer.CloseWithError(request.Context().Err()) })
	go func() {
		defer stop()
		received := request.Clone(request.Context())
		if received.Body == nil {
			received.Body = http.NoBody
		}
		r.peersHandler.ServeHTTP(w, received)
		w.WriteHeader(http.StatusOK)
		_ = writer.Close()
	}()
	select {
	case status := <-w.begun:
		time.Sleep(latency())
		return &http.Response{
			StatusCode: status,
			Header:     w.header,
			Body:       body,
			Request:    request,
		}, nil
	case <-request.Context().Done():
		return nil, request.Context().Err()
	}
}

// linkWriter writes a response over a router's link.
type linkWriter struct {
	router *startingRouter
	header http.Header
	// begun receives the status once the response begins.
	begun     chan int
	beginOnce sync.Once
	body      *io.PipeWriter
}

func (w *linkWriter) Header() http.Header { return w.header }

func (w *linkWriter) WriteHeader(status int) {
	w.beginOnce.Do(func() { w.begun <- status })
}

// linkChunk is how much of a body is sent at a time, so that a new body takes its part of the link.
const linkChunk = 16 << 10

func (w *linkWriter) Write(body []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	w.router.sending.Add(1)
	defer w.router.sending.Add(-1)
	written := 0
	for len(body) > 0 {
		chunk := body[:min(len(body), linkChunk)]
		bytes := float64(len(chunk)) * float64(w.router.sending.Load())
		time.Sleep(time.Duration(bytes / linkBytesPerSecond * float64(time.Second)))
		n, err := w.body.Write(chunk)
		written += n
		if err != nil {
			return written, err
		}
		body = body[len(chunk):]
	}
	return written, nil
}
