package gateway

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"strconv"

	"github.com/pkg/errors"
	"github.com/slipwick/slipwick/upstream"
)

// maxHeldBytes bounds the answer that is read whole before it is passed on, so
// that one that breaks off can be asked for again. Longer ones are passed on
// as they come.
const maxHeldBytes = 1 << 20

// wholeAnswer is a backend server's answer, read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// readWhole reads an answer to its end; tooLong says that it is longer than
// maxHeldBytes, and more of it is to be read.
func readWhole(answer *upstream.Answer) (whole *wholeAnswer, tooLong bool, err error) {
	var body bytes.Buffer
	if answer.Length > 0 {
		body.Grow(int(min(answer.Length, maxHeldBytes)) + bytes.MinRead)
	}
	_, err = io.CopyN(&body, answer, maxHeldBytes)
	switch {
	case errors.Is(err, io.EOF):
		err = nil
	case err == nil:
		tooLong = true
	}
	return &wholeAnswer{
		status: answer.Status,
		header: answer.Header,
		body:   body.Bytes(),
	}, tooLong, err
}

// copyHeader passes an answer's header on, but for what concerns the
// connection.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(hopByHop, name) {
			to[name] = values
		}
	}
	if from.Get("Content-Type") == "" {
		// Keeps net/http from guessing.
		to["Content-Type"] = nil
	}
}

// write passes the answer on. The error is that of the caller's connection.
func (a *wholeAnswer) write(w http.ResponseWriter) error {
	copyHeader(w.Header(), a.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	_, err := w.Write(a.body)
	return err
}
