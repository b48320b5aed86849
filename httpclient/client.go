package httpclient

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick/internal/tcpconn"
)

const (
	dialTimeout    = 2 * time.Second
	idleTimeout    = 90 * time.Second
	maxIdlePerHost = 64
	bufferBytes    = 4 << 10
	maxErrorBytes  = 4 << 10
	maxHeadBytes   = 64 << 10
)

// New returns a client without an overall timeout, so that the context of a call bounds it. It
// does not follow redirects.
func New() *http.Client {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialWith(dialer),
			MaxIdleConnsPerHost: maxIdlePerHost,
			IdleConnTimeout:     idleTimeout,
			ReadBufferSize:      bufferBytes,
			WriteBufferSize:     bufferBytes,
			DisableCompression:  true,

			MaxResponseHeaderBytes: maxHeadBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// dialWith returns the dialer's DialContext, for connections that don't take a reset for the end of a
// response.
func dialWith(dialer *net.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return tcpconn.New(conn), nil
	}
}

// NewCounting returns a client like New that adds the bytes of its connections to sent and
// received.
func NewCounting(sent, received *atomic.Int64) *http.Client {
	client := New()
	transport := client.Transport.(*http.Transport)
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewCountingConn(connection, sent, received), nil
	}
	return client
}

// NewSingleUse returns a client like New that opens a connection for each request. A server may
// close a reused connection just as a request is sent; the outcome of a request that must not be
// repeated would then be unknown.
func NewSingleUse() *http.Client {
	client := New()
	client.Transport.(*http.Transport).DisableKeepAlives = true
	return client
}

// Request returns a request whose body net/http cannot send again: it has no GetBody, so that a
// dropped connection is an error and not a second attempt. A request without a body is not
// protected: net/http may send it again if a reused connection is dropped.
func Request(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	var reader io.Reader
	if len(body) > 0 {
		reader = &readerOnly{
			Reader: bytes.NewReader(body),
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	request.ContentLength = int64(len(body))
	return request, nil
}

// readerOnly hides the reader's type, for which net/http would set GetBody.
type readerOnly struct {
	io.Reader
}

// ErrorBody returns the first maxErrorBytes of the body of an error response, or the text of the
// error if it cannot be read, and closes the body.
func ErrorBody(response *http.Response) string {
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err != nil {
		return err.Error()
	}
	return string(bytes.TrimSpace(body))
}
