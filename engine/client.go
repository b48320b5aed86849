package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/httpclient"
)

var _ slipwick.Engine = (*Client)(nil)

// controlTimeout bounds calls that carry no answer of a model.
const controlTimeout = 2 * time.Second

// Client is one engine over HTTP. Set the fields before use.
type Client struct {
	// Address is host:port.
	Address string
	HTTP    *http.Client
	// OnNotice is told what the engine says of itself in an answer; nil tells nobody.
	OnNotice func(slipwick.Notice)
}

// heed passes on what an answer says of the engine.
func (c *Client) heed(response *http.Response) {
	if c.OnNotice == nil {
		return
	}
	c.OnNotice(httpclient.NoticeIn(response.StatusCode, response.Header, LeavingHeader, "true"))
}

// Stream sends the chat turn once.
func (c *Client) Stream(ctx context.Context, request slipwick.ChatRequest) (slipwick.EventStream, error) {
	call, err := httpclient.Request(ctx, http.MethodPost, c.url(CompletionsPath), request.Body)
	if err != nil {
		return nil, err
	}
	call.Header.Set("Content-Type", "application/json")
	call.Header.Set(RequestHeader, request.ID)
	call.Header.Set(PriorityHeader, strconv.Itoa(request.Priority))
	call.Header.Set(ChatHeader, request.Chat)
	if request.Key != "" {
		call.Header.Set(KeyHeader, request.Key)
	}
	return c.stream(call)
}

// Resume goes on with an answer from the event offset.
func (c *Client) Resume(ctx context.Context, request string, offset int) (slipwick.EventStream, error) {
	path := fmt.Sprintf("%s%s?offset=%d", StreamsPath, request, offset)
	call, err := httpclient.Request(ctx, http.MethodGet, c.url(path), nil)
	if err != nil {
		return nil, err
	}
	return c.stream(call)
}

func (c *Client) stream(call *http.Request) (slipwick.EventStream, error) {
	response, err := c.HTTP.Do(call)
	if err != nil {
		return nil, unreachable(err)
	}
	c.heed(response)
	if response.StatusCode != http.StatusOK {
		return nil, answered(response)
	}
	return newEventStream(response.Body), nil
}

// Cancel stops an answer; an unknown request is no error.
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

// Load reads the engine's load report.
func (c *Client) Load(ctx context.Context) (slipwick.LoadReport, error) {
	var report slipwick.LoadReport
	err := c.read(ctx, LoadPath, &report)
	return report, err
}

// CacheEvents reads the cache events after the sequence number.
func (c *Client) CacheEvents(ctx context.Context, after uint64) (slipwick.CacheEvents, error) {
	var events slipwick.CacheEvents
	err := c.read(ctx, fmt.Sprintf("%s?after=%d", CacheEventsPath, after), &events)
	return events, err
}

func (c *Client) read(ctx context.Context, path string, into any) error {
	response, err := c.control(ctx, http.MethodGet, path)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		return unreachable(err)
	}
	return nil
}

// control makes a short call; the body is closed when the time limit passes.
func (c *Client) control(ctx context.Context, method, path string) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	context.AfterFunc(ctx, cancel)
	call, err := httpclient.Request(ctx, method, c.url(path), nil)
	if err != nil {
		cancel()
		return nil, err
	}
	response, err := c.HTTP.Do(call)
	if err != nil {
		cancel()
		return nil, unreachable(err)
	}
	c.heed(response)
	if response.StatusCode/100 != 2 {
		cancel()
		return nil, answered(response)
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
