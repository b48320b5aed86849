package service

import (
	"context"
	"io"
	"net/http"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/httpclient"
)

var _ slipwick.Service = (*Client)(nil)

// maxAnswerBytes bounds an answer that is held in memory.
const maxAnswerBytes = 8 << 20

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Authorization",
}

// Client is one plain service over HTTP. Set the fields before use.
type Client struct {
	// Address is host:port.
	Address string
	HTTP    *http.Client
	// OnNotice is told what the server says of itself in an answer; nil tells nobody.
	OnNotice func(slipwick.Notice)
}

// heed passes on what an answer says of the server.
func (c *Client) heed(response *http.Response) {
	if c.OnNotice == nil {
		return
	}
	c.OnNotice(httpclient.NoticeIn(response.StatusCode, response.Header, "X-Leaving", "true"))
}

// Call sends the request once. An answer with status 500 or above is an
// *Error with OutcomeFailed.
func (c *Client) Call(ctx context.Context, request slipwick.ServiceRequest) (slipwick.ServiceResponse, error) {
	call, err := httpclient.Request(ctx, request.Method, "http://"+c.Address+request.Path, request.Body)
	if err != nil {
		return slipwick.ServiceResponse{}, err
	}
	call.Header = passedOn(request.Header)
	call.Header.Set("X-Request-Id", request.ID)
	response, err := c.HTTP.Do(call)
	if err != nil {
		return slipwick.ServiceResponse{}, noAnswer(httpclient.OutcomeOf(err), err)
	}
	defer func() { _ = response.Body.Close() }()
	c.heed(response)
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return slipwick.ServiceResponse{}, noAnswer(slipwick.OutcomeUnknown, err)
	}
	if len(body) > maxAnswerBytes {
		return slipwick.ServiceResponse{}, tooLarge()
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return slipwick.ServiceResponse{}, failed(response, body)
	}
	return slipwick.ServiceResponse{
		Status: response.StatusCode,
		Header: passedOn(response.Header),
		Body:   body,
	}, nil
}

func passedOn(header http.Header) http.Header {
	passed := header.Clone()
	if passed == nil {
		passed = make(http.Header)
	}
	for _, name := range hopHeaders {
		passed.Del(name)
	}
	return passed
}

func noAnswer(outcome slipwick.Outcome, cause error) error {
	return &slipwick.Error{
		Kind:    slipwick.KindBackendUnreachable,
		Message: "no whole answer from the service",
		Remedy:  "send the request again if it may be repeated",
		Outcome: outcome,
		Cause:   cause,
	}
}

func tooLarge() error {
	return &slipwick.Error{
		Kind:    slipwick.KindBackendError,
		Message: "the service's answer is too large to pass on",
		Remedy:  "ask for less at once",
		Outcome: slipwick.OutcomeFailed,
	}
}

func failed(response *http.Response, body []byte) error {
	const shown = 500
	outcome := slipwick.OutcomeFailed
	if response.Header.Get("X-Not-Run") == "true" {
		outcome = slipwick.OutcomeNotRun
	}
	return &slipwick.Error{
		Kind:    slipwick.KindBackendError,
		Message: "the service answered " + response.Status + ": " + string(body[:min(len(body), shown)]),
		Remedy:  "ask the service's operators",
		Outcome: outcome,
	}
}
