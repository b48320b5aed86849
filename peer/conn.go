package peer

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/proto"

	"github.com/slipwick/slipwick/peer/peerpb"
)

// sender is the sending half of a stream; clients and servers both have it.
type sender interface {
	Send(envelope *peerpb.Envelope) error
}

// peerConn is the connection to one other router: a queue, and a stream that either router opened.
type peerConn struct {
	mesh   *Mesh
	router string
	queue  chan *peerpb.Envelope

	mu sync.Mutex
	// stream is the stream in use, nil if there is none; close closes one that this router opened.
	stream sender
	close  func()
}

// attach makes a stream that the other router opened the stream in use, unless there is one.
func (c *peerConn) attach(stream sender) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stream == nil {
		c.stream = stream
	}
}

// detach removes a stream that ended.
func (c *peerConn) detach(stream sender) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stream == stream {
		c.stream, c.close = nil, nil
	}
}

// run sends queued envelopes until ctx ends, and closes the stream when it is idle.
func (c *peerConn) run(ctx context.Context) {
	defer c.closeOwn()
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-idle.C:
			c.closeOwn()
		case envelope := <-c.queue:
			idle.Reset(idleTimeout)
			c.send(ctx, c.mergeQueued(envelope))
		}
	}
}

// mergeQueued merges all queued envelopes into one. The first is copied before, because other
// connections may be sending it too.
func (c *peerConn) mergeQueued(first *peerpb.Envelope) *peerpb.Envelope {
	var merged *peerpb.Envelope
	for {
		select {
		case next := <-c.queue:
			if merged == nil {
				merged = &peerpb.Envelope{}
				proto.Merge(merged, first)
			}
			proto.Merge(merged, next)
		default:
			if merged == nil {
				return first
			}
			return merged
		}
	}
}

// send sends an envelope on the stream in use, and on a new one if Send reports that the stream has
// ended. It does not send again in other cases, because the envelope may have arrived.
func (c *peerConn) send(ctx context.Context, envelope *peerpb.Envelope) {
	const attempts = 2
	for range attempts {
		stream, err := c.open(ctx)
		if err != nil {
			return
		}
		if stream.Send(envelope) == nil {
			return
		}
		c.detach(stream)
	}
}

// open returns the stream in use, or opens one.
func (c *peerConn) open(ctx context.Context) (sender, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stream != nil {
		return c.stream, nil
	}
	address := c.mesh.Address(c.router)
	if address == "" {
		return nil, errUnknownRouter
	}
	connection, err := c.mesh.dialRouter(address)
	if err != nil {
		return nil, err
	}
	outgoing := metadata.AppendToOutgoingContext(ctx, routerKey, c.mesh.Self)
	stream, err := peerpb.NewPeerClient(connection).Exchange(outgoing)
	if err != nil {
		_ = connection.Close()
		return nil, err
	}
	c.stream = stream
	c.close = func() { _ = connection.Close() }
	c.mesh.tasks.Go(func() {
		_ = c.mesh.receive(c.router, stream)
		c.detach(stream)
		_ = connection.Close()
	})
	return stream, nil
}

// closeOwn closes the stream if this router opened it.
func (c *peerConn) closeOwn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.close != nil {
		c.close()
		c.stream, c.close = nil, nil
	}
}
