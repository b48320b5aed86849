package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// proxyMode is how a proxy treats the connections to its backend server, and their data.
type proxyMode int32

const (
	proxyForwards proxyMode = iota
	// proxyDelays delays the data of each read by readDelay.
	proxyDelays
	// proxyStalls forwards no data in either direction, proxyStallsResponses none from the server.
	// Connections stay open.
	proxyStalls
	proxyStallsResponses
	// proxyResets resets open connections, and new ones as soon as they are accepted.
	proxyResets
)

const readDelay = 80 * time.Millisecond

// proxy forwards connections of gateways to one backend server.
type proxy struct {
	address string
	mode    atomic.Int32
	// bufferBytes is the size of the kernel's buffers of its connections; 0 keeps the default.
	bufferBytes atomic.Int32

	mu       sync.Mutex
	target   string
	listener net.Listener
	conns    map[net.Conn]bool
}

func newProxy(t *testing.T, host, target string) *proxy {
	t.Helper()
	p := &proxy{
		conns: make(map[net.Conn]bool),
	}
	if err := p.open(host+":0", target); err != nil {
		t.Fatal(err)
	}
	p.address = p.listener.Addr().String()
	t.Cleanup(p.close)
	return p
}

// open listens on address and forwards connections to target.
func (p *proxy) open(address, target string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener, p.target = listener, target
	p.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return nil
}

// close stops listening, so that new connections are refused, and resets the open ones, as
// if the process of the server had exited.
func (p *proxy) close() {
	p.mu.Lock()
	_ = p.listener.Close()
	p.mu.Unlock()
	p.setMode(proxyResets)
}

func (p *proxy) setMode(mode proxyMode) {
	p.mode.Store(int32(mode))
	if mode != proxyResets {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		reset(conn)
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// limitBuffers sets the sizes of the kernel's buffers of a connection. An error leaves them as they are.
func limitBuffers(conn net.Conn, bytes int) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(bytes)
		_ = tcp.SetWriteBuffer(bytes)
	}
}

func (p *proxy) serve(client net.Conn) {
	if proxyMode(p.mode.Load()) == proxyResets {
		reset(client)
		return
	}
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	server, err := net.Dial("tcp4", target)
	if err != nil {
		reset(client)
		return
	}
	if size := int(p.bufferBytes.Load()); size > 0 {
		limitBuffers(client, size)
		limitBuffers(server, size)
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { p.copyBytes(server, client, false) })
	copies.Go(func() { p.copyBytes(client, server, true) })
	copies.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

// copyBytes copies data until either side closes or resets its connection, and then does
// the same to the other side.
func (p *proxy) copyBytes(to, from net.Conn, isResponse bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for p.isStalled(isResponse) {
			time.Sleep(5 * time.Millisecond)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			reset(to)
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}

// withholdsResponses reports whether a response of the server doesn't arrive as long as the mode stays as it is.
func (p *proxy) withholdsResponses() bool {
	switch proxyMode(p.mode.Load()) {
	case proxyStalls, proxyStallsResponses, proxyResets:
		return true
	default:
		return false
	}
}

// isStalled reports whether data that was read must wait. In the mode proxyDelays, it first sleeps
// for readDelay.
func (p *proxy) isStalled(isResponse bool) bool {
	switch proxyMode(p.mode.Load()) {
	case proxyDelays:
		time.Sleep(readDelay)
	case proxyStalls:
		return true
	case proxyStallsResponses:
		return isResponse
	default:
	}
	return false
}
