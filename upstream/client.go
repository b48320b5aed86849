package upstream

import (
	"bufio"
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/internal/readlimit"
	"github.com/slipwick/slipwick/internal/tcpconn"
)

// Timeouts and limits of connections.
const (
	// defaultDialTimeout bounds connection setup: it allows several round trips within a region,
	// and stays below the 1 s after which a lost SYN is resent.
	defaultDialTimeout = 400 * time.Millisecond
	// dialFactor times the recorded dial time of a backend server is the timeout of the next dial,
	// which is at least minDialTimeout. A dial that takes longer meets an unreachable box or a lost
	// packet, and the request can still be served in time by another backend server. The minimum is
	// many times the delay of a router that is short of CPU.
	dialFactor     = 8
	minDialTimeout = 120 * time.Millisecond
	// defaultUserTimeout is how long sent data and keep-alive probes may stay unacknowledged before
	// the connection counts as lost: longer than a sound server is silent, which may begin just before the
	// first probe.
	defaultUserTimeout = 2500 * time.Millisecond
	// keepAliveInterval is the time between keep-alive probes on an idle connection.
	keepAliveInterval = time.Second
	// bufferSize is the size, in bytes, of a connection's read buffer.
	bufferSize = 4 << 10
	// maxIdleConnsPerServer is the largest number of idle connections kept for one backend server;
	// SetMaxIdleConns can lower it.
	maxIdleConnsPerServer = 16
)

// Client makes requests to backend servers and pools the connections. It is safe for concurrent
// use. Set the exported fields before the first call.
type Client struct {
	// DialTimeout bounds connection setup. UserTimeout is the TCP_USER_TIMEOUT: how long sent data
	// may stay unacknowledged. Zero selects the default of each.
	DialTimeout time.Duration
	UserTimeout time.Duration
	// Tunnels opens connections through other routers while this one reaches no backend server itself; nil
	// without. ProbeTargets returns that many random listed backend servers, or all if there are fewer.
	Tunnels      slipwick.TunnelSource
	ProbeTargets func(count int) []slipwick.Backend
	// OnPathChange is called when this router's paths to all backend servers are lost or restored,
	// OnServerPathLost when it reaches the one with this key only through others, OnServerUnreachable when
	// another router doesn't reach that one either. All may be nil.
	OnPathChange        func(lost bool)
	OnServerPathLost    func(key string)
	OnServerUnreachable func(key string)
	// OnStray is called for each response that is skipped because it belongs to another request. It must not
	// block; it may be nil.
	OnStray func(stray *StrayResponse)

	// OpenedConnections counts the connections opened, StrayResponses the responses skipped because
	// they belonged to an earlier request.
	OpenedConnections atomic.Int64
	StrayResponses    atomic.Int64
	// OpenedByCause counts the connections opened for a request, by cause.
	OpenedByCause [dialCauses]atomic.Int64
	// FailedDials counts the connections that could not be opened, by how the dial failed.
	FailedDials [dialFailures]atomic.Int64

	mu sync.Mutex
	// idle holds the idle connections of each backend server by its key (see Do), longest idle first.
	idle map[string][]*connection
	// dialTimes holds, by key, the longest recent dial time of each backend server; it decays by
	// half with each dial.
	dialTimes map[string]time.Duration
	// maxIdleConns is the limit that SetMaxIdleConns set; 0 stands for maxIdleConnsPerServer.
	maxIdleConns int
	// opened counts the connections, those through other routers included.
	opened atomic.Uint64
	// isClosed says that no connection is kept any more.
	isClosed bool
	// open counts the open connections. It has a lock of its own, as connections are closed under mu.
	open openConns
	// unread counts the bodies that backend servers have not read.
	unread unreadBodies
	// namings says, by key, whether the responses of backend servers name their requests.
	namings map[string]*naming
	// safeIdleTime bounds the idle time of connections for requests that must not be repeated.
	safeIdleTime safeIdleTime
	// path is the state of this router's own network paths. directRoutes has the routes from this router itself
	// by key, tunnelRoutes those through other routers by ID; mu guards both.
	path                       path
	directRoutes, tunnelRoutes map[string]*route
}

