package apply

import (
	"context"
	"fmt"
	"time"

	"github.com/slipwick/slipwick"

	"github.com/slipwick/slipwick/cmd/internal/daemon"
)

const (
	defaultTimeout = "30s"
	pollEvery      = 200 * time.Millisecond
)

// wait returns when all routers named have the version in force.
func wait(ctx context.Context, options *Options, version slipwick.Version) error {
	addresses, err := options.Factory.RouterAddresses()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, options.Timeout)
	defer cancel()
	for _, address := range addresses {
		if err := waitFor(ctx, options, address, version); err != nil {
			return err
		}
	}
	return nil
}

func waitFor(ctx context.Context, options *Options, address string, version slipwick.Version) error {
	for {
		var status daemon.Status
		err := options.Factory.ReadRouter(ctx, address, "/v1/status", &status)
		if err == nil && status.Configuration >= version {
			return nil
		}
		select {
		case <-ctx.Done():
			return &slipwick.Error{
				Kind:    slipwick.KindUnavailable,
				Message: fmt.Sprintf("version %d is applied, but not yet in force at router %s", version, address),
				Remedy:  "look at the router with slipwick status",
				Cause:   err,
			}
		case <-time.After(pollEvery):
		}
	}
}
