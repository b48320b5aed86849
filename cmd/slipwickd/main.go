// Command slipwickd is the router: it carries requests between callers and
// backend servers.
package main

import (
	"os"

	"github.com/slipwick/slipwick/cmd/internal/cli"
	"github.com/slipwick/slipwick/cmd/slipwickd/serve"
)

func main() {
	os.Exit(serve.Main(cli.System(), os.Args[1:]))
}