// SetMaxIdleConns sets how many idle connections are kept for one backend server, between 1 and
// maxIdleConnsPerServer: a backend server accepts a limited number of connections from all routers.
func (c *Client) SetMaxIdleConns(limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxIdleConns = min(max(limit, 1), maxIdleConnsPerServer)
}

// Do sends the request to a backend server and reads the header of the response. The key identifies
// the backend server, and idle connections are pooled by it. If ctx ends, the exchange is
// interrupted, also while the body is read. Errors are of type *slipwick.Error; OutcomeNotRun means
// that nothing was sent.
func (c *Client) Do(ctx context.Context, key, address string, request *Request) (*Response, error) {
	conn, err := c.prepare(ctx, key, address, request)
	if err != nil {
		return nil, err
	}
	conn.requestIDs.add(request.ID)
	started := clock.Now()
	stop := conn.interruptOnDone(ctx)
	written := conn.write(request, &bodyWriter{
		conn:   conn.Conn,
		unread: &c.unread,
		key:    key,
	})
	var response *http.Response
	watch := c.watchSilence(conn, request.Timeouts)
	timeouts := watch.headTimeouts()
	err = conn.awaitData(ctx, timeouts.FirstByte, timeouts.OnTimeout)
	if err == nil {
		reader := &responseReader{
			connection: conn,
			client:     c,
			request:    request,
			timeouts:   watch.bodyTimeouts(),
		}
		response, err = reader.readHead(ctx)
	}
	if err != nil {
		stop()
		_ = conn.Close()
		took := clock.Since(started)
		isForgotten := !conn.idleSince.IsZero() && ctx.Err() == nil && isClosedByPeer(err)
		err = c.exchangeError(ctx, address, conn.route, err)
		if isForgotten && !IsRouteLost(err) {
			c.recordClosedExchange(key, started.Sub(conn.idleSince), took)
		}
		return nil, err
	}
	framing := framingOf(response)
	return &Response{
		Status:   response.StatusCode,
		Header:   response.Header,
		Length:   response.ContentLength,
		Framing:  framing,
		Use:      conn.use(),
		ctx:      ctx,
		client:   c,
		key:      key,
		address:  address,
		conn:     conn,
		written:  written,
		body:     response.Body,
		stop:     stop,
		reusable: framing != FramingClose && !response.Close,
		timeouts: watch.bodyTimeouts(),
	}, nil
}

// prepare waits until the backend server may get the body, and returns a connection for the request unless BeforeWrite
// withholds it. The body counts as unread then.
func (c *Client) prepare(ctx context.Context, key, address string, request *Request) (*connection, error) {
	size := int64(len(request.Body))
	if err := c.unread.add(ctx, key, size, request.Timeouts.FirstByte); err != nil {
		return nil, unreadError(address, err)
	}
	conn, err := c.connection(ctx, key, address, request)
	if err != nil {
		c.unread.removeUnsent(key, size)
		return nil, err
	}
	if request.BeforeWrite == nil {
		return conn, nil
	}
	if err := request.BeforeWrite(); err != nil {
		c.unread.removeUnsent(key, size)
		c.putBackUnused(key, conn)
		return nil, withheldError(address, err)
	}
	return conn, nil
}

