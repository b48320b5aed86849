// Package loopback gives tests an address of their own: processes of tests that
// run at once then do not take each other's ports between choosing and using one.
package loopback

import (
	"fmt"
	"os"
)

// Host is a loopback address that this process has for itself, unless another
// runs whose ID differs by a multiple of hosts.
func Host() string {
	const perByte, hosts = 250, 250 * 250
	id := os.Getpid() % hosts
	return fmt.Sprintf("127.%d.%d.1", 1+id/perByte, 1+id%perByte)
}
