package httpclient

import (
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Attribution tells whether the response to a request can belong to another one. A server may send a further response
// after that to an earlier request, where the next one on the connection is due.
type Attribution struct {
	isReused atomic.Bool
}

// Attribute returns the request in a form for which the attribution of its response is known.
func Attribute(request *http.Request) (*http.Request, *Attribution) {
	a := &Attribution{}
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { a.isReused.Store(info.Reused) },
	})
	return request.WithContext(ctx), a
}

// IsOwn reports whether the response is taken for the one to the request with the ID: it names it in the header, or it
// names none, on a connection without earlier requests or from a server that doesn't name requests.
func (a *Attribution) IsOwn(response *http.Response, header, id string, serverNames bool) bool {
	named := response.Header.Get(header)
	return named != "" && named == id || named == "" && (!a.isReused.Load() || !serverNames)
}
