package gatewayd

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/connlimit"
	"github.com/slipwick/slipwick/directory"
	"github.com/slipwick/slipwick/exchange"
	"github.com/slipwick/slipwick/gateway"
	"github.com/slipwick/slipwick/inbound"
	"github.com/slipwick/slipwick/membership"
	"github.com/slipwick/slipwick/memory"
	"github.com/slipwick/slipwick/quarantine"
	"github.com/slipwick/slipwick/quota"
	"github.com/slipwick/slipwick/retry"
	"github.com/slipwick/slipwick/tunnel"
	"github.com/slipwick/slipwick/upstream"

	"github.com/slipwick/slipwick/cmd/internal/events"
)

const (
	// refuseTime is how long a draining router at least continues to run after
	// Bounds.announceTime, so that requests over connections that were just being opened get a
	// response, which may be a refusal.
	refuseTime = 500 * time.Millisecond
	// lateRequestTime is how long a draining router serves new requests after
	// Bounds.announceTime, provided their timeout ends within it.
	lateRequestTime = 3 * time.Second
	// graceMargin is the part of the grace period that is left for the last responses and for closing connections,
	// shutDownTime what the responses may take of it.
	graceMargin  = 300 * time.Millisecond
	shutDownTime = 150 * time.Millisecond
	// headerTimeout bounds the time to read a request's header.
	headerTimeout = 10 * time.Second
)

// Process is one gateway process. Create it with New, and set the exported fields before Run.
type Process struct {
	Settings *Settings
	Feeds    Feeds
	Log      zerolog.Logger
	// DroppedLines counts log lines that were not written; may be nil.
	DroppedLines *atomic.Int64
	// Switches select alternative decisions of the balancer, to compare them; none is set
	// in production.
	Switches balance.Switches
	// Reload receives a value when the settings may have changed, and ReadSettings
	// returns the current ones. Both may be nil.
	Reload       <-chan struct{}
	ReadSettings func() (*Settings, error)

	// gateway handles the requests of callers. balancer chooses their backend servers from the list
	// that backends keeps up to date, and client sends to these.
	gateway  *gateway.Gateway
	balancer *balance.Balancer
	backends *directory.Backends
	client   *upstream.Client
	// tunnels opens connections to backend servers through other routers, tunnelServer for them.
	tunnels      *tunnel.Dialer
	tunnelServer *tunnel.Server
	// budget is this router's part of the fleet's retry budget.
	budget *retry.Budget
	// pauses detects pauses of the process.
	pauses clock.Pauses
	// memory counts the bytes held for callers and backend servers.
	memory *memory.Account
	// node tracks the live routers by gossip over membershipUDP.
	node          *membership.Node
	membershipUDP *membership.UDP
	// syncer exchanges the updates of the balancers with the other routers over exchangeUDP.
	syncer *exchange.Syncer
	// recovery finds out after a start which prompts engines have cached.
	recovery *exchange.Recovery
	// crashTracker quarantines requests that crash backend servers, crashGossiper reports the
	// crashes to the other routers, over exchangeUDP too.
	crashTracker  *quarantine.Tracker
	crashGossiper *exchange.CrashGossiper
	// admission says whether requests need permits, which permits grants. overloads counts the
	// requests that waited for one or were refused.
	admission admissionSwitch
	permits   *permitSources
	overloads overloads
	peers     *peers
	// mirrors holds this router's copies of the feeds by name, for other routers.
	mirrors     map[string]*directory.Mirror
	exchangeUDP *membership.UDP
	// permitEndpoint exchanges permits with the coordinators of pools, limiter divides the slots of
	// larger pools; both are nil if the settings never use admission control.
	permitEndpoint *permits
	limiter        *quota.Limiter
	metrics        *metrics
	observer       *observer

	// callers, probes, fromPeers and operators accept connections, the last is nil without an address for it.
	// connectionLimit limits new connections of callers, pacer slows down connections that take most processor time.
	callers, probes, fromPeers, operators *inbound.Listener

	connectionLimit connlimit.Limiter
	pacer           inbound.Pacer

	// invalidEntries are the store's entries that cannot be decoded.
	invalidEntries *invalidEntries

	// timeline is how often the store was restored from a backup, according to its latest
	// response. storeRestores counts how often a feed started over because of such a restore.
	timeline      atomic.Uint64
	storeRestores atomic.Int64

	// backendsListed is set once the list of backend servers is known.
	backendsListed atomic.Bool
	// evacuated are the evacuated data centres; evacuationsKnown is closed when they are
	// first known.
	evacuated        atomic.Pointer[[]string]
	evacuationsKnown chan struct{}
	// rollouts compares the versions of running rollouts; rolloutsKnown is closed when the
	// rollout orders are first known.
	rollouts      *rollouts
	rolloutsKnown chan struct{}
	// ready is closed when the process has a routing table and the lists of backend servers,
	// evacuated data centres and rollouts, or waited for the latter two in vain.
	// cachesKnown is closed when it knows which prompts engines have cached, or has given up
	// on the engines whose caches it could not find out.
	ready, cachesKnown chan struct{}

	draining atomic.Bool
	// seeds, gracePeriod and bounds are from the settings read last.
	seeds       atomic.Pointer[[]string]
	gracePeriod atomic.Int64
	bounds      atomic.Pointer[Bounds]
	done        chan struct{}
}

