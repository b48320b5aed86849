package objectapi

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/httpclient"
)

var (
	_ slipwick.Store     = (*Client)(nil)
	_ slipwick.BoxLister = (*Client)(nil)
)

const (
	objectsPath = "/v1/objects/"
	boxesPath   = "/v1/boxes"

	callTimeout = 5 * time.Second
	watchWait   = 30 * time.Second
	// watchMargin is added to watchWait for the client's timeout, so that the platform ends its
	// wait before the client gives up.
	watchMargin = 5 * time.Second
)

// Client calls the platform over HTTP. Set the fields before use; it is then safe for concurrent
// use. Errors are *slipwick.Error.
type Client struct {
	// BaseURL is the URL of the platform, for example http://127.0.0.1:8500.
	BaseURL string
	HTTP    *http.Client

	calls atomic.Int64
}

// Calls returns the number of calls made so far.
func (c *Client) Calls() int64 {
	return c.calls.Load()
}

// Get returns one object.
func (c *Client) Get(ctx context.Context, key string) (slipwick.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.read(ctx, key, "")
}

// Watch blocks until the object has a version newer than after, for up to watchWait. If there is
// none by then, the Object has Version after and no Value.
func (c *Client) Watch(ctx context.Context, key string, after slipwick.Version) (slipwick.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchMargin)
	defer cancel()
	query := url.Values{}
	query.Set("watch", "true")
	query.Set("after", strconv.FormatUint(uint64(after), 10))
	query.Set("timeout", watchWait.String())
	object, err := c.read(ctx, key, "?"+query.Encode())
	if object.Version == 0 {
		object.Version = after
	}
	return object, err
}

func (c *Client) read(ctx context.Context, key, query string) (slipwick.Object, error) {
	response, err := c.call(ctx, http.MethodGet, objectsPath+key+query, nil, nil)
	if err != nil {
		return slipwick.Object{}, err
	}
	if response.StatusCode == http.StatusNotModified {
		return slipwick.Object{
			Key: key,
		}, response.Body.Close()
	}
	defer func() { _ = response.Body.Close() }()
	value, err := io.ReadAll(io.LimitReader(response.Body, slipwick.MaxObjectBytes+1))
	if err != nil {
		return slipwick.Object{}, unavailableError(err)
	}
	if len(value) > slipwick.MaxObjectBytes {
		return slipwick.Object{}, unavailableError(
			errors.Errorf("%s has more than %d bytes, the limit for objects", key, slipwick.MaxObjectBytes))
	}
	version, err := versionOf(response)
	return slipwick.Object{
		Key:     key,
		Value:   value,
		Version: version,
	}, err
}

// Create writes a new object. The error is of KindConflict if the object exists.
func (c *Client) Create(ctx context.Context, key string, value []byte) (slipwick.Version, error) {
	return c.write(ctx, key, value, "If-None-Match", "*")
}

// Update replaces an object. The error is of KindConflict if its version is no longer the given one.
func (c *Client) Update(
	ctx context.Context, key string, value []byte, version slipwick.Version,
) (slipwick.Version, error) {
	return c.write(ctx, key, value, "If-Match", etag(version))
}

func (c *Client) write(ctx context.Context, key string, value []byte, header, match string) (slipwick.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := c.call(ctx, http.MethodPut, objectsPath+key, value, http.Header{
		header: {match},
	})
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	return versionOf(response)
}

// List returns the objects whose keys start with prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]slipwick.Object, error) {
	var objects []slipwick.Object
	return objects, c.readJSON(ctx, objectsPath+"?prefix="+url.QueryEscape(prefix), &objects)
}

// Boxes returns the platform's list of boxes.
func (c *Client) Boxes(ctx context.Context) ([]slipwick.Box, error) {
	var boxes []slipwick.Box
	err := c.readJSON(ctx, boxesPath, &boxes)
	return boxes, err
}

func (c *Client) readJSON(ctx context.Context, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := c.call(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		return unavailableError(err)
	}
	return nil
}

// call sends one request. A response with a status other than 2xx or 304 is returned as a
// *slipwick.Error.
func (c *Client) call(
	ctx context.Context, method, path string, body []byte, header http.Header,
) (*http.Response, error) {
	request, err := httpclient.Request(ctx, method, strings.TrimSuffix(c.BaseURL, "/")+path, body)
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	c.calls.Add(1)
	response, err := c.HTTP.Do(request)
	if err != nil {
		return nil, unavailableError(err)
	}
	if response.StatusCode/100 == 2 || response.StatusCode == http.StatusNotModified {
		return response, nil
	}
	return nil, responseError(response, path)
}

func responseError(response *http.Response, path string) error {
	text := httpclient.ErrorBody(response)
	switch response.StatusCode {
	case http.StatusNotFound:
		return &slipwick.Error{
			Kind:    slipwick.KindNotFound,
			Message: path + " does not exist",
			Remedy:  "create it first",
		}
	case http.StatusPreconditionFailed:
		return &slipwick.Error{
			Kind:    slipwick.KindConflict,
			Message: path + " was changed by another writer",
			Remedy:  "read it again, compare, and repeat the write",
		}
	default:
		return unavailableError(errors.Errorf("platform returned %d: %s", response.StatusCode, text))
	}
}

func unavailableError(cause error) error {
	return &slipwick.Error{
		Kind:    slipwick.KindUnavailable,
		Message: "no usable response from the platform",
		Remedy:  "check its address and health, then try again",
		Cause:   cause,
	}
}

func etag(version slipwick.Version) string {
	return fmt.Sprintf("%q", strconv.FormatUint(uint64(version), 10))
}

func versionOf(response *http.Response) (slipwick.Version, error) {
	version, err := strconv.ParseUint(strings.Trim(response.Header.Get("ETag"), `"`), 10, 64)
	if err != nil {
		return 0, unavailableError(errors.Wrap(err, "parse ETag as a version"))
	}
	return slipwick.Version(version), nil
}
