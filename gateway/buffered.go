package gateway

import (
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick/memory"
	"github.com/slipwick/slipwick/upstream"
)

// maxBufferedBytes bounds the size of responses that are read completely before they are forwarded,
// so that the request can be sent again if the response breaks off. Larger responses are forwarded
// as they arrive.
const maxBufferedBytes = 1 << 20

// bufferedResponse is a backend server's response of which the whole body, or its first part, was
// read into memory.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	// held counts the memory of the request, reserved is the part of it that the body uses beside the
	// request's base bytes.
	held     *memory.Reservation
	reserved int64
}

// bufferResponse reads a response, whose body is source, to its end; tooLarge means that it is larger than
// maxBufferedBytes or than the memory that the router has for it, and the rest is still to be read.
func bufferResponse(
	response *upstream.Response, source io.Reader, held *memory.Reservation,
) (buffered *bufferedResponse, tooLarge bool, err error) {
	b := &bufferedResponse{
		status: response.Status,
		header: response.Header,
		held:   held,
	}
	if !b.growTo(initialResponseBytes(response)) {
		b.body = make([]byte, 0, baseBytes)
	}
	for {
		if len(b.body) == cap(b.body) && !b.growTo(min(2*cap(b.body), maxBufferedBytes+1)) {
			return b, true, nil
		}
		n, err := source.Read(b.body[len(b.body):cap(b.body)])
		b.body = b.body[:len(b.body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return b, false, nil
		case err != nil:
			return b, false, err
		}
	}
}

// initialResponseBytes returns the initial size of the buffer for a response: the announced length and
// the byte after it at which the end is read.
func initialResponseBytes(response *upstream.Response) int {
	if response.Length < 0 {
		return baseBytes
	}
	return int(min(response.Length, maxBufferedBytes)) + 1
}

// growTo reports whether it could give the buffer a larger size. A size up to that of the request's base
// bytes needs no further memory.
func (r *bufferedResponse) growTo(size int) bool {
	if size <= cap(r.body) {
		return false
	}
	needed := int64(size - baseBytes)
	if needed > 0 && !r.held.TryGrow(memory.Response, needed) {
		return false
	}
	body := make([]byte, len(r.body), size)
	copy(body, r.body)
	r.body = body
	r.held.Shrink(memory.Response, r.reserved)
	r.reserved = max(needed, 0)
	return true
}

// release gives back the memory of the body.
func (r *bufferedResponse) release() {
	r.body = nil
	r.held.Shrink(memory.Response, r.reserved)
	r.reserved = 0
}

// write writes the response to the caller. An error means that the caller has disconnected.
func (r *bufferedResponse) write(w http.ResponseWriter) error {
	copyHeader(w.Header(), r.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(r.body)))
	w.WriteHeader(r.status)
	_, err := w.Write(r.body)
	return err
}