// connection returns an idle connection that may carry the request, or dials a new one. Idle connections that may not
// carry it stay open for other requests.
func (c *Client) connection(ctx context.Context, key, address string, request *Request) (*connection, error) {
	now, cause, needsUnused := clock.Now(), DialBusy, c.needsUnused(key, request)
	if !c.hasConnected(key) {
		cause = DialFirst
	}
	for {
		conn, isPassedOver := c.popIdle(key, request, needsUnused)
		if conn == nil && isPassedOver {
			return c.dialInPlaceOfIdle(ctx, key, address, passedOverCause(needsUnused))
		}
		if conn == nil {
			return c.dialFor(ctx, key, address, cause)
		}
		switch maxIdleTime := request.MaxIdleTime; {
		case !now.Before(conn.idleUntil):
			cause = DialIdleTooLong
		case !conn.isIdle():
			cause = DialClosedByServer
		case maxIdleTime > 0 && now.Sub(conn.idleSince) > maxIdleTime:
			// The connections that are left were idle for longer still.
			c.pushIdle(key, conn)
			return c.dialFor(ctx, key, address, DialIdleTooLong)
		default:
			return conn, nil
		}
		_ = conn.Close()
	}
}

// dialInPlaceOfIdle dials a connection for a request that the idle connections may not carry. If no further connection
// may be open, it closes the longest idle one.
func (c *Client) dialInPlaceOfIdle(
	ctx context.Context, key, address string, cause DialCause,
) (*connection, error) {
	conn, err := c.dialFor(ctx, key, address, cause)
	if !IsConnectionLimit(err) {
		return conn, err
	}
	oldest := c.takeLongestIdle(key)
	if oldest == nil {
		return nil, err
	}
	_ = oldest.Close()
	return c.dialFor(ctx, key, address, cause)
}

// dialFor dials a connection for a request and counts it by cause.
func (c *Client) dialFor(ctx context.Context, key, address string, cause DialCause) (*connection, error) {
	conn, err := c.dial(ctx, key, address)
	if err == nil {
		c.OpenedByCause[cause].Add(1)
	}
	return conn, err
}

// hasConnected reports whether a connection to the backend server was opened before.
func (c *Client) hasConnected(key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, isKnown := c.dialTimes[key]
	return isKnown
}

// pushIdle puts back a connection that popIdle returned.
func (c *Client) pushIdle(key string, conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		_ = conn.Close()
		return
	}
	idle := c.idle[key]
	at := len(idle)
	for at > 0 && idle[at-1].idleSince.After(conn.idleSince) {
		at--
	}
	c.idle[key] = slices.Insert(idle, at, conn)
}

// putBackUnused puts back a connection that was chosen for a request and not used, and closes it if it is new.
func (c *Client) putBackUnused(key string, conn *connection) {
	if conn.idleSince.IsZero() {
		_ = conn.Close()
		return
	}
	c.pushIdle(key, conn)
}

// popIdle removes the most recently used idle connection that may carry the request and returns it, or nil if there
// is none. isPassedOver says that there are others, which may not carry it.
func (c *Client) popIdle(key string, request *Request, needsUnused bool) (conn *connection, isPassedOver bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idle[key]
	for i := len(idle) - 1; i >= 0; i-- {
		if conn := idle[i]; conn.mayCarry(request, needsUnused) {
			c.idle[key] = slices.Delete(idle, i, i+1)
			return conn, isPassedOver
		}
		isPassedOver = true
	}
	return nil, isPassedOver
}

// takeLongestIdle removes the connection that has been idle for the longest time and returns it, or nil if there is
// none.
func (c *Client) takeLongestIdle(key string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idle[key]
	if len(idle) == 0 {
		return nil
	}
	oldest := idle[0]
	c.idle[key] = slices.Delete(idle, 0, 1)
	return oldest
}

