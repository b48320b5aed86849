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

	"github.com/slipwick/slipwick"
)

const (
	dialTimeout   = 2 * time.Second
	idleTimeout   = 90 * time.Second
	idlePerHost   = 64
	bufferBytes   = 4 << 10
	maxErrorBytes = 4 << 10
)

// New makes a client without an overall time limit; contexts bound calls.
func New() *http.Client {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: idlePerHost,
			IdleConnTimeout:     idleTimeout,
			ReadBufferSize:      bufferBytes,
			WriteBufferSize:     bufferBytes,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// NewCounted makes a client whose connections count their bytes.
func NewCounted(sent, received *atomic.Int64) *http.Client {
	client := New()
	transport := client.Transport.(*http.Transport)
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return Counted(connection, sent, received), nil
	}
	return client
}

// NewSingleUse makes a client that opens a connection for each request: one
// that may not be repeated must not meet a connection closing under it.
func NewSingleUse() *http.Client {
	client := New()
	client.Transport.(*http.Transport).DisableKeepAlives = true
	return client
}

// Request makes a request that net/http can't re-send: it has no GetBody, so
// that a dropped connection gives an error instead of a second sending.
func Request(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	var reader io.Reader
	if len(body) > 0 {
		reader = &sentOnce{
			Reader: bytes.NewReader(body),
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	request.ContentLength = int64(len(body))
	return request, nil
}

// sentOnce hides the reader's type, from which net/http would make a GetBody.
type sentOnce struct {
	io.Reader
}

// OutcomeOf tells what is known of a request whose call gave err: a connection
// that could not be made has carried no byte.
func OutcomeOf(err error) slipwick.Outcome {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return slipwick.OutcomeNotRun
	}
	return slipwick.OutcomeUnknown
}

// ErrorBody reads the start of an error answer and closes it.
func ErrorBody(response *http.Response) string {
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err != nil {
		return err.Error()
	}
	return string(bytes.TrimSpace(body))
}
