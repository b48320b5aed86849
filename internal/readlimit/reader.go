// Package readlimit limits how many bytes of a connection are read for one purpose, such as the head of a response.
package readlimit

import (
	"errors"
	"io"
)

// ErrExceeded is returned by a Reader whose limit is reached.
var ErrExceeded = errors.New("the peer sent more bytes than are accepted; find out why it sends them")

// Reader reads from Source, which has to be set before the first use. It must be used by one goroutine at a time.
type Reader struct {
	Source io.Reader

	isLimited bool
	// left is how many more bytes may be read if isLimited.
	left int
}

// Limit sets how many bytes may be read from now on.
func (r *Reader) Limit(bytes int) { r.isLimited, r.left = true, bytes }

// Unlimit removes the limit.
func (r *Reader) Unlimit() { r.isLimited = false }

// Read returns ErrExceeded once as many bytes as allowed were read.
func (r *Reader) Read(into []byte) (int, error) {
	if !r.isLimited {
		return r.Source.Read(into)
	}
	if r.left <= 0 {
		return 0, ErrExceeded
	}
	n, err := r.Source.Read(into[:min(len(into), r.left)])
	r.left -= n
	return n, err
}
