package daemon

import (
	"context"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/chat"
	"github.com/slipwick/slipwick/configuration"
	"github.com/slipwick/slipwick/placement"
	"github.com/slipwick/slipwick/quarantine"
)

const servicesPath = "/v1/services/"

// service serves calls to plain services by path.
func (f *front) service(c echo.Context) error {
	a, err := f.begin(c)
	if err != nil {
		return f.refuse(c, a, err)
	}
	request, err := f.serviceRequest(c, a)
	if err != nil {
		return f.refuse(c, a, err)
	}
	key, err := f.claimKey(c.Request().Context(), a, c.Request().Header)
	if err != nil {
		return f.refuse(c, a, err)
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), f.limits.Service.Or(defaultService))
	defer cancel()
	// Calls without a chat are spread by their own ID.
	identity := c.Request().Header.Get(chat.IdentityHeader)
	if identity == "" {
		identity = a.id
	}
	call := a.call(placement.ChatKey(a.workspace.Name, identity))
	call.Key = quarantine.KeyOf(a.workspace.Name, request.Method, call.Pools[0]+request.Path, request.Body)
	response, err := f.dispatcher.Call(ctx, call, request)
	key.ended(err)
	if err != nil {
		return f.refuse(c, a, err)
	}
	f.ended(a, nil)
	header := c.Response().Header()
	for name, values := range response.Header {
		header[name] = values
	}
	header.Set(slipwick.OutcomeHeader, string(slipwick.OutcomeCompleted))
	return c.Blob(response.Status, response.Header.Get("Content-Type"), response.Body)
}

func (f *front) serviceRequest(c echo.Context, a *arrival) (slipwick.ServiceRequest, error) {
	name := c.Param("name")
	a.pools = a.routes.pools(a.workspace.Name, name, configuration.PoolService)
	if len(a.pools) == 0 {
		return slipwick.ServiceRequest{}, &slipwick.Error{
			Kind:    slipwick.KindUnknownService,
			Message: "workspace " + a.workspace.Name + " has no rule for service " + name,
			Remedy:  "use a service that the workspace has, or have a rule added",
			Outcome: slipwick.OutcomeNotRun,
		}
	}
	call := c.Request()
	if err := a.setRepeatable(call.Header); err != nil {
		return slipwick.ServiceRequest{}, err
	}
	if safe(call.Method) {
		a.repeatable = true
	}
	body, err := f.body(c)
	return slipwick.ServiceRequest{
		ID:     a.id,
		Method: call.Method,
		Path:   strings.TrimPrefix(call.URL.RequestURI(), servicesPath+name),
		Header: call.Header,
		Body:   body,
	}, err
}

// safe tells whether the method reads only, by the HTTP standard.
func safe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}
