package peer

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/proto"

	"github.com/slipwick/slipwick/peer/peerpb"
)

// sender is either side's end of a stream.
type sender interface {
	Send(envelope *peerpb.Envelope) error
}

// conversation is the way to one other router: a stream that either opened.
type conversation struct {
	mesh   *Mesh
	router string
	queue  chan *peerpb.Envelope

	mu sync.Mutex
	// stream is the one in use, nil if there is none; close ends one that
	// this router opened.
	stream sender
	close  func()
}

// attach takes a stream that the other router opened.
func (c *conversation) attach(stream sender) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stream == nil {
		c.stream = stream
	}
}

// detach forgets a stream that ended.
func (c *conversation) detach(stream sender) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stream == stream {
		c.stream, c.close = nil, nil
	}
}

// run sends what waits until ctx ends; an idle stream is closed.
func (c *conversation) run(ctx context.Context) {
	defer c.hangUp()
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-idle.C:
			c.hangUp()
		case envelope := <-c.queue:
			idle.Reset(idleTimeout)
			c.send(ctx, c.join(envelope))
		}
	}
}

// join puts all that waits into one envelope. The first is not changed, as
// others may have got it as well.
func (c *conversation) join(first *peerpb.Envelope) *peerpb.Envelope {
	var joined *peerpb.Envelope
	for {
		select {
		case next := <-c.queue:
			if joined == nil {
				joined = &peerpb.Envelope{}
				proto.Merge(joined, first)
			}
			proto.Merge(joined, next)
		default:
			if joined == nil {
				return first
			}
			return joined
		}
	}
}

// send tries the stream in use, and a new one when that is broken. An envelope
// that may have arrived is sent again only if its stream said that it ended.
func (c *conversation) send(ctx context.Context, envelope *peerpb.Envelope) {
	const tries = 2
	for range tries {
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

// open gives the stream in use, or opens one.
func (c *conversation) open(ctx context.Context) (sender, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stream != nil {
		return c.stream, nil
	}
	address := c.mesh.Address(c.router)
	if address == "" {
		return nil, errUnknownRouter
	}
	connection, err := c.mesh.connect(address)
	if err != nil {
		return nil, err
	}
	named := metadata.AppendToOutgoingContext(ctx, routerKey, c.mesh.Self)
	stream, err := peerpb.NewPeerClient(connection).Exchange(named)
	if err != nil {
		_ = connection.Close()
		return nil, err
	}
	c.stream = stream
	c.close = func() { _ = connection.Close() }
	c.mesh.parts.Go(func() {
		_ = c.mesh.receive(c.router, stream)
		c.detach(stream)
		_ = connection.Close()
	})
	return stream, nil
}

// hangUp closes the stream if this router opened it.
func (c *conversation) hangUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.close != nil {
		c.close()
		c.stream, c.close = nil, nil
	}
}
