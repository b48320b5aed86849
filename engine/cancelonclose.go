package engine

import (
	"context"
	"io"
)

// cancelOnClose is a response body that cancels the context of its call when it is closed.
type cancelOnClose struct {
	io.ReadCloser

	cancel context.CancelFunc
}

// Close closes the body and cancels the context.
func (c *cancelOnClose) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close()
}
