// Package cli holds what the commands share: streams, output, exit codes and
// clients of the platform and the routers.
package cli
