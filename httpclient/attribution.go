package httpclient

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick"
)

// Attribution tells whether the response to a request can belong to another one, and whether the request may have run.
// A server may send a further response after that to an earlier request, where the next one on the connection is due.
type Attribution struct {
	// connections counts the connections for the request. Where a reused one breaks, net/http may send the request again.
	connections atomic.Int32
	isReused    atomic.Bool
}

// Attribute returns the request in a form for which the attribution of its response is known.
func Attribute(request *http.Request) (*http.Request, *Attribution) {
	a := &Attribution{}
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			a.connections.Add(1)
			a.isReused.Store(info.Reused)
		},
	})
	return request.WithContext(ctx), a
}

// OutcomeOf returns the outcome of the request if its call returned err: OutcomeNotRun if no connection could be
// opened, because no byte was sent then, else OutcomeUnknown.
func (a *Attribution) OutcomeOf(err error) slipwick.Outcome {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" && a.connections.Load() == 0 {
		return slipwick.OutcomeNotRun
	}
	return slipwick.OutcomeUnknown
}

// WasSentOnce reports whether the request was sent once at most, so that a rejection is proof that it was not run.
func (a *Attribution) WasSentOnce() bool { return a.connections.Load() <= 1 }

// IsOwn reports whether the response is taken for the one to the request with the ID: it names it in the header, or it
// names none, on a connection without earlier requests or from a server that doesn't name requests.
func (a *Attribution) IsOwn(response *http.Response, header, id string, serverNames bool) bool {
	named := response.Header.Get(header)
	return named != "" && named == id || named == "" && (!a.isReused.Load() || !serverNames)
}
