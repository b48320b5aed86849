package daemon

import (
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

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
	e.GET("/v1/status", func(c echo.Context) error { return c.JSON(http.StatusOK, r.StatusNow()) })
	e.GET("/v1/burn", func(c echo.Context) error { return c.JSON(http.StatusOK, r.front.burn.Report()) })
	return e
}

func (r *Router) addHealth(e *echo.Echo) {
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", r.readiness)
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(r.front.metrics.Registry, promhttp.HandlerOpts{})))
}

func (r *Router) readiness(c echo.Context) error {
	if !r.isReady() {
		return c.String(http.StatusServiceUnavailable, "not ready: no configuration yet, not joined yet, or stopping\n")
	}
	return c.String(http.StatusOK, "ready\n")
}
