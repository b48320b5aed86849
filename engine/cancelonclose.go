package engine

import (
	"context"
	"io"
)

// cancelOnClose ends a call's context with its body.
type cancelOnClose struct {
	io.ReadCloser

	cancel context.CancelFunc
}

// Close closes the body and ends the context.
func (c *cancelOnClose) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close()
}
