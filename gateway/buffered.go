package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
	"github.com/slipwick/slipwick/upstream"
)

// maxBufferedBytes bounds the size of responses that are read completely before they are forwarded,
// so that the request can be sent again if the response breaks off. Larger responses are forwarded
// as they arrive.
const maxBufferedBytes = 1 << 20

// bufferedResponse is a backend server's response of which the whole body, or its first
// maxBufferedBytes and one more byte, was read into memory.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// bufferResponse reads a response to its end; tooLarge means that it is larger than
// maxBufferedBytes and the rest is still to be read.
func bufferResponse(response *upstream.Response) (buffered *bufferedResponse, tooLarge bool, err error) {
	var body bytes.Buffer
	if response.Length > 0 {
		body.Grow(int(min(response.Length, maxBufferedBytes+1)) + bytes.MinRead)
	}
	_, err = io.CopyN(&body, response, maxBufferedBytes+1)
	switch {
	case errors.Is(err, io.EOF):
		err = nil
	case err == nil:
		tooLarge = true
	}
	return &bufferedResponse{
		status: response.Status,
		header: response.Header,
		body:   body.Bytes(),
	}, tooLarge, err
}

// write writes the response to the caller. An error means that the caller has disconnected.
func (r *bufferedResponse) write(w http.ResponseWriter) error {
	copyHeader(w.Header(), r.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(r.body)))
	w.WriteHeader(r.status)
	_, err := w.Write(r.body)
	return err
}
