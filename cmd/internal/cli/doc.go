// Package cli holds what the commands share: streams, output, exit codes and
// the way to the platform and the routers.
package cli
