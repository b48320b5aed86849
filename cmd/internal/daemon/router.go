package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/admission"
	"github.com/slipwick/slipwick/claims"
	"github.com/slipwick/slipwick/configuration"
	"github.com/slipwick/slipwick/exchange"
	"github.com/slipwick/slipwick/fleet"
	"github.com/slipwick/slipwick/membership"
	"github.com/slipwick/slipwick/objectapi"
	"github.com/slipwick/slipwick/peer"
	"github.com/slipwick/slipwick/quarantine"

	"github.com/slipwick/slipwick/cmd/internal/events"
)

// Router is one router process. Set the exported fields before Run.
type Router struct {
	Settings *Settings
	Log      zerolog.Logger

	listeners listeners

	front       *front
	platform    *objectapi.Client
	follower    *configuration.Follower
	viewer      *fleet.Viewer
	coordinator *admission.Coordinator
	node        *membership.Node
	mesh        *peer.Mesh
	claims      *claims.Claims
	sharing     *configuration.Syncer
	udp         *membership.UDP
	// ledger keeps requests from backend servers that end under them, marks tells the
	// others.
	ledger   *quarantine.Tracker
	marks    *exchange.CrashGossiper
	health   chan healthNews
	eligible atomic.Pointer[[]slipwick.Router]

	// joined says that the router had the time to learn who else lives;
	// draining that it was asked to stop.
	joined   atomic.Bool
	draining atomic.Bool
	watches  atomic.Bool
	sent     atomic.Int64
	received atomic.Int64
	started  chan struct{}
	done     chan struct{}
}

// NewRouter makes a router that Run starts.
func NewRouter(settings *Settings, log zerolog.Logger) *Router {
	return &Router{
		Settings: settings,
		Log:      log.With().Str("router", settings.ID).Logger(),
		health:   make(chan healthNews, healthBacklog),
		started:  make(chan struct{}),
		done:     make(chan struct{}),
	}
}

// Started is closed when the router listens.
func (r *Router) Started() <-chan struct{} {
	return r.started
}

// Done is closed when the router has stopped.
func (r *Router) Done() <-chan struct{} {
	return r.done
}

// ControlBytes is what the router has sent and received for control: towards
// the platform and other routers. Packets of membership count with their
// headers, streams as what is above TCP.
func (r *Router) ControlBytes() int64 {
	return r.sent.Load() + r.received.Load() + r.mesh.Sent.Load() + r.mesh.Received.Load() +
		r.udp.Sent.Load() + r.udp.Received.Load()
}

// Run serves until ctx ends, then drains: it finishes what is in progress.
func (r *Router) Run(ctx context.Context) error {
	defer close(r.done)
	if err := r.listeners.open(&r.Settings.Listen); err != nil {
		return err
	}
	r.assemble()
	if err := r.secure(); err != nil {
		return err
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var parts sync.WaitGroup
	failed := make(chan error, 4)
	for _, part := range []func(context.Context){
		r.follower.Run, r.coordinator.Run, r.node.Run, r.claims.Run, r.followBoxes, r.probeEngines,
		r.spreadHealth, r.marks.Run,
	} {
		parts.Go(func() { part(background) })
	}
	parts.Go(func() { failed <- r.mesh.Run(background) })
	parts.Go(func() { failed <- r.udp.Run(background) })
	callers, operators := newServer(r.callersHandler()), newServer(r.operatorsHandler())
	parts.Go(func() { failed <- callers.Serve(r.listeners.callers) })
	parts.Go(func() { failed <- operators.Serve(r.listeners.operators) })
	events.RouterStarted.On(&r.Log).Str("callers", r.CallersAddress()).Send()
	close(r.started)
	var err error
	select {
	case <-ctx.Done():
		r.drain(callers)
	case err = <-failed:
		err = errors.Wrap(err, "serve")
	}
	_ = callers.Close()
	_ = operators.Close()
	r.node.Stop()
	stop()
	parts.Wait()
	return err
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: defaultWrite,
	}
}

// drain hands over what the router owns, lets the balancer see that it leaves,
// then finishes what is in progress within the time limit.
func (r *Router) drain(callers *http.Server) {
	events.DrainStarted.On(&r.Log).Send()
	r.draining.Store(true)
	r.node.Leave()
	time.Sleep(r.Settings.Limits.Announce.Or(defaultAnnounce))
	r.front.closed.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), r.Settings.Limits.Drain.Or(defaultDrain))
	defer cancel()
	err := callers.Shutdown(ctx)
	events.DrainFinished.On(&r.Log).Bool("in_time", err == nil).Send()
}

// inForce puts a version of the configuration in force.
func (r *Router) inForce(snapshot *configuration.Snapshot) {
	r.front.routes.Store(newRoutes(snapshot))
	r.viewer.SetConfiguration(snapshot)
	r.node.SetVersion(uint64(snapshot.Version))
	r.front.metrics.Configuration.Set(float64(snapshot.Version))
	events.ConfigurationInForce.On(&r.Log).Uint64("version", uint64(snapshot.Version)).Send()
}

// isReady tells whether the balancer may send requests here.
func (r *Router) isReady() bool {
	return r.follower.Current() != nil && r.joined.Load() && !r.draining.Load()
}

// CallersAddress is where callers reach the router, once it has started.
func (r *Router) CallersAddress() string {
	return r.listeners.callers.Addr().String()
}

// OperatorsAddress is where operators reach the router, once it has started.
func (r *Router) OperatorsAddress() string {
	return r.listeners.operators.Addr().String()
}

// PeersAddress is where other routers reach the router, once it has started.
func (r *Router) PeersAddress() string {
	return r.listeners.peers.Addr().String()
}

// listeners are a router's open addresses.
type listeners struct {
	callers, operators, peers net.Listener

	packets *net.UDPConn
}
