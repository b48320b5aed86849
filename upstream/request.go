package upstream

import (
	"bytes"
	"net/http"
	"strconv"
	"time"
)

// Request is one exchange's request.
type Request struct {
	Method string
	// Target is the request target exactly as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID is what a header named IDHeader of the answer repeats.
	ID       string
	IDHeader string
	// MaxRest bounds how long a kept connection may have rested to be used;
	// 0 sets no bound. The shorter, the less likely it is dead.
	MaxRest time.Duration
	// Patience may end the exchange while nothing comes; the zero value does
	// not.
	Patience Patience
}

// head gives the request line and the header.
func (r *Request) head() []byte {
	var head bytes.Buffer
	head.Grow(1 << 10)
	head.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	// A bytes.Buffer takes everything.
	_ = r.Header.Write(&head)
	head.WriteString("\r\n")
	return head.Bytes()
}
