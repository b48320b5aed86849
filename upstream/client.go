package upstream

import (
	"bufio"
	"context"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/slipwick/slipwick/clock"
)

// The figures of connections.
const (
	// defaultDialTimeout bounds the time in which a connection comes up: some
	// round trips within a region, below one resent packet (1 s).
	defaultDialTimeout = 400 * time.Millisecond
	// dialFactor times what a backend server's connections took is what the next may
	// take, and leastDialTimeout at least: what takes longer meets a box that is dark,
	// or a lost packet, and the request goes on elsewhere while it can be in time. The
	// least is many times what a router that is short of processor is late.
	dialFactor       = 8
	leastDialTimeout = 120 * time.Millisecond
	// defaultSilence is how long sent bytes and probes may go unacknowledged
	// before the path counts as cut.
	defaultSilence = 2 * time.Second
	// probeEvery is the pause between probes of a connection that waits.
	probeEvery = time.Second
	bufferSize = 4 << 10
	// maxResting bounds the connections kept for one backend server, unless
	// SetMaxResting says less.
	maxResting = 16
)

// Client holds the connections to backend servers. It is safe for concurrent
// use. Set the exported fields before the first call.
type Client struct {
	// DialTimeout and Silence take their defaults when zero.
	DialTimeout time.Duration
	Silence     time.Duration

	// Opened counts connections, Strays answers that belonged to an earlier
	// request.
	Opened atomic.Int64
	Strays atomic.Int64

	mu      sync.Mutex
	resting map[string][]*connection
	// took is how long connections to each backend server took to come up: the
	// longest lately.
	took map[string]time.Duration
	// mostResting is the bound that SetMaxResting gave; 0 stands for
	// maxResting.
	mostResting int
}

// SetMaxResting bounds the connections kept for one backend server, which
// takes only so many from all routers; it is at least one.
func (c *Client) SetMaxResting(most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mostResting = min(max(most, 1), maxResting)
}

// Do sends the request to a backend server and reads the head of its answer.
// The key names the backend server's connections. The end of ctx interrupts
// the exchange, also while the answer is read. Errors are *slipwick.Error;
// OutcomeNotRun says that nothing was sent.
func (c *Client) Do(ctx context.Context, key, address string, request *Request) (*Answer, error) {
	conn, err := c.take(ctx, key, address, request.MaxRest)
	if err != nil {
		return nil, err
	}
	stop := conn.interruptible(ctx)
	written := conn.write(request)
	var response *http.Response
	err = conn.awaitByte(ctx, request.Patience.First, request.Patience.Overdue)
	if err == nil {
		response, err = conn.read(request, &c.Strays)
	}
	if err != nil {
		stop()
		_ = conn.Close()
		return nil, broken(ctx, address, err)
	}
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	return &Answer{
		Status:   response.StatusCode,
		Header:   response.Header,
		Length:   response.ContentLength,
		ctx:      ctx,
		client:   c,
		key:      key,
		address:  address,
		conn:     conn,
		written:  written,
		body:     response.Body,
		stop:     stop,
		keep:     framed && !response.Close,
		patience: request.Patience,
	}, nil
}

// take gives a resting connection that is alive, or a new one.
func (c *Client) take(ctx context.Context, key, address string, maxRest time.Duration) (*connection, error) {
	now := clock.Now()
	for {
		conn := c.pop(key)
		if conn == nil {
			return c.dial(ctx, key, address)
		}
		fresh := maxRest == 0 || now.Sub(conn.restingSince) <= maxRest
		if fresh && now.Before(conn.usableUntil) && conn.isAlive() {
			conn.exchanges++
			return conn, nil
		}
		_ = conn.Close()
	}
}

// pop takes the connection that rested the shortest.
func (c *Client) pop(key string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	resting := c.resting[key]
	if len(resting) == 0 {
		return nil
	}
	conn := resting[len(resting)-1]
	c.resting[key] = resting[:len(resting)-1]
	return conn
}

// dialTimeout is how long a connection to the backend server may take to come up.
func (c *Client) dialTimeout(key string) time.Duration {
	most := orDefault(c.DialTimeout, defaultDialTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	took, isKnown := c.took[key]
	if !isKnown {
		return most
	}
	return min(max(dialFactor*took, leastDialTimeout), most)
}

// reached notes how long a connection took to come up. Of earlier ones less and less
// counts.
func (c *Client) reached(key string, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.took == nil {
		c.took = make(map[string]time.Duration)
	}
	c.took[key] = max(took, c.took[key]/2)
}

func (c *Client) dial(ctx context.Context, key, address string) (*connection, error) {
	started := time.Now()
	dialer := net.Dialer{
		Timeout: c.dialTimeout(key),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probeEvery,
			Interval: probeEvery,
			Count:    2,
		},
		Control: c.control,
	}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, unreachable(address, err)
	}
	c.Opened.Add(1)
	c.reached(key, time.Since(started))
	return &connection{
		Conn:   conn,
		reader: bufio.NewReaderSize(conn, bufferSize),
	}, nil
}

// IsGone tells whether nothing listens at a backend server's address any more: its box
// refuses a connection. One that says nothing is not known to be gone. A connection
// that comes up is kept for later exchanges.
func (c *Client) IsGone(ctx context.Context, key, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, leastDialTimeout)
	defer cancel()
	conn, err := c.dial(ctx, key, address)
	if err != nil {
		return IsRefused(err)
	}
	c.rest(key, conn, defaultRest)
	return false
}

// control has the kernel give up a connection whose path is cut.
func (c *Client) control(_, _ string, raw syscall.RawConn) error {
	silence := int(orDefault(c.Silence, defaultSilence).Milliseconds())
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, silence)
	})
	if err != nil {
		return err
	}
	return failed
}

// rest keeps a connection for later exchanges.
func (c *Client) rest(key string, conn *connection, forTime time.Duration) {
	now := clock.Now()
	conn.restingSince, conn.usableUntil = now, now.Add(forTime)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.resting == nil {
		c.resting = make(map[string][]*connection)
	}
	resting := c.resting[key]
	most := c.mostResting
	if most == 0 {
		most = maxResting
	}
	// The longest at rest stands first.
	for len(resting) > 0 && (len(resting) >= most || now.After(resting[0].usableUntil)) {
		_ = resting[0].Close()
		resting = resting[1:]
	}
	c.resting[key] = append(resting, conn)
}

// Retain closes the resting connections of backend servers that are gone: those
// whose keys are not known.
func (c *Client) Retain(known func(key string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, resting := range c.resting {
		if known(key) {
			continue
		}
		for _, conn := range resting {
			_ = conn.Close()
		}
		delete(c.resting, key)
	}
	maps.DeleteFunc(c.took, func(key string, _ time.Duration) bool { return !known(key) })
}

// Close closes all resting connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, resting := range c.resting {
		for _, conn := range resting {
			_ = conn.Close()
		}
	}
	c.resting = nil
}

func orDefault(given, standard time.Duration) time.Duration {
	if given == 0 {
		return standard
	}
	return given
}
