package daemon

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/slipwick/slipwick"
)

// Status is what one router tells operators of itself.
type Status struct {
	Router        string           `json:"router"`
	DataCentre    string           `json:"data_centre"`
	Ready         bool             `json:"ready"`
	Configuration slipwick.Version `json:"configuration_version"`
	PlatformCalls int64            `json:"platform_calls"`
}

// StatusNow gives the router's status.
func (r *Router) StatusNow() Status {
	status := Status{
		Router:        r.Settings.ID,
		DataCentre:    r.Settings.DataCentre,
		Ready:         r.ready.Load(),
		PlatformCalls: r.platform.Calls(),
	}
	if current := r.follower.Current(); current != nil {
		status.Configuration = current.Version
	}
	return status
}

func (r *Router) status(c echo.Context) error {
	return c.JSON(http.StatusOK, r.StatusNow())
}
