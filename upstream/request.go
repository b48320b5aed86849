package upstream

import (
	"bytes"
	"net/http"
	"strconv"
	"time"
)

// Request is the request of one exchange.
type Request struct {
	Method string
	// Target is the request target exactly as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the request ID, which the backend server repeats in the response header named IDHeader. A request
	// without one gets a connection without earlier exchanges.
	ID       string
	IDHeader string
	// RunsOnce says that the request must not run twice.
	RunsOnce bool
	// MaxIdleTime is the longest time for which a pooled connection may have been idle to be used; 0
	// sets no bound. The shorter, the less likely the connection has been closed unnoticed.
	MaxIdleTime time.Duration
	// BeforeWrite is called right before the request is written, after all waits for the backend server and the
	// connection. If it returns an error, nothing is written, and that error is the cause of the exchange's; may be nil.
	BeforeWrite func() error
	// Timeouts end the exchange if the backend server sends nothing for too long. The zero value
	// sets none.
	Timeouts Timeouts
}

// head returns the request line and the header as sent.
func (r *Request) head() []byte {
	var head bytes.Buffer
	head.Grow(1 << 10)
	head.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	// Writes to a bytes.Buffer do not fail.
	_ = r.Header.Write(&head)
	head.WriteString("\r\n")
	return head.Bytes()
}
