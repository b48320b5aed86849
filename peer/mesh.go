package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"

	"github.com/slipwick/slipwick/admission"
	"github.com/slipwick/slipwick/peer/peerpb"
)

var _ admission.Transport = (*Mesh)(nil)

const (
	// routerKey is the metadata key for the ID of the router that opens a stream.
	routerKey = "slipwick-router"

	// The buffers are small because a router may have streams with hundreds of others.
	bufferBytes = 2 << 10
	// A fixed window avoids the pings of gRPC's bandwidth estimation.
	windowBytes = 256 << 10
	queueLength = 1024
	dialTimeout = 2 * time.Second
	idleTimeout = 5 * time.Minute
)

// Mesh holds a router's streams with the other routers. Set the exported fields before Run.
type Mesh struct {
	peerpb.UnimplementedPeerServer

	// Self is the router's ID.
	Self string
	// Listener accepts streams of other routers.
	Listener net.Listener
	// Address returns the address of another router; empty if it is not known.
	Address func(router string) string
	// OnReceive handles the envelopes that arrive; it may be called for several routers at the same
	// time.
	OnReceive func(from string, envelope *peerpb.Envelope)
	// ServerCredentials and ClientCredentials secure the streams that this router accepts and
	// opens; nil leaves them unencrypted.
	ServerCredentials, ClientCredentials credentials.TransportCredentials

	// Sent and Received count the bytes written to and read from TCP connections.
	Sent, Received atomic.Int64

	mu sync.Mutex
	// peers holds the connections by the ID of the other router.
	peers map[string]*peerConn
	// runCtx is the context of Run, nil before; stopped is set when Run ends.
	runCtx  context.Context
	stopped bool
	tasks   sync.WaitGroup
	done    chan struct{}
}

// NewMesh returns a mesh without streams.
func NewMesh(self string, listener net.Listener) *Mesh {
	return &Mesh{
		Self:     self,
		Listener: listener,
		peers:    make(map[string]*peerConn),
		done:     make(chan struct{}),
	}
}

// Run accepts streams, and blocks until ctx ends.
func (m *Mesh) Run(ctx context.Context) error {
	defer close(m.done)
	m.mu.Lock()
	m.runCtx = ctx
	m.mu.Unlock()
	options := []grpc.ServerOption{
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
		grpc.StaticStreamWindowSize(windowBytes),
		grpc.StaticConnWindowSize(windowBytes),
	}
	if m.ServerCredentials != nil {
		options = append(options, grpc.Creds(m.ServerCredentials))
	}
	server := grpc.NewServer(options...)
	peerpb.RegisterPeerServer(server, m)
	stop := context.AfterFunc(ctx, server.Stop)
	defer stop()
	err := server.Serve(&countingListener{
		Listener: m.Listener,
		mesh:     m,
	})
	// No goroutine starts after this, so Wait covers all of them.
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	m.tasks.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "serve routers")
}

// Done returns a channel that is closed when Run has ended.
func (m *Mesh) Done() <-chan struct{} {
	return m.done
}

// Send queues an envelope for a router and does not block. The envelope is dropped if the queue is
// full or the router cannot be reached.
func (m *Mesh) Send(router string, envelope *peerpb.Envelope) {
	if c := m.connTo(router); c != nil {
		select {
		case c.queue <- envelope:
		default:
		}
	}
}

// connTo returns the connection to a router, and starts it if there is none; nil before Run and
// after its end.
func (m *Mesh) connTo(router string) *peerConn {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.runCtx == nil || m.stopped || m.runCtx.Err() != nil {
		return nil
	}
	c := m.peers[router]
	if c == nil {
		c = &peerConn{
			mesh:   m,
			router: router,
			queue:  make(chan *peerpb.Envelope, queueLength),
		}
		m.peers[router] = c
		m.tasks.Go(func() { c.run(m.runCtx) })
	}
	return c
}

// Exchange serves a stream that another router opened. It blocks until the stream ends.
func (m *Mesh) Exchange(stream grpc.BidiStreamingServer[peerpb.Envelope, peerpb.Envelope]) error {
	names := metadata.ValueFromIncomingContext(stream.Context(), routerKey)
	if len(names) != 1 {
		return errors.New("the stream does not name its router; set " + routerKey + " in its metadata")
	}
	c := m.connTo(names[0])
	if c == nil {
		return errors.New("this router is stopping; use another")
	}
	c.attach(stream)
	defer c.detach(stream)
	return m.receive(names[0], stream)
}

// receiver is the receiving half of a stream; clients and servers both have it.
type receiver interface {
	Recv() (*peerpb.Envelope, error)
}

// receive passes arriving envelopes to OnReceive until the stream ends.
func (m *Mesh) receive(from string, stream receiver) error {
	for {
		envelope, err := stream.Recv()
		if err != nil {
			return err
		}
		m.OnReceive(from, envelope)
	}
}

// dialRouter returns a gRPC client connection to another router; gRPC dials on first use.
func (m *Mesh) dialRouter(address string) (*grpc.ClientConn, error) {
	creds := m.ClientCredentials
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	connection, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(creds),
		grpc.WithContextDialer(m.dial),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithStaticStreamWindowSize(windowBytes),
		grpc.WithStaticConnWindowSize(windowBytes),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
	)
	return connection, errors.Wrap(err, "connect to router")
}

// dial connects to an address with dialTimeout, and counts the connection's bytes.
func (m *Mesh) dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
	}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return m.countingConn(connection), nil
}
