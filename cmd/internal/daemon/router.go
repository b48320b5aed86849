package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/admission"
	"github.com/slipwick/slipwick/configuration"
	"github.com/slipwick/slipwick/dispatch"
	"github.com/slipwick/slipwick/engine"
	"github.com/slipwick/slipwick/fleet"
	"github.com/slipwick/slipwick/httpclient"
	"github.com/slipwick/slipwick/platform"
	"github.com/slipwick/slipwick/service"

	"github.com/slipwick/slipwick/cmd/internal/events"
)

// Router is one router process. Set the exported fields before Run.
type Router struct {
	Settings *Settings
	Log      zerolog.Logger

	callers   net.Listener
	operators net.Listener
	front     *front
	platform  *platform.Client
	follower  *configuration.Follower
	ready     atomic.Bool
	sent      atomic.Int64
	received  atomic.Int64
	started   chan struct{}
	done      chan struct{}
}

// NewRouter makes a router that Run starts.
func NewRouter(settings *Settings, log zerolog.Logger) *Router {
	return &Router{
		Settings: settings,
		Log:      log.With().Str("router", settings.ID).Logger(),
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

// CallersAddress is where callers reach the router, once it has started.
func (r *Router) CallersAddress() string {
	return r.callers.Addr().String()
}

// OperatorsAddress is where operators reach the router, once it has started.
func (r *Router) OperatorsAddress() string {
	return r.operators.Addr().String()
}

// ControlBytes is what the router has sent and received for control: towards
// the platform and other routers, above TCP.
func (r *Router) ControlBytes() int64 {
	return r.sent.Load() + r.received.Load()
}

// Run serves until ctx ends, then drains: it finishes what is in progress.
func (r *Router) Run(ctx context.Context) error {
	defer close(r.done)
	if err := r.listen(); err != nil {
		return err
	}
	r.assemble()
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var parts sync.WaitGroup
	parts.Go(func() { r.follower.Run(background) })
	callers := &http.Server{
		Handler:           r.callersHandler(),
		ReadHeaderTimeout: defaultWrite,
	}
	operators := &http.Server{
		Handler:           r.operatorsHandler(),
		ReadHeaderTimeout: defaultWrite,
	}
	failed := make(chan error, 2)
	parts.Go(func() { failed <- callers.Serve(r.callers) })
	parts.Go(func() { failed <- operators.Serve(r.operators) })
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
	stop()
	parts.Wait()
	return err
}

func (r *Router) listen() error {
	var err error
	if r.callers, err = net.Listen("tcp", r.Settings.Listen.Callers); err != nil {
		return errors.Wrap(err, "listen for callers; choose a free address in listen.callers")
	}
	if r.operators, err = net.Listen("tcp", r.Settings.Listen.Operators); err != nil {
		return errors.Wrap(err, "listen for operators; choose a free address in listen.operators")
	}
	return nil
}

// assemble makes the parts and joins them.
func (r *Router) assemble() {
	shared, single := httpclient.New(), httpclient.NewSingleUse()
	local := admission.NewLocal()
	viewer := &fleet.Viewer{
		OnView: local.SetView,
	}
	r.platform = &platform.Client{
		BaseURL: r.Settings.Platform.URL,
		HTTP:    httpclient.NewCounted(&r.sent, &r.received),
	}
	r.front = &front{
		limits:  r.Settings.Limits,
		log:     r.Log,
		metrics: NewMetrics(),
		dispatcher: &dispatch.Dispatcher{
			Admission: local,
			Engine: func(b slipwick.Backend) slipwick.Engine {
				return &engine.Client{
					Address: b.Address,
					HTTP:    shared,
				}
			},
			Service: func(b slipwick.Backend, repeatable bool) slipwick.Service {
				client := shared
				if !repeatable {
					client = single
				}
				return &service.Client{
					Address: b.Address,
					HTTP:    client,
				}
			},
			Limits: r.Settings.Limits.stream(),
		},
	}
	r.follower = &configuration.Follower{
		Store: r.platform,
		OnChange: func(snapshot *configuration.Snapshot) {
			viewer.SetConfiguration(snapshot)
			r.inForce(snapshot)
		},
		OnError: func(err error) { events.PlatformCallFailed.On(&r.Log).AnErr("cause", err).Send() },
	}
}

func (r *Router) inForce(snapshot *configuration.Snapshot) {
	r.front.routes.Store(newRoutes(snapshot))
	r.front.metrics.Configuration.Set(float64(snapshot.Version))
	r.ready.Store(true)
	events.ConfigurationInForce.On(&r.Log).Uint64("version", uint64(snapshot.Version)).Send()
}

// drain lets the balancer see that the router leaves, then finishes what is in
// progress within the time limit.
func (r *Router) drain(callers *http.Server) {
	events.DrainStarted.On(&r.Log).Send()
	r.ready.Store(false)
	time.Sleep(r.Settings.Limits.Announce.Or(defaultAnnounce))
	r.front.closed.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), r.Settings.Limits.Drain.Or(defaultDrain))
	defer cancel()
	err := callers.Shutdown(ctx)
	events.DrainFinished.On(&r.Log).Bool("in_time", err == nil).Send()
}

func (r *Router) callersHandler() http.Handler {
	e := echo.New()
	r.addHealth(e)
	e.POST("/v1/chat/completions", r.front.chat, r.front.count)
	e.Any(servicesPath+":name", r.front.service, r.front.count)
	e.Any(servicesPath+":name/*", r.front.service, r.front.count)
	return e
}

func (r *Router) operatorsHandler() http.Handler {
	e := echo.New()
	r.addHealth(e)
	e.GET("/v1/status", r.status)
	e.GET("/v1/burn", func(c echo.Context) error { return c.JSON(http.StatusOK, r.front.burn.Report()) })
	return e
}

func (r *Router) addHealth(e *echo.Echo) {
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", r.readiness)
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(r.front.metrics.Registry, promhttp.HandlerOpts{})))
}

func (r *Router) readiness(c echo.Context) error {
	if !r.ready.Load() {
		return c.String(http.StatusServiceUnavailable, "not ready: no configuration yet, or stopping\n")
	}
	return c.String(http.StatusOK, "ready\n")
}
