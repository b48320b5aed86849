package slipwick

import (
	"context"
	"net/http"
)

// ServiceRequest is a request to a service that is not a model engine.
type ServiceRequest struct {
	ID     string
	Method string
	// Path is the path relative to the service, including the query.
	Path   string
	Header http.Header
	Body   []byte
}

// ServiceResponse is the complete response of a service.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Service is a backend server that is not a model engine.
type Service interface {
	// Call sends the request exactly once and blocks until the response is complete. Errors
	// are *Error; the Outcome tells whether the request may have reached the server.
	Call(ctx context.Context, request ServiceRequest) (ServiceResponse, error)
}