// dialTimeout returns the timeout of the next dial to the backend server.
func (c *Client) dialTimeout(key string) time.Duration {
	limit := orDefault(c.DialTimeout, defaultDialTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	took, isKnown := c.dialTimes[key]
	if !isKnown {
		return limit
	}
	return min(max(dialFactor*took, minDialTimeout), limit)
}

// recordDialTime records how long a dial took. The recorded time is the longest one, halved with
// each later dial.
func (c *Client) recordDialTime(key string, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dialTimes == nil {
		c.dialTimes = make(map[string]time.Duration)
	}
	c.dialTimes[key] = max(took, c.dialTimes[key]/2)
}

func (c *Client) dial(ctx context.Context, key, address string) (*connection, error) {
	if !c.open.add(key) {
		return nil, connectionLimitError(address)
	}
	conn, err := c.dialAnyRoute(ctx, key, address)
	if err != nil {
		c.open.remove(key)
		return nil, connectError(address, err)
	}
	return conn, nil
}

// dialAnyRoute opens a connection from this router itself, or through another router if this one doesn't reach the
// backend server.
func (c *Client) dialAnyRoute(ctx context.Context, key, address string) (*connection, error) {
	r := c.directRoute(key, address)
	switch isLost := r.isLost.Load(); {
	case !c.findsPaths():
	case c.PathLost():
		return c.dialTunnel(ctx, key)
	case isLost:
		conn, err := c.dialTunnel(ctx, key)
		if slipwick.IsKind(err, slipwick.KindNoPath) {
			// Other servers can be reached.
			err = errServerPathLost
		}
		return conn, err
	}
	conn, err := c.dialDirect(ctx, key, address, c.dialTimeout(key))
	if err != nil {
		return c.dialAfterFailure(ctx, r, err)
	}
	return conn, nil
}

// NewDialer returns a dialer whose connections count as lost when the other end is silent for too long.
func (c *Client) NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveInterval,
			Interval: keepAliveInterval,
			Count:    2,
		},
		Control: c.setUserTimeout,
	}
}

// dialDirect opens a connection from this router itself.
func (c *Client) dialDirect(ctx context.Context, key, address string, timeout time.Duration) (*connection, error) {
	started := time.Now()
	conn, err := c.NewDialer(timeout).DialContext(ctx, "tcp", address)
	if err != nil {
		c.FailedDials[dialFailureOf(err)].Add(1)
		return nil, err
	}
	c.OpenedConnections.Add(1)
	c.recordDialTime(key, time.Since(started))
	c.path.recordOpened()
	r := c.directRoute(key, address)
	r.recordData()
	return c.newConnection(key, tcpconn.New(conn), r), nil
}

// DialForRouter opens a connection to a backend server for another router. The error has KindNoPath if this
// router doesn't reach the server because of its own network path.
func (c *Client) DialForRouter(ctx context.Context, backend *slipwick.Backend) (*tcpconn.Conn, error) {
	key := backend.Incarnation()
	if c.PathLost() || c.isServerLost(key) {
		return nil, noPathError(backend.Address)
	}
	conn, err := c.dialDirect(ctx, key, backend.Address, c.dialTimeout(key))
	if err == nil {
		return conn.Conn, nil
	}
	if c.verifyPathLost(ctx) {
		return nil, noPathError(backend.Address)
	}
	return nil, err
}

// dialTunnel opens a connection through another router.
func (c *Client) dialTunnel(ctx context.Context, key string) (*connection, error) {
	conn, router, err := c.Tunnels.OpenTunnel(ctx, key)
	if err != nil {
		return nil, err
	}
	r := c.tunnelRoute(router)
	r.recordData()
	return c.newConnection(key, tcpconn.New(conn), r), nil
}

// tunnelRoute returns the route through a router.
func (c *Client) tunnelRoute(router string) *route {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.tunnelRoutes[router]
	if r == nil {
		if c.tunnelRoutes == nil {
			c.tunnelRoutes = make(map[string]*route)
		}
		r = &route{
			router: router,
		}
		c.tunnelRoutes[router] = r
	}
	return r
}

func (c *Client) newConnection(key string, tcp *tcpconn.Conn, r *route) *connection {
	limited := &readlimit.Reader{
		Source: &observedReader{
			Conn:  tcp,
			route: r,
		},
	}
	return &connection{
		Conn:    tcp,
		number:  c.opened.Add(1),
		key:     key,
		reader:  bufio.NewReaderSize(limited, bufferSize),
		limited: limited,
		route:   r,
		onClose: func() { c.open.remove(key) },
	}
}

