package service

import (
	"context"
	"io"
	"net/http"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/httpclient"
)

var _ slipwick.Service = (*Client)(nil)

// maxResponseBytes is the size of the largest response body that is forwarded. It is limited because
// each body is kept in memory whole.
const maxResponseBytes = 8 << 20

// requestHeader carries the request's ID.
const requestHeader = "X-Request-Id"

// removedHeaders are not forwarded in either direction: the hop-by-hop headers, which concern only
// one connection, and Authorization.
var removedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Authorization",
}

// Client calls one service over HTTP. Set the fields before use.
type Client struct {
	// Address is host:port.
	Address string
	HTTP    *http.Client
	// Names says that the server names the request in its responses. OnNamed, if not nil, is called for each response
	// that does.
	Names   bool
	OnNamed func()
	// OnNotice, if not nil, is called with the notice of each response of the server, also if the
	// notice is empty.
	OnNotice func(slipwick.Notice)
}

// reportNotice calls OnNotice with the notice in the response.
func (c *Client) reportNotice(response *http.Response) {
	if c.OnNotice == nil {
		return
	}
	c.OnNotice(httpclient.ParseNotice(response.StatusCode, response.Header, "X-Leaving", "true"))
}

// Call sends the request exactly once and blocks until the response is complete. A response with
// status 500 or above is a *slipwick.Error with OutcomeFailed, or with OutcomeNotRun if the server
// says that it did not run the request.
func (c *Client) Call(ctx context.Context, request slipwick.ServiceRequest) (slipwick.ServiceResponse, error) {
	call, err := httpclient.Request(ctx, request.Method, "http://"+c.Address+request.Path, request.Body)
	if err != nil {
		return slipwick.ServiceResponse{}, err
	}
	call.Header = forwardedHeader(request.Header)
	call.Header.Set(requestHeader, request.ID)
	call, attribution := httpclient.Attribute(call)
	response, err := c.HTTP.Do(call)
	if err != nil {
		return slipwick.ServiceResponse{}, connectionError(attribution.OutcomeOf(err), err)
	}
	defer func() { _ = response.Body.Close() }()
	c.reportNotice(response)
	if !c.isOwn(response, attribution, request.ID) {
		return slipwick.ServiceResponse{}, unattributedError(response)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return slipwick.ServiceResponse{}, connectionError(slipwick.OutcomeUnknown, err)
	}
	if len(body) > maxResponseBytes {
		return slipwick.ServiceResponse{}, tooLargeError()
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return slipwick.ServiceResponse{}, responseError(response, body, attribution.WasSentOnce())
	}
	return slipwick.ServiceResponse{
		Status: response.StatusCode,
		Header: forwardedHeader(response.Header),
		Body:   body,
	}, nil
}

// isOwn reports whether the response is taken for the one to the request.
func (c *Client) isOwn(response *http.Response, attribution *httpclient.Attribution, id string) bool {
	if response.Header.Get(requestHeader) == id && c.OnNamed != nil {
		c.OnNamed()
	}
	return attribution.IsOwn(response, requestHeader, id, c.Names)
}

func forwardedHeader(header http.Header) http.Header {
	forwarded := header.Clone()
	if forwarded == nil {
		forwarded = make(http.Header)
	}
	for _, name := range removedHeaders {
		forwarded.Del(name)
	}
	return forwarded
}

func connectionError(outcome slipwick.Outcome, cause error) error {
	return &slipwick.Error{
		Kind:    slipwick.KindBackendUnreachable,
		Message: "no complete response from the service",
		Remedy:  "send the request again if it is safe to repeat",
		Outcome: outcome,
		Cause:   cause,
	}
}

// unattributedError returns the error of a response that may belong to an earlier request.
func unattributedError(response *http.Response) error {
	return &slipwick.Error{
		Kind:    slipwick.KindBackendError,
		Message: "the service returned " + response.Status + " without naming the request, on a connection used before",
		Remedy:  "let the service repeat " + requestHeader + " in its responses",
		Outcome: slipwick.OutcomeUnknown,
	}
}

func tooLargeError() error {
	return &slipwick.Error{
		Kind:    slipwick.KindBackendError,
		Message: "the service's response is too large to forward",
		Remedy:  "request less data at once",
		Outcome: slipwick.OutcomeFailed,
	}
}

// responseError returns the error of a failure or a rejection. A rejection of a request that was sent before, on a
// connection that broke, leaves its outcome unknown.
func responseError(response *http.Response, body []byte, wasSentOnce bool) error {
	const maxShownBytes = 500
	outcome := slipwick.OutcomeFailed
	switch isRejection := response.Header.Get("X-Not-Run") == "true"; {
	case isRejection && wasSentOnce:
		outcome = slipwick.OutcomeNotRun
	case isRejection:
		outcome = slipwick.OutcomeUnknown
	}
	return &slipwick.Error{
		Kind:    slipwick.KindBackendError,
		Message: "the service returned " + response.Status + ": " + string(body[:min(len(body), maxShownBytes)]),
		Remedy:  "contact the operators of the service",
		Outcome: outcome,
	}
}
