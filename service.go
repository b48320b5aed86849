package slipwick

import (
	"context"
	"net/http"
)

// ServiceRequest is one call to a plain service.
type ServiceRequest struct {
	ID     string
	Method string
	// Path is the path below the service, with its query.
	Path   string
	Header http.Header
	Body   []byte
}

// ServiceResponse is the whole answer of a plain service.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Service is a plain backend server. It sends each request once; errors are
// *Error whose Outcome says whether the request can have reached it.
type Service interface {
	Call(ctx context.Context, request ServiceRequest) (ServiceResponse, error)
}
