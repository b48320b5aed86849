// Package report joins the commands below slipwick report.
package report

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/slipwick/slipwick/cmd/internal/cli"
	"github.com/slipwick/slipwick/cmd/slipwick/report/burn"
)

// Register adds the commands.
func Register(app *kingpin.Application, factory *cli.Factory, choose cli.Choose) {
	burn.Register(app.Command("report", "Work out reports."), factory, choose)
}
