package gatewayd

import (
	"context"
	"time"
)

// sleep blocks for the given time; it returns false if ctx ends first.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
