// Package loopback provides a loopback address for each test process, so that test
// processes that run at the same time cannot take a port that another has chosen
// but not opened yet.
package loopback

import (
	"fmt"
	"os"
)

// Host returns an IPv4 loopback address that no other running process uses, unless their
// process IDs differ by a multiple of hosts (62500).
func Host() string {
	const perByte, hosts = 250, 250 * 250
	id := os.Getpid() % hosts
	return fmt.Sprintf("127.%d.%d.1", 1+id/perByte, 1+id%perByte)
}
