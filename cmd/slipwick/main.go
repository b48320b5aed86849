// Command slipwick is the command line for operators of a fleet of routers.
package main

import (
	"os"

	"github.com/slipwick/slipwick/cmd/internal/cli"
	"github.com/slipwick/slipwick/cmd/slipwick/root"
)

func main() {
	os.Exit(root.Main(cli.SystemStreams(), os.Args[1:]))
}
