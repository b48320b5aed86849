package tunnel

import (
	"bufio"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/internal/readlimit"
)

const (
	// askTimeout bounds the time until a router responds, which itself dials the backend server, openTimeout that
	// until a tunnel is open.
	askTimeout  = 500 * time.Millisecond
	openTimeout = 700 * time.Millisecond
	// maxResponseBytes bounds the response of a router to a request for a tunnel.
	maxResponseBytes = 16 << 10
	// maxAsked is how many routers are asked for one tunnel at most. Those without a path decline at once.
	maxAsked = 8
	// exclusion is how long a router that declined or didn't respond isn't asked.
	exclusion = time.Second
	// keptTime is how long a router through which a tunnel was opened is preferred to others.
	keptTime = 5 * time.Second
	// spread is among how many equally good routers one is chosen at random.
	spread = 4
)

var _ slipwick.TunnelSource = (*Dialer)(nil)

// Dialer opens tunnels through other routers. Set the exported fields before the first call.
type Dialer struct {
	// Self is this router.
	Self slipwick.Router
	// Backend returns the listed backend server with an incarnation.
	Backend func(incarnation string) (backend slipwick.Backend, ok bool)
	// Connect opens a TCP connection to a router's address.
	Connect func(ctx context.Context, address string) (net.Conn, error)
	// Random returns a random number in [0, 1); nil stands for rand.Float64.
	Random func() float64

	// Opened counts the tunnels opened, Declined the requests for one that a router declined or didn't answer.
	Opened, Declined atomic.Int64

	mu      sync.Mutex
	routers map[string]*helper
}

// helper is what is known of another router.
type helper struct {
	router slipwick.Router
	// usedAt is when a tunnel was last opened through it, excludedUntil until when it isn't asked.
	usedAt, excludedUntil time.Time
}

// SetRouters sets the routers that may be asked: live ones that are not leaving. The list may include this one.
func (d *Dialer) SetRouters(routers []slipwick.Router) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.routers
	d.routers = make(map[string]*helper, len(routers))
	for _, r := range routers {
		if r.ID == d.Self.ID {
			continue
		}
		h := known[r.ID]
		if h == nil || h.router != r {
			h = &helper{
				router: r,
			}
		}
		d.routers[r.ID] = h
	}
}

// HasRouters implements slipwick.TunnelSource.
func (d *Dialer) HasRouters() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.routers) > 0
}

// IsUsable implements slipwick.TunnelSource.
func (d *Dialer) IsUsable(router string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.routers[router]
	return h != nil && !clock.Now().Before(h.excludedUntil)
}

// ExcludeRouter implements slipwick.TunnelSource.
func (d *Dialer) ExcludeRouter(router string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if h := d.routers[router]; h != nil {
		h.excludedUntil, h.usedAt = clock.Now().Add(exclusion), time.Time{}
	}
}

// OpenTunnel implements slipwick.TunnelSource.
func (d *Dialer) OpenTunnel(ctx context.Context, incarnation string) (net.Conn, string, error) {
	backend, ok := d.Backend(incarnation)
	if !ok {
		return nil, "", noPathError(nil)
	}
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	var asked []string
	var last error
	for len(asked) < maxAsked && ctx.Err() == nil {
		router, ok := d.choose(&backend, asked)
		if !ok {
			break
		}
		asked = append(asked, router.ID)
		conn, err := d.open(ctx, &router, incarnation, &backend)
		switch {
		case err == nil:
			d.recordUse(router.ID)
			return conn, router.ID, nil
		case isServerFailure(err):
			d.recordUse(router.ID)
			return nil, "", err
		}
		last = err
		d.Declined.Add(1)
		d.ExcludeRouter(router.ID)
	}
	return nil, "", noPathError(last)
}

func noPathError(cause error) error {
	return &slipwick.Error{
		Kind:    slipwick.KindNoPath,
		Message: "no network path to the backend servers, neither from this router nor through another one",
		Remedy:  "check the network between routers and backend servers",
		Outcome: slipwick.OutcomeNotRun,
		Cause:   cause,
	}
}

func (d *Dialer) recordUse(router string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if h := d.routers[router]; h != nil {
		h.usedAt, h.excludedUntil = clock.Now(), time.Time{}
	}
}

// choose returns the router to ask next, other than those asked already: one in use, else a near one. If all are
// excluded, it returns the one whose exclusion ends first, unless another one was asked.
func (d *Dialer) choose(backend *slipwick.Backend, asked []string) (slipwick.Router, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	best := d.bestLocked(backend, asked, now)
	if len(best) > 0 {
		return best[int(d.random()*float64(len(best)))].router, true
	}
	if len(asked) > 0 {
		return slipwick.Router{}, false
	}
	var first *helper
	for _, h := range d.routers {
		if first == nil || h.excludedUntil.Before(first.excludedUntil) {
			first = h
		}
	}
	if first == nil {
		return slipwick.Router{}, false
	}
	return first.router, true
}

func (d *Dialer) random() float64 {
	if d.Random == nil {
		return rand.Float64()
	}
	return d.Random()
}

// open opens a tunnel through one router.
func (d *Dialer) open(
	ctx context.Context, router *slipwick.Router, incarnation string, backend *slipwick.Backend,
) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	conn, err := d.Connect(ctx, router.Address)
	if err != nil {
		return nil, err
	}
	if err := request(ctx, conn, incarnation, backend.Address); err != nil {
		_ = conn.Close()
		return nil, err
	}
	d.Opened.Add(1)
	return conn, nil
}

// request asks for a tunnel over the connection and reads the response.
func request(ctx context.Context, conn net.Conn, incarnation, address string) error {
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	r := &http.Request{
		Method: http.MethodConnect,
		URL: &url.URL{
			Host: address,
		},
		Host:   address,
		Header: http.Header{},
	}
	r.Header.Set(BackendHeader, incarnation)
	if err := r.Write(conn); err != nil {
		return err
	}
	limited := &readlimit.Reader{
		Source: conn,
	}
	limited.Limit(maxResponseBytes)
	reader := bufio.NewReader(limited)
	response, err := http.ReadResponse(reader, r)
	if err != nil {
		return err
	}
	switch {
	case response.StatusCode == statusRefused:
		return &serverError{
			cause: syscall.ECONNREFUSED,
		}
	case response.StatusCode == statusTimedOut:
		return &serverError{
			cause: syscall.ETIMEDOUT,
		}
	case response.StatusCode != http.StatusOK:
		return errors.New("the router opens no tunnel: " + response.Status)
	case reader.Buffered() > 0 || !stop():
		return errors.New("the tunnel is not in its initial state")
	}
	return nil
}

// serverError is what another router found at the backend server.
type serverError struct{ cause syscall.Errno }

func (e *serverError) Error() string { return "through another router: " + e.cause.Error() }
func (e *serverError) Unwrap() error { return e.cause }

func isServerFailure(err error) bool {
	var failure *serverError
	return errors.As(err, &failure)
}

func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