// RefusesConnections reports whether the backend server's box refuses connections, so that nothing
// listens at the address any more. It returns false if the dial times out, which does not prove
// that the backend server has ended. A connection that it opens is kept for later exchanges. It
// blocks for at most minDialTimeout.
func (c *Client) RefusesConnections(ctx context.Context, key, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, minDialTimeout)
	defer cancel()
	conn, err := c.dial(ctx, key, address)
	if err != nil {
		return IsConnectionRefused(err)
	}
	c.putIdle(key, conn, defaultMaxIdleTime)
	return false
}

// setUserTimeout sets TCP_USER_TIMEOUT, which makes the kernel close a connection whose data stays
// unacknowledged for too long.
func (c *Client) setUserTimeout(_, _ string, raw syscall.RawConn) error {
	timeout := int(orDefault(c.UserTimeout, defaultUserTimeout).Milliseconds())
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, timeout)
	})
	if err != nil {
		return err
	}
	return sockoptErr
}

// putIdle keeps a connection for later exchanges, during at most maxIdleTime. It closes connections
// to the same backend server, the longest idle first, that are over the limit or have been idle for
// too long.
func (c *Client) putIdle(key string, conn *connection, maxIdleTime time.Duration) {
	closeAll(c.addIdle(key, conn, maxIdleTime))
}

// addIdle adds an idle connection and returns those that have to be closed.
func (c *Client) addIdle(key string, conn *connection, maxIdleTime time.Duration) []*connection {
	now, mayKeep := clock.Now(), c.mayKeep(key, conn)
	conn.idleSince, conn.idleUntil = now, now.Add(maxIdleTime)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed || !mayKeep {
		return []*connection{conn}
	}
	if c.idle == nil {
		c.idle = make(map[string][]*connection)
	}
	idle := c.idle[key]
	limit := c.maxIdleConns
	if limit == 0 {
		limit = maxIdleConnsPerServer
	}
	// The slice is ordered by idle time, longest first.
	dropped := 0
	for dropped < len(idle) && (len(idle)-dropped >= limit || now.After(idle[dropped].idleUntil)) {
		dropped++
	}
	c.idle[key] = append(idle[dropped:], conn)
	return idle[:dropped]
}

// Retain closes the idle connections of all backend servers whose key is not known any more, and
// forgets their dial times. known is called without a lock: whoever knows the keys may ask for idle
// connections meanwhile.
func (c *Client) Retain(known func(key string) bool) {
	unknown := c.keys()
	maps.DeleteFunc(unknown, func(key string, _ struct{}) bool { return known(key) })
	closeAll(c.forget(unknown))
}

// keys returns the keys of all backend servers to which connections are idle or were opened.
func (c *Client) keys() map[string]struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	keys := make(map[string]struct{}, len(c.dialTimes))
	for key := range c.directRoutes {
		keys[key] = struct{}{}
	}
	for key := range c.idle {
		keys[key] = struct{}{}
	}
	for key := range c.dialTimes {
		keys[key] = struct{}{}
	}
	for key := range c.namings {
		keys[key] = struct{}{}
	}
	return keys
}

// forget removes what is known of backend servers and returns their idle connections.
func (c *Client) forget(keys map[string]struct{}) []*connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	var idle []*connection
	for key := range keys {
		idle = append(idle, c.idle[key]...)
		delete(c.directRoutes, key)
		delete(c.idle, key)
		delete(c.dialTimes, key)
		delete(c.namings, key)
	}
	return idle
}

func closeAll(connections []*connection) {
	for _, conn := range connections {
		_ = conn.Close()
	}
}

// Close closes all idle connections. Those of exchanges that are still in progress are closed when these
// end.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isClosed = true
	for _, idle := range c.idle {
		for _, conn := range idle {
			_ = conn.Close()
		}
	}
	c.idle = nil
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value == 0 {
		return fallback
	}
	return value
}
