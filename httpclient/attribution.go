package httpclient

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick"
)

// Attribution tells whether the response to a request can belong to another one, and whether the request may have run. A
// server may send a further response after that to an earlier request, where the next one on the connection is due.
type Attribution struct {
	hadConnection, isReused atomic.Bool
}

// Attribute returns the request in a form for which the attribution of its response is known.
func Attribute(request *http.Request) (*http.Request, *Attribution) {
	a := &Attribution{}
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			a.hadConnection.Store(true)
			a.isReused.Store(info.Reused)
		},
	})
	return request.WithContext(ctx), a
}

// OutcomeOf returns the outcome of the request if its call returned err: OutcomeNotRun if no connection could be
// opened, because no byte was sent then, else OutcomeUnknown. After a reused connection has broken, net/http may send a
// request again, and report that it couldn't open another connection.
func (a *Attribution) OutcomeOf(err error) slipwick.Outcome {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" && !a.hadConnection.Load() {
		return slipwick.OutcomeNotRun
	}
	return slipwick.OutcomeUnknown
}

// IsOwn reports whether the response is taken for the one to the request with the ID: it names it in the header, or it
// names none, on a connection without earlier requests or from a server that doesn't name requests.
func (a *Attribution) IsOwn(response *http.Response, header, id string, serverNames bool) bool {
	named := response.Header.Get(header)
	return named != "" && named == id || named == "" && (!a.isReused.Load() || !serverNames)
}
