package tunnel

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// bufferBytes is the size of the buffer for each direction.
	bufferBytes = 8 << 10
	// discardTime bounds how long bytes of the router are read and discarded once the backend server has closed
	// its side: to close a connection with unread bytes would reset it, and cut off the end of the response.
	discardTime = 2 * time.Second
)

// pair is a tunnel: the connection of the router that asked for it, and the one to the backend server.
type pair struct {
	router *net.TCPConn
	server net.Conn
}

// newPair returns the pair of two connections. The router's connection is reset if this process ends, so that
// the router doesn't take the end of the connection for that of a response.
func newPair(router *net.TCPConn, server net.Conn) (*pair, error) {
	if err := router.SetLinger(0); err != nil {
		return nil, err
	}
	return &pair{
		router: router,
		server: server,
	}, nil
}

// run copies bytes in both directions until both have ended.
func (p *pair) run() {
	var copies sync.WaitGroup
	copies.Go(p.copyToServer)
	copies.Go(p.copyToRouter)
	copies.Wait()
	p.close()
}

// close closes both connections.
func (p *pair) close() {
	_ = p.router.Close()
	_ = p.server.Close()
}

// copyToServer copies what the router sends. If the router closes or resets its connection, it closes the one
// to the server, which then stops working on the request.
func (p *pair) copyToServer() {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := p.router.Read(buffer)
		if n > 0 {
			// If the server has closed its side, the bytes are discarded.
			_, _ = p.server.Write(buffer[:n])
		}
		if err != nil {
			_ = p.server.Close()
			return
		}
	}
}

// copyToRouter copies what the server sends, and ends the router's connection as the server ended its own: in an
// orderly way or by a reset.
func (p *pair) copyToRouter() {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := p.server.Read(buffer)
		if n > 0 {
			if _, writeErr := p.router.Write(buffer[:n]); writeErr != nil {
				p.close()
				return
			}
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) || p.closeOrderly() != nil {
			p.close()
		}
		return
	}
}

// closeOrderly tells the router that the server has closed its side.
func (p *pair) closeOrderly() error {
	const lingerInBackground = -1
	if err := p.router.SetLinger(lingerInBackground); err != nil {
		return err
	}
	if err := p.router.CloseWrite(); err != nil {
		return err
	}
	return p.router.SetReadDeadline(time.Now().Add(discardTime))
}
