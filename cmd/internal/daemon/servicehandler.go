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

// handleService serves calls to plain services, whose backend servers are not inference engines, below
// servicesPath. The first element of the path is the service.
func (f *frontend) handleService(c echo.Context) error {
	cr, err := f.accept(c)
	if err != nil {
		return f.failRequest(c, cr, err)
	}
	defer cr.release()
	request, err := f.serviceRequest(c, cr)
	if err != nil {
		return f.failRequest(c, cr, err)
	}
	claim, err := f.claimKey(c.Request().Context(), cr, c.Request().Header)
	if err != nil {
		return f.failRequest(c, cr, err)
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), f.limits.Service.Or(defaultService))
	defer cancel()
	// Calls without a chat are distributed by their request ID.
	identity := c.Request().Header.Get(chat.IdentityHeader)
	if identity == "" {
		identity = cr.id
	}
	call := cr.dispatchCall(placement.ChatKey(cr.workspace.Name, identity))
	call.QuarantineKey = quarantine.KeyOf(cr.workspace.Name, request.Method, call.Pools[0]+request.Path, request.Body)
	response, err := f.dispatcher.CallService(ctx, call, request)
	claim.recordOutcome(err)
	if err != nil {
		return f.failRequest(c, cr, err)
	}
	f.recordEnd(cr, nil)
	header := c.Response().Header()
	for name, values := range response.Header {
		header[name] = values
	}
	header.Set(slipwick.OutcomeHeader, string(slipwick.OutcomeCompleted))
	f.limitWrite(c)
	return c.Blob(response.Status, response.Header.Get("Content-Type"), response.Body)
}

// serviceRequest reads the request and sets the pools that it may go to.
func (f *frontend) serviceRequest(c echo.Context, cr *callerRequest) (slipwick.ServiceRequest, error) {
	name := c.Param("name")
	cr.pools = cr.routes.pools(cr.workspace.Name, name, configuration.PoolService)
	if len(cr.pools) == 0 {
		return slipwick.ServiceRequest{}, &slipwick.Error{
			Kind:    slipwick.KindUnknownService,
			Message: "workspace " + cr.workspace.Name + " has no rule for service " + name,
			Remedy:  "use a service that the workspace has, or have a rule added",
			Outcome: slipwick.OutcomeNotRun,
		}
	}
	incoming := c.Request()
	if err := cr.setRepeatable(incoming.Header); err != nil {
		return slipwick.ServiceRequest{}, err
	}
	if isSafeMethod(incoming.Method) {
		cr.repeatable = true
	}
	body, err := f.body(c, cr)
	return slipwick.ServiceRequest{
		ID:     cr.id,
		Method: incoming.Method,
		Path:   strings.TrimPrefix(incoming.URL.RequestURI(), servicesPath+name),
		Header: incoming.Header,
		Body:   body,
	}, err
}

// isSafeMethod reports whether the HTTP standard defines the method as read-only.
func isSafeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}
