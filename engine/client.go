package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/httpclient"
)

var _ slipwick.Engine = (*Client)(nil)

// controlTimeout bounds calls that do not stream a response of the model.
const controlTimeout = 2 * time.Second

// maxControlBytes bounds the responses to these calls.
const maxControlBytes = 4 << 20

// Client calls one engine over HTTP. Set the fields before use.
type Client struct {
	// Address is host:port.
	Address string
	HTTP    *http.Client
	// SingleUse opens a connection for each request. It is used for turns that must not run twice, unless Names says
	// that the engine names the request in its responses. If it is nil, HTTP is used.
	SingleUse *http.Client
	Names     bool
	// OnNamed, if not nil, is called for each response that names its request.
	OnNamed func()
	// OnNotice, if not nil, is called with the notice in each response of the engine, including
	// an empty one.
	OnNotice func(slipwick.Notice)
}

// reportNotice calls OnNotice with the notice in the response.
func (c *Client) reportNotice(response *http.Response) {
	if c.OnNotice == nil {
		return
	}
	c.OnNotice(httpclient.ParseNotice(response.StatusCode, response.Header, LeavingHeader, "true"))
}

// Stream sends the chat turn exactly once and returns the response as a stream.
func (c *Client) Stream(ctx context.Context, request slipwick.ChatRequest) (slipwick.EventStream, error) {
	call, err := httpclient.Request(ctx, http.MethodPost, c.url(CompletionsPath), request.Body)
	if err != nil {
		return nil, err
	}
	call.Header.Set("Content-Type", "application/json")
	call.Header.Set(RequestHeader, request.ID)
	call.Header.Set(PriorityHeader, strconv.Itoa(request.Priority))
	call.Header.Set(ChatHeader, request.Chat)
	if request.IdempotencyKey != "" {
		call.Header.Set(IdempotencyKeyHeader, request.IdempotencyKey)
	}
	client := c.HTTP
	if request.RunsOnce && !c.Names && c.SingleUse != nil {
		client = c.SingleUse
	}
	return c.stream(client, call, request.ID)
}

// Resume continues the response to a request, from the event with the given offset.
func (c *Client) Resume(ctx context.Context, request string, offset int) (slipwick.EventStream, error) {
	path := fmt.Sprintf("%s%s?offset=%d", StreamsPath, request, offset)
	call, err := httpclient.Request(ctx, http.MethodGet, c.url(path), nil)
	if err != nil {
		return nil, err
	}
	return c.stream(c.HTTP, call, request)
}

// stream makes a call whose response is a stream of events. The events name their request; another response that may
// belong to an earlier request says nothing about this one.
func (c *Client) stream(client *http.Client, call *http.Request, request string) (slipwick.EventStream, error) {
	call, attribution := httpclient.Attribute(call)
	response, err := client.Do(call)
	if err != nil {
		return nil, connectionError(attribution.OutcomeOf(err), err)
	}
	c.reportNotice(response)
	if c.OnNamed != nil && response.Header.Get(RequestHeader) == request {
		c.OnNamed()
	}
	switch {
	case response.StatusCode == http.StatusOK:
	case !attribution.IsOwn(response, RequestHeader, request, c.Names):
		return nil, unattributedError(response)
	default:
		return nil, responseError(response)
	}
	return newEventStream(response.Body), nil
}

// Cancel stops the response to a request; an unknown request ID is not an error.
func (c *Client) Cancel(ctx context.Context, request string) error {
	response, err := c.control(ctx, http.MethodDelete, StreamsPath+request)
	if slipwick.IsKind(err, slipwick.KindNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// Load fetches the engine's load report.
func (c *Client) Load(ctx context.Context) (slipwick.LoadReport, error) {
	var report slipwick.LoadReport
	err := c.getJSON(ctx, LoadPath, &report)
	return report, err
}

// CacheEvents fetches the cache events that follow the sequence number.
func (c *Client) CacheEvents(ctx context.Context, after uint64) (slipwick.CacheEvents, error) {
	var events slipwick.CacheEvents
	err := c.getJSON(ctx, fmt.Sprintf("%s?after=%d", CacheEventsPath, after), &events)
	return events, err
}

func (c *Client) getJSON(ctx context.Context, path string, into any) error {
	response, err := c.control(ctx, http.MethodGet, path)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	err = json.NewDecoder(io.LimitReader(response.Body, maxControlBytes)).Decode(into)
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &syntax), errors.As(err, &mismatch):
		return invalidResponseError(path, err)
	default:
		return connectionError(slipwick.OutcomeUnknown, err)
	}
}

// control makes a call whose response is not a stream of events. The body can be read until
// controlTimeout has passed since the call began; the caller closes it.
func (c *Client) control(ctx context.Context, method, path string) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	context.AfterFunc(ctx, cancel)
	call, err := httpclient.Request(ctx, method, c.url(path), nil)
	if err != nil {
		cancel()
		return nil, err
	}
	call, attribution := httpclient.Attribute(call)
	response, err := c.HTTP.Do(call)
	if err != nil {
		cancel()
		return nil, connectionError(attribution.OutcomeOf(err), err)
	}
	c.reportNotice(response)
	if response.StatusCode/100 != 2 {
		cancel()
		return nil, responseError(response)
	}
	response.Body = &cancelOnClose{
		ReadCloser: response.Body,
		cancel:     cancel,
	}
	return response, nil
}

func (c *Client) url(path string) string {
	return "http://" + c.Address + path
}
