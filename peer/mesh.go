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
	// routerKey names the calling router in a stream's metadata.
	routerKey = "slipwick-router"

	// Small and shared buffers: a router may have streams with hundreds of
	// others.
	bufferBytes = 2 << 10
	// A fixed window needs no pings to find its size.
	windowBytes = 256 << 10
	queueLength = 1024
	dialTimeout = 2 * time.Second
	idleTimeout = 5 * time.Minute
)

// Mesh is one router's streams with the others. Set the exported fields before
// Run.
type Mesh struct {
	peerpb.UnimplementedPeerServer

	// Self is the router's ID.
	Self string
	// Listener accepts streams of other routers.
	Listener net.Listener
	// Address gives where another router listens; empty if it is not known.
	Address func(router string) string
	// OnReceive takes the envelopes that arrive.
	OnReceive func(from string, envelope *peerpb.Envelope)
	// Accepting and Connecting secure the streams that this router accepts
	// and opens; nil leaves them plain.
	Accepting, Connecting credentials.TransportCredentials

	// Sent and Received count bytes above TCP.
	Sent, Received atomic.Int64

	mu      sync.Mutex
	peers   map[string]*conversation
	running context.Context
	stopped bool
	parts   sync.WaitGroup
	done    chan struct{}
}

// NewMesh makes a mesh without streams.
func NewMesh(self string, listener net.Listener) *Mesh {
	return &Mesh{
		Self:     self,
		Listener: listener,
		peers:    make(map[string]*conversation),
		done:     make(chan struct{}),
	}
}

// Run accepts streams until ctx ends.
func (m *Mesh) Run(ctx context.Context) error {
	defer close(m.done)
	m.mu.Lock()
	m.running = ctx
	m.mu.Unlock()
	options := []grpc.ServerOption{
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
		grpc.StaticStreamWindowSize(windowBytes),
		grpc.StaticConnWindowSize(windowBytes),
	}
	if m.Accepting != nil {
		options = append(options, grpc.Creds(m.Accepting))
	}
	server := grpc.NewServer(options...)
	peerpb.RegisterPeerServer(server, m)
	stop := context.AfterFunc(ctx, server.Stop)
	defer stop()
	err := server.Serve(&countingListener{
		Listener: m.Listener,
		mesh:     m,
	})
	// Nothing is begun after this, so that the wait sees all parts.
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	m.parts.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "serve routers")
}

// Done is closed when Run has ended.
func (m *Mesh) Done() <-chan struct{} {
	return m.done
}

// Send has the envelope go out with what else waits for the router. It is lost
// when too much waits, or when the router can't be reached.
func (m *Mesh) Send(router string, envelope *peerpb.Envelope) {
	if c := m.conversation(router); c != nil {
		select {
		case c.queue <- envelope:
		default:
		}
	}
}

// conversation gives that with the router, beginning it if need be; it is nil
// before Run and after its end.
func (m *Mesh) conversation(router string) *conversation {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running == nil || m.stopped || m.running.Err() != nil {
		return nil
	}
	c := m.peers[router]
	if c == nil {
		c = &conversation{
			mesh:   m,
			router: router,
			queue:  make(chan *peerpb.Envelope, queueLength),
		}
		m.peers[router] = c
		m.parts.Go(func() { c.run(m.running) })
	}
	return c
}

// Exchange serves a stream that another router opened.
func (m *Mesh) Exchange(stream grpc.BidiStreamingServer[peerpb.Envelope, peerpb.Envelope]) error {
	names := metadata.ValueFromIncomingContext(stream.Context(), routerKey)
	if len(names) != 1 {
		return errors.New("the stream names no router; set " + routerKey + " in its metadata")
	}
	c := m.conversation(names[0])
	if c == nil {
		return errors.New("this router is stopping; use another")
	}
	c.attach(stream)
	defer c.detach(stream)
	return m.receive(names[0], stream)
}

// receiver is either side's end of a stream.
type receiver interface {
	Recv() (*peerpb.Envelope, error)
}

func (m *Mesh) receive(from string, stream receiver) error {
	for {
		envelope, err := stream.Recv()
		if err != nil {
			return err
		}
		m.OnReceive(from, envelope)
	}
}

// connect makes a connection to another router.
func (m *Mesh) connect(address string) (*grpc.ClientConn, error) {
	secured := m.Connecting
	if secured == nil {
		secured = insecure.NewCredentials()
	}
	connection, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(secured),
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

func (m *Mesh) dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
	}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return m.count(connection), nil
}
