package daemon

import (
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/slipwick/slipwick/gateway"
)

const chatPath = "/v1/chat/completions"

// callersHandler returns the handler of listen.callers.
func (r *Router) callersHandler() http.Handler {
	e := echo.New()
	r.addMonitoringEndpoints(e)
	e.POST(chatPath, r.frontend.handleChat, r.frontend.countInFlight)
	e.Any(servicesPath+":name", r.frontend.handleService, r.frontend.countInFlight)
	e.Any(servicesPath+":name/*", r.frontend.handleService, r.frontend.countInFlight)
	return withBodiesOfCalls(e)
}

// operatorsHandler returns the handler of listen.operators.
func (r *Router) operatorsHandler() http.Handler {
	e := echo.New()
	r.addMonitoringEndpoints(e)
	e.GET("/v1/status", func(c echo.Context) error { return c.JSON(http.StatusOK, r.CurrentStatus()) })
	e.GET("/v1/burn", func(c echo.Context) error { return c.JSON(http.StatusOK, r.frontend.burn.Report()) })
	return gateway.WithoutBody(e)
}

// addMonitoringEndpoints adds the liveness and readiness checks and the metrics.
func (r *Router) addMonitoringEndpoints(e *echo.Echo) {
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", r.handleReadiness)
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(r.frontend.metrics.Registry, promhttp.HandlerOpts{})))
}

func (r *Router) handleReadiness(c echo.Context) error {
	if !r.isReady() {
		return c.String(http.StatusServiceUnavailable, "not ready: no configuration yet, not joined yet, or stopping\n")
	}
	return c.String(http.StatusOK, "ready\n")
}
