// Package get registers the subcommands of slipwick get.
package get

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/slipwick/slipwick/cmd/internal/cli"
	"github.com/slipwick/slipwick/cmd/slipwick/get/config"
)

// Register adds the commands to the command line.
func Register(app *kingpin.Application, factory *cli.Factory, selectCommand cli.SelectFunc) {
	config.Register(app.Command("get", "Read what the platform stores."), factory, selectCommand)
}
