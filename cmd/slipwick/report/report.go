// Package report registers the subcommands of slipwick report.
package report

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/slipwick/slipwick/cmd/internal/cli"
	"github.com/slipwick/slipwick/cmd/slipwick/report/burn"
)

// Register adds the commands to the command line.
func Register(app *kingpin.Application, factory *cli.Factory, selectCommand cli.SelectFunc) {
	burn.Register(app.Command("report", "Print reports."), factory, selectCommand)
}