// New returns a process with the settings and feeds; Run starts it.
func New(settings *Settings, feeds Feeds) *Process {
	p := &Process{
		Settings:    settings,
		Feeds:       feeds,
		Log:         zerolog.Nop(),
		ready:       make(chan struct{}),
		cachesKnown: make(chan struct{}),
		done:        make(chan struct{}),

		evacuationsKnown: make(chan struct{}),
		rolloutsKnown:    make(chan struct{}),
	}
	p.invalidEntries = newInvalidEntries(p)
	return p
}

// Done is closed when the process has stopped.
func (p *Process) Done() <-chan struct{} {
	return p.done
}

// Run serves requests until ctx ends, then drains and returns nil. It returns an error if an
// address cannot be opened or a server fails. It may be called once.
func (p *Process) Run(ctx context.Context) error {
	defer close(p.done)
	p.Log = p.Log.With().Str("router", p.Settings.ID).Logger()
	memory.LimitRuntime(p.Settings.MemoryBytes)
	open, err := p.listen()
	if err != nil {
		return err
	}
	p.assemble(open)
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var tasks sync.WaitGroup
	failed := make(chan error, 7)
	for _, task := range p.components() {
		tasks.Go(func() { task(background) })
	}
	tasks.Go(func() { failed <- p.membershipUDP.Run(background) })
	tasks.Go(func() { failed <- p.exchangeUDP.Run(background) })
	if p.permitEndpoint != nil {
		tasks.Go(func() { failed <- p.runPermits(background) })
	}
	servers := p.servers()
	for _, server := range servers {
		tasks.Go(func() { failed <- server.Serve(server.listener) })
	}
	events.RouterStarted.On(&p.Log).Str("callers", open.callers.Addr().String()).
		Bool("first_start", p.Settings.FirstStart).Send()
	select {
	case <-ctx.Done():
		p.drain()
		err = nil
	case err = <-failed:
		err = errors.Wrap(err, "serve")
	}
	// The first server is that of the callers.
	shutDown(servers[0].Server)
	for _, server := range servers[1:] {
		_ = server.Close()
	}
	p.tunnelServer.Close()
	p.node.Stop()
	stop()
	p.client.Close()
	tasks.Wait()
	return err
}

// components returns the functions that run the components which use no sockets of their own, each
// until its context ends.
func (p *Process) components() []func(context.Context) {
	return []func(context.Context){
		p.followTables, p.followBackends, p.followEvacuations, p.followRollouts,
		p.node.Run, p.setFirstRouters, p.join, p.syncer.Run,
		p.crashGossiper.Run, p.connectionLimit.Run, p.pacer.Run, p.recoverCacheIndex, p.watchSettings, p.watchSuspension,
		func(ctx context.Context) { p.overloads.run(ctx, &p.Log) },
	}
}

// listen opens the sockets that the settings call for.
func (p *Process) listen() (*listeners, error) {
	open, err := listen(&p.Settings.Listen)
	if err == nil && p.Settings.usesPermits() {
		err = open.openPermits(p.Settings.Listen.Peers)
	}
	return open, err
}

// drain marks the router as not ready, serves until the load balancer has noticed, then
// refuses requests that could last too long, and returns when no request is in progress
// or the grace period is over. Idle connections stay open until then, since closing one would
// lose a request that is already on its way; responses tell callers to use other connections.
func (p *Process) drain() {
	started := clock.Now()
	events.DrainStarted.On(&p.Log).Int64("in_flight", p.gateway.InFlight()).Send()
	p.draining.Store(true)
	end := started.Add(time.Duration(p.gracePeriod.Load()) - graceMargin)
	p.gateway.Drain(end)
	p.tunnelServer.Drain()
	p.node.Leave()
	time.Sleep(clock.Until(earlier(end, started.Add(p.Settings.Bounds.announceTime()))))
	p.gateway.StopAt(earlier(end, clock.Now().Add(lateRequestTime)))
	for refusing := clock.Now(); clock.Now().Before(end); time.Sleep(drainCheckInterval) {
		if p.gateway.InFlight() == 0 && p.tunnelServer.Open() == 0 && clock.Since(refusing) > refuseTime {
			break
		}
	}
	interrupted := p.gateway.InFlight()
	p.gateway.EndRequests()
	events.DrainFinished.On(&p.Log).Int64("cut", interrupted).Bool("in_time", interrupted == 0).Send()
}

// shutDown closes a server once its responses have been written, or shutDownTime is over.
func shutDown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutDownTime)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// drainCheckInterval is the interval at which a draining router checks whether requests are left.
const drainCheckInterval = 50 * time.Millisecond

// isReady reports whether the load balancer may send connections to this router.
func (p *Process) isReady() bool {
	select {
	case <-p.ready:
		return !p.draining.Load()
	default:
		return false
	}
}

func (p *Process) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(p.Settings.Listen.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !p.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// peerHandler returns the handler of requests from other routers.
func (p *Process) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(directory.RelayPath, &directory.RelayServer{
		Mirrors: p.mirrors,
	})
	mux.Handle(exchange.CacheSnapshotPath, &exchange.CacheSnapshotServer{
		Balancer: p.balancer,
	})
	return p.withTunnels(mux)
}
