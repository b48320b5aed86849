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
	_ slipwick.Store      = (*Client)(nil)
	_ slipwick.MemberList = (*Client)(nil)
)

const (
	objectsPath = "/v1/objects/"
	boxesPath   = "/v1/boxes"

	callTimeout = 5 * time.Second
	watchWait   = 30 * time.Second
	// watchMargin lets the platform end its wait before the client does.
	watchMargin = 5 * time.Second
)

// Client is the platform over HTTP. Set the fields before use.
type Client struct {
	// BaseURL is such as http://127.0.0.1:8500.
	BaseURL string
	HTTP    *http.Client

	calls atomic.Int64
}

// Calls counts the calls made so far.
func (c *Client) Calls() int64 {
	return c.calls.Load()
}

// Get reads one object.
func (c *Client) Get(ctx context.Context, key string) (slipwick.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.read(ctx, key, "")
}

// Watch waits until the object is newer than after.
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
		return slipwick.Object{}, unavailable(err)
	}
	version, err := versionOf(response)
	return slipwick.Object{
		Key:     key,
		Value:   value,
		Version: version,
	}, err
}

// Create writes an object that must not exist yet.
func (c *Client) Create(ctx context.Context, key string, value []byte) (slipwick.Version, error) {
	return c.write(ctx, key, value, "If-None-Match", "*")
}

// Update replaces an object that must still have the version.
func (c *Client) Update(
	ctx context.Context, key string, value []byte, version slipwick.Version,
) (slipwick.Version, error) {
	return c.write(ctx, key, value, "If-Match", tag(version))
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

// List gives the objects whose keys start with prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]slipwick.Object, error) {
	var objects []slipwick.Object
	return objects, c.readJSON(ctx, objectsPath+"?prefix="+url.QueryEscape(prefix), &objects)
}

// Boxes gives the platform's list of boxes.
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
		return unavailable(err)
	}
	return nil
}

// call sends one request; an answer other than 2xx or 304 becomes an *Error.
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
		return nil, unavailable(err)
	}
	if response.StatusCode/100 == 2 || response.StatusCode == http.StatusNotModified {
		return response, nil
	}
	return nil, refused(response, path)
}

func refused(response *http.Response, path string) error {
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
			Message: path + " was written by another writer",
			Remedy:  "read it again, compare, and write anew",
		}
	default:
		return unavailable(errors.Errorf("platform answered %d: %s", response.StatusCode, text))
	}
}

func unavailable(cause error) error {
	return &slipwick.Error{
		Kind:    slipwick.KindUnavailable,
		Message: "no usable answer from the platform",
		Remedy:  "check its address and health, then try again",
		Cause:   cause,
	}
}

func tag(version slipwick.Version) string {
	return fmt.Sprintf("%q", strconv.FormatUint(uint64(version), 10))
}

func versionOf(response *http.Response) (slipwick.Version, error) {
	version, err := strconv.ParseUint(strings.Trim(response.Header.Get("ETag"), `"`), 10, 64)
	if err != nil {
		return 0, unavailable(errors.Wrap(err, "ETag is no version"))
	}
	return slipwick.Version(version), nil
}
