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
	"github.com/slipwick/slipwick/dispatch"
	"github.com/slipwick/slipwick/exchange"
	"github.com/slipwick/slipwick/fleet"
	"github.com/slipwick/slipwick/inbound"
	"github.com/slipwick/slipwick/membership"
	"github.com/slipwick/slipwick/memory"
	"github.com/slipwick/slipwick/objectapi"
	"github.com/slipwick/slipwick/peer"
	"github.com/slipwick/slipwick/quarantine"

	"github.com/slipwick/slipwick/cmd/internal/events"
)

// Router is one chat router process. The exported fields have to be set before Run.
type Router struct {
	Settings *Settings
	Log      zerolog.Logger

	listeners listeners
	// callers and operators accept connections. memory counts the bytes held for callers, pacer slows down connections
	// that take most processor time.
	callers, operators *inbound.Listener

	memory *memory.Account
	pacer  inbound.Pacer

	frontend *frontend
	platform *objectapi.Client
	// follower keeps the configuration in force up to date.
	follower *configuration.Follower
	// viewBuilder combines the configuration and the live routers into the view that coordinator uses.
	viewBuilder *fleet.ViewBuilder
	// coordinator gets slots of backend servers for requests and grants those of the owned ones.
	coordinator *admission.Coordinator
	// node tracks the live routers by gossip over membershipUDP.
	node *membership.Node
	// mesh holds the streams with the other routers.
	mesh *peer.Mesh
	// claims makes each request with an idempotency key run at most once in the fleet.
	claims *claims.Claims
	// configSyncer exchanges versions of the configuration with the other routers.
	configSyncer  *configuration.Syncer
	membershipUDP *membership.UDP
	// crashTracker quarantines requests that crash backend servers; crashGossiper
	// exchanges the crashes with the other routers.
	crashTracker  *quarantine.Tracker
	crashGossiper *exchange.CrashGossiper
	// healthUpdates queues the health changes of the backend servers that this router owns.
	healthUpdates chan healthUpdate
	// members holds the routers of the latest membership change.
	members atomic.Pointer[[]slipwick.Router]

	// joined is set once the router has had the time to learn of the other live
	// routers, draining once it was asked to stop; frontend.stopping follows after limits.announce.
	joined   atomic.Bool
	draining atomic.Bool
	// watchesPlatform is set if this router is one of those that watch the
	// configuration on the platform.
	watchesPlatform atomic.Bool
	// platformSent and platformReceived count the bytes of calls to the platform.
	platformSent     atomic.Int64
	platformReceived atomic.Int64

	started chan struct{}
	done    chan struct{}
}

// NewRouter returns a router that Run starts.
func NewRouter(settings *Settings, log zerolog.Logger) *Router {
	return &Router{
		Settings:      settings,
		Log:           log.With().Str("router", settings.ID).Logger(),
		healthUpdates: make(chan healthUpdate, healthQueueSize),
		started:       make(chan struct{}),
		done:          make(chan struct{}),
	}
}

// Started returns a channel that is closed when the router listens.
func (r *Router) Started() <-chan struct{} {
	return r.started
}

// Done returns a channel that is closed when Run has returned.
func (r *Router) Done() <-chan struct{} {
	return r.done
}

// ControlBytes returns the number of control bytes that the router has sent to and received from
// the platform and other routers. Membership packets count with their headers, streams only
// with the payload of TCP. Call it only after Started.
func (r *Router) ControlBytes() int64 {
	return r.platformSent.Load() + r.platformReceived.Load() + r.mesh.Sent.Load() + r.mesh.Received.Load() +
		r.membershipUDP.Sent.Load() + r.membershipUDP.Received.Load()
}

