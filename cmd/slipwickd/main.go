// Command slipwickd is the chat router: it forwards requests of callers for chats and plain
// services to backend servers. slipwickd gateway is the HTTP gateway.
package main

import (
	"os"

	"github.com/slipwick/slipwick/cmd/internal/cli"
	"github.com/slipwick/slipwick/cmd/slipwickd/serve"
)

func main() {
	os.Exit(serve.Main(cli.SystemStreams(), os.Args[1:]))
}
