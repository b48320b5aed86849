package tunnel

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/internal/tcpconn"
)

const (
	// BackendHeader is the header of a CONNECT request with the incarnation of the backend server.
	BackendHeader = "Slipwick-Backend"
	// maxOpen bounds the tunnels through one router, which hold two connections and two buffers each.
	maxOpen = 512
)

// The statuses of the response to a CONNECT request, other than 200.
const (
	// statusRefused says that the backend server refuses connections, statusTimedOut that it didn't respond.
	statusRefused  = http.StatusBadGateway
	statusTimedOut = http.StatusGatewayTimeout
	// statusNoHelp says that this router has no path to the backend servers either, or no room for a tunnel.
	statusNoHelp = http.StatusServiceUnavailable
	// statusUnknown says that this router doesn't know the backend server.
	statusUnknown = http.StatusNotFound
)

// Server opens tunnels for other routers of the fleet, to backend servers that are listed. Set the exported
// fields before the first request.
type Server struct {
	// Dial opens a connection from this router itself. The error has KindNoPath if this router has no path to
	// the backend servers.
	Dial func(ctx context.Context, backend *slipwick.Backend) (*tcpconn.Conn, error)
	// Backend returns the listed backend server with an incarnation.
	Backend func(incarnation string) (backend slipwick.Backend, ok bool)
	// Routers returns the routers of the fleet. Others get no tunnels.
	Routers func() []slipwick.Router
	// IsOverloaded reports whether this router lacks processor time; it then opens no tunnels.
	IsOverloaded func() bool

	// open counts the tunnels; isDraining says that no more are opened.
	open       atomic.Int64
	isDraining atomic.Bool

	mu    sync.Mutex
	pairs map[*pair]bool
}

// Open returns the number of open tunnels.
func (s *Server) Open() int64 {
	return s.open.Load()
}

// Drain refuses further tunnels; open ones stay.
func (s *Server) Drain() {
	s.isDraining.Store(true)
}

// Close closes all tunnels.
func (s *Server) Close() {
	s.Drain()
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.pairs {
		p.close()
	}
}

// ServeHTTP serves a CONNECT request, and blocks until the tunnel ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.isRouter(r.RemoteAddr) {
		http.Error(w, "only routers of the fleet may open tunnels", http.StatusForbidden)
		return
	}
	defer s.open.Add(-1)
	if s.open.Add(1) > maxOpen || s.isDraining.Load() || s.IsOverloaded() {
		http.Error(w, "this router opens no more tunnels for now; ask another one", statusNoHelp)
		return
	}
	backend, ok := s.Backend(r.Header.Get(BackendHeader))
	if !ok {
		http.Error(w, "this router knows no such backend server", statusUnknown)
		return
	}
	server, err := s.Dial(r.Context(), &backend)
	if err != nil {
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	router, err := hijack(w)
	if err != nil {
		_ = server.Close()
		return
	}
	s.connect(router, server)
}

// isRouter reports whether an address is that of a router of the fleet.
func (s *Server) isRouter(remote string) bool {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return false
	}
	for _, r := range s.Routers() {
		if known, _, err := net.SplitHostPort(r.Address); err == nil && known == host {
			return true
		}
	}
	return false
}

// statusOf returns the status for an error of Dial.
func statusOf(err error) int {
	switch {
	case slipwick.IsKind(err, slipwick.KindNoPath):
		return statusNoHelp
	case isRefused(err):
		return statusRefused
	default:
		return statusTimedOut
	}
}

// hijack takes over the connection of a request.
func hijack(w http.ResponseWriter) (*net.TCPConn, error) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, err
	}
	// The HTTP server's read deadline stays set otherwise.
	if err := conn.SetDeadline(time.Time{}); err != nil {
		_ = conn.Close()
		return nil, err
	}
	if wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = wrapped.NetConn()
	}
	return conn.(*net.TCPConn), nil
}

// connect confirms a tunnel and copies its bytes until it ends.
func (s *Server) connect(router *net.TCPConn, server *tcpconn.Conn) {
	p, err := newPair(router, server)
	if err != nil {
		_ = router.Close()
		_ = server.Close()
		return
	}
	s.mu.Lock()
	if s.pairs == nil {
		s.pairs = make(map[*pair]bool)
	}
	s.pairs[p] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.pairs, p)
		s.mu.Unlock()
	}()
	if _, err := router.Write([]byte("HTTP/1.1 200 Connection established\r\n\r\n")); err != nil {
		p.close()
		return
	}
	p.run()
}
