package gatewayd

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/directory"
	"github.com/slipwick/slipwick/exchange"
	"github.com/slipwick/slipwick/gateway"
	"github.com/slipwick/slipwick/membership"
	"github.com/slipwick/slipwick/quarantine"
	"github.com/slipwick/slipwick/upstream"

	"github.com/slipwick/slipwick/cmd/internal/events"
)

const (
	// refuseTime is how long it then refuses, so that connections that were
	// on their way get an answer.
	refuseTime = 500 * time.Millisecond
	// lateTime is how long after that requests are still served that end
	// within it by their time-out.
	lateTime = 3 * time.Second
	// graceMargin is what is left of the grace period at the end.
	graceMargin = 300 * time.Millisecond
	// headerWait bounds the time of a request's header.
	headerWait = 10 * time.Second
	// memoryShare of the bound is what the runtime aims to stay below.
	memoryShare = 0.7
)

// Process is one gateway process. Set the exported fields before Run.
type Process struct {
	Settings *Settings
	Feeds    Feeds
	Log      zerolog.Logger
	// DroppedLines counts lines of the log that were not written; may be nil.
	DroppedLines *atomic.Int64
	// Switches are for comparisons.
	Switches balance.Switches
	// Reload gives a value when the settings may have changed, and Reread
	// reads them anew. Both may be nil.
	Reload <-chan struct{}
	Reread func() (*Settings, error)

	gateway  *gateway.Gateway
	balancer *balance.Balancer
	backends *directory.Backends
	client   *upstream.Client
	node     *membership.Node
	udp      *membership.UDP
	teller   *exchange.Syncer
	recovery *exchange.Recovery
	// ledger keeps requests from backend servers that end under them, marks tells the
	// other routers.
	ledger   *quarantine.Tracker
	marks    *exchange.CrashGossiper
	peers    *peers
	mirrors  map[string]*directory.Mirror
	tellings *membership.UDP
	metrics  *metrics
	observer *observer

	// connections counts those of callers.
	connections atomic.Int64

	// foreign are the objects of the store that can't be read.
	foreign *foreign

	// timeline is the store's by its latest answer, fellBack how many feeds began anew
	// as it came back from a copy.
	timeline atomic.Uint64
	fellBack atomic.Int64

	listed atomic.Bool
	// evacuated are the data centres known to be; evacuationsKnown is closed when
	// they are first known.
	evacuated        atomic.Pointer[[]string]
	evacuationsKnown chan struct{}
	// rollouts are those that are followed, rolloutsKnown is closed when they first are.
	rollouts      *rollouts
	rolloutsKnown chan struct{}
	// ready is closed when the process has a table, the list of backend servers and
	// that of evacuated data centres, learnt when it knows what engines keep.
	ready, learnt chan struct{}

	draining atomic.Bool
	// seeds, grace and bounds are those of the settings read last.
	seeds  atomic.Pointer[[]string]
	grace  atomic.Int64
	bounds atomic.Pointer[Bounds]
	done   chan struct{}
}

// New makes a process that Run starts.
func New(settings *Settings, feeds Feeds) *Process {
	p := &Process{
		Settings: settings,
		Feeds:    feeds,
		Log:      zerolog.Nop(),
		ready:    make(chan struct{}),
		learnt:   make(chan struct{}),
		done:     make(chan struct{}),

		evacuationsKnown: make(chan struct{}),
		rolloutsKnown:    make(chan struct{}),
	}
	p.foreign = newForeign(p)
	return p
}

// Done is closed when the process has stopped.
func (p *Process) Done() <-chan struct{} {
	return p.done
}

// Run serves until ctx ends, then drains.
func (p *Process) Run(ctx context.Context) error {
	defer close(p.done)
	p.Log = p.Log.With().Str("router", p.Settings.ID).Logger()
	if p.Settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(p.Settings.MemoryBytes)))
	}
	open, err := listen(&p.Settings.Listen)
	if err != nil {
		return err
	}
	p.assemble(open)
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var parts sync.WaitGroup
	failed := make(chan error, 7)
	for _, part := range []func(context.Context){
		p.followTables, p.followBackends, p.followEvacuations, p.followRollouts,
		p.node.Run, p.tellFirstRouters, p.join, p.teller.Run,
		p.marks.Run, p.recoverHomes, p.watchSettings, p.noticeSleep,
	} {
		parts.Go(func() { part(background) })
	}
	parts.Go(func() { failed <- p.udp.Run(background) })
	parts.Go(func() { failed <- p.tellings.Run(background) })
	callers := newServer(p.gateway)
	callers.ConnState = onState
	servers := []*http.Server{callers, newServer(p.readiness()), newServer(p.forPeers())}
	listeners := []net.Listener{
		&idleListener{
			Listener: open.callers,
			limit:    p.idleLimit,
			accepted: &p.connections,
		},
		open.ready,
		open.peers,
	}
	if open.metrics != nil {
		servers, listeners = append(servers, newServer(p.forOperators())), append(listeners, open.metrics)
	}
	for i, server := range servers {
		parts.Go(func() { failed <- server.Serve(listeners[i]) })
	}
	events.RouterStarted.On(&p.Log).Str("callers", open.callers.Addr().String()).Send()
	select {
	case <-ctx.Done():
		p.drain()
		err = nil
	case err = <-failed:
		err = errors.Wrap(err, "serve")
	}
	for _, server := range servers {
		_ = server.Close()
	}
	p.node.Stop()
	stop()
	p.client.Close()
	parts.Wait()
	return err
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerWait,
	}
}

// drain stops being ready, serves until the balancer has seen it, refuses what
// still comes and could last too long, and ends when nothing is in progress or
// the grace period is over. Connections that rest stay open until then: closing one cuts off the
// request that is on its way; answers tell callers to take others.
func (p *Process) drain() {
	started := clock.Now()
	events.DrainStarted.On(&p.Log).Int64("in_flight", p.gateway.InFlight()).Send()
	p.draining.Store(true)
	p.gateway.Drain()
	p.node.Leave()
	end := started.Add(time.Duration(p.grace.Load()) - graceMargin)
	time.Sleep(clock.Until(earlier(end, started.Add(p.Settings.Bounds.announceTime()))))
	p.gateway.StopAt(earlier(end, clock.Now().Add(lateTime)))
	for closed := clock.Now(); clock.Now().Before(end); time.Sleep(drainCheck) {
		if p.gateway.InFlight() == 0 && clock.Since(closed) > refuseTime {
			break
		}
	}
	cut := p.gateway.InFlight()
	events.DrainFinished.On(&p.Log).Int64("cut", cut).Bool("in_time", cut == 0).Send()
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// drainCheck is how often a draining router looks whether it is done.
const drainCheck = 50 * time.Millisecond

// isReady tells whether the balancer may send connections here.
func (p *Process) isReady() bool {
	select {
	case <-p.ready:
		return !p.draining.Load()
	default:
		return false
	}
}

func (p *Process) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(p.Settings.Listen.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !p.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// forPeers answers other routers.
func (p *Process) forPeers() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(directory.RelayPath, &directory.RelayServer{
		Mirrors: p.mirrors,
	})
	mux.Handle(exchange.CacheSnapshotPath, &exchange.CacheSnapshotServer{
		Balancer: p.balancer,
	})
	return mux
}

// idleLimit is how long callers' connections may rest.
func (p *Process) idleLimit() time.Duration {
	if table := p.gateway.Table(); table != nil {
		return table.Limits.IdleTimeout
	}
	return 0
}