// Run serves until ctx ends, then drains: it hands over what the router owns and finishes the
// requests in progress, up to limits.drain. It returns an error if a part of the router fails.
// It may be called once.
func (r *Router) Run(ctx context.Context) error {
	defer close(r.done)
	if err := r.listeners.open(&r.Settings.Listen); err != nil {
		r.listeners.close()
		return err
	}
	memory.LimitRuntime(r.Settings.Limits.MemoryMB << 20)
	r.assemble()
	if err := r.enableTLS(); err != nil {
		r.listeners.close()
		return err
	}
	r.assembleListeners()
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var tasks sync.WaitGroup
	failed := make(chan error, 4)
	for _, task := range []func(context.Context){
		r.follower.Run, r.coordinator.Run, r.node.Run, r.claims.Run, r.pollBoxes, r.probeEngines,
		r.broadcastHealth, r.crashGossiper.Run, r.pacer.Run,
	} {
		tasks.Go(func() { task(background) })
	}
	tasks.Go(func() { failed <- r.mesh.Run(background) })
	tasks.Go(func() { failed <- r.membershipUDP.Run(background) })
	requests, endRequests := context.WithCancelCause(background)
	defer endRequests(nil)
	callers := serverOf(r.callersHandler(), &r.Settings.Limits)
	callers.BaseContext = func(net.Listener) context.Context { return requests }
	callers.MaxHeaderBytes = int(r.Settings.Limits.headerBytes())
	operators := serverOf(r.operatorsHandler(), &r.Settings.Limits)
	operators.WriteTimeout = r.Settings.Limits.Write.Or(defaultWrite)
	tasks.Go(func() { failed <- callers.Serve(r.callersListener()) })
	tasks.Go(func() { failed <- operators.Serve(r.operators) })
	events.RouterStarted.On(&r.Log).Str("callers", r.CallersAddress()).Send()
	close(r.started)
	var err error
	select {
	case <-ctx.Done():
		r.drain(callers, endRequests)
	case err = <-failed:
		err = errors.Wrap(err, "serve")
	}
	_ = callers.Close()
	_ = operators.Close()
	r.node.Stop()
	stop()
	tasks.Wait()
	return err
}

// readHeaderTimeout bounds the time in which a caller has to send the header of a request; limits.write
// bounds only what is sent to callers.
const readHeaderTimeout = 10 * time.Second

// drain hands over what the router owns and reports not ready for limits.announce, so that the
// load balancer stops sending requests. Then it finishes the requests in progress, up to limits.drain,
// and ends what is left with an error response.
func (r *Router) drain(callers *http.Server, endRequests context.CancelCauseFunc) {
	events.DrainStarted.On(&r.Log).Send()
	r.draining.Store(true)
	r.node.Leave()
	time.Sleep(r.Settings.Limits.Announce.Or(defaultAnnounce))
	limit := r.Settings.Limits.Drain.Or(defaultDrain)
	end := time.Now().Add(limit)
	r.frontend.endsAt.Store(&end)
	r.frontend.stopping.Store(true)
	inTime := shutDown(callers, limit)
	endRequests(dispatch.ErrStopped)
	if !inTime {
		shutDown(callers, lastResponsesTime)
	}
	events.DrainFinished.On(&r.Log).Bool("in_time", inTime).Send()
}

// lastResponsesTime is how long the error responses to requests that are ended may take.
const lastResponsesTime = time.Second

// shutDown closes a server when its requests have ended, and reports whether they did within the limit.
func shutDown(server *http.Server, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return server.Shutdown(ctx) == nil
}

// applySnapshot puts a version of the configuration in force.
func (r *Router) applySnapshot(snapshot *configuration.Snapshot) {
	r.frontend.routes.Store(newRoutes(snapshot))
	r.viewBuilder.SetConfiguration(snapshot)
	r.node.SetVersion(uint64(snapshot.Version))
	r.frontend.metrics.ConfigurationVersion.Set(float64(snapshot.Version))
	events.ConfigurationInForce.On(&r.Log).Uint64("version", uint64(snapshot.Version)).Send()
}

// isReady reports whether the load balancer may send requests to this router.
func (r *Router) isReady() bool {
	return r.follower.Current() != nil && r.joined.Load() && !r.draining.Load()
}

// CallersAddress returns the host:port for callers. Call it only after Started.
func (r *Router) CallersAddress() string {
	return r.listeners.callers.Addr().String()
}

// OperatorsAddress returns the host:port for operators. Call it only after Started.
func (r *Router) OperatorsAddress() string {
	return r.listeners.operators.Addr().String()
}

// PeersAddress returns the host:port for other routers. Call it only after Started.
func (r *Router) PeersAddress() string {
	return r.listeners.peers.Addr().String()
}
