// Package get joins the commands below slipwick get.
package get

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/slipwick/slipwick/cmd/internal/cli"
	"github.com/slipwick/slipwick/cmd/slipwick/get/config"
)

// Register adds the commands.
func Register(app *kingpin.Application, factory *cli.Factory, choose cli.Choose) {
	config.Register(app.Command("get", "Read what the platform keeps."), factory, choose)
}
