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
	pollInterval   = 200 * time.Millisecond
)

// waitForRouters returns when all routers given with --router use the version or a later one. It
// fails with slipwick.KindUnavailable after --timeout.
func waitForRouters(ctx context.Context, options *Options, version slipwick.Version) error {
	addresses, err := options.Factory.RouterAddresses()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, options.Timeout)
	defer cancel()
	for _, address := range addresses {
		if err := waitForRouter(ctx, options, address, version); err != nil {
			return err
		}
	}
	return nil
}

// waitForRouter polls the status of one router until it uses the version or ctx ends.
func waitForRouter(ctx context.Context, options *Options, address string, version slipwick.Version) error {
	for {
		var status daemon.Status
		err := options.Factory.ReadRouter(ctx, address, "/v1/status", &status)
		if err == nil && status.ConfigurationVersion >= version {
			return nil
		}
		select {
		case <-ctx.Done():
			return &slipwick.Error{
				Kind:    slipwick.KindUnavailable,
				Message: fmt.Sprintf("version %d is applied, but not yet in force at router %s", version, address),
				Remedy:  "check the router with slipwick status",
				Cause:   err,
			}
		case <-time.After(pollInterval):
		}
	}
}
