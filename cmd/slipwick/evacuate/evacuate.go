// Package evacuate is the command slipwick evacuate.
package evacuate

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/slipwick/slipwick/tablefile"

	"github.com/slipwick/slipwick/cmd/internal/cli"
)

const help = `Have the backend servers of a data centre get nothing new, or end that.

Changes the list of evacuated data centres in a gateway's table file, which
gateways read anew by themselves; comments in it stay. Requests that run there
go on, and engines elsewhere still fetch prompts from there. On a platform with
a store the operators evacuate there, and this command is not needed.

slipwick gateways shows which gateways follow.

Examples:
  slipwick evacuate jekaba --table /etc/slipwick/table.jsonc
  slipwick evacuate jekaba --table /etc/slipwick/table.jsonc --end`

// Options are the command's settings.
type Options struct {
	Factory    *cli.Factory
	DataCentre string
	Table      string
	End        bool
}

// Register adds the command.
func Register(app *kingpin.Application, factory *cli.Factory, choose cli.Choose) {
	options := &Options{
		Factory: factory,
	}
	clause := cli.Add(app.Command("evacuate", help), choose, func(context.Context) error {
		return run(options)
	})
	clause.Arg("data-centre", "The data centre's name.").Required().StringVar(&options.DataCentre)
	clause.Flag("table", "The gateways' table file.").Required().StringVar(&options.Table)
	clause.Flag("end", "Take the data centre back.").BoolVar(&options.End)
}

func run(options *Options) error {
	source, err := os.ReadFile(options.Table)
	if err != nil {
		return errors.Wrap(err, "read the table")
	}
	changed, err := tablefile.SetEvacuated(options.Table, source, options.DataCentre, !options.End)
	if err != nil {
		return err
	}
	if string(changed) == string(source) {
		_, err = fmt.Fprintln(options.Factory.Streams.Out, "nothing to change")
		return err
	}
	if err := replaceFile(options.Table, changed); err != nil {
		return err
	}
	text := "evacuated; gateways follow within a second"
	if options.End {
		text = "taken back; gateways follow within a second"
	}
	_, err = fmt.Fprintf(options.Factory.Streams.Out, "%s: %s\n", options.DataCentre, text)
	return err
}

// replaceFile writes beside the file and renames, so that nobody reads half of it.
func replaceFile(path string, content []byte) error {
	info, err := os.Stat(path)
	if err != nil {
		return errors.Wrap(err, "write the table")
	}
	beside := path + ".new"
	if err := os.WriteFile(beside, content, info.Mode().Perm()); err != nil {
		return errors.Wrap(err, "write the table")
	}
	return errors.Wrap(os.Rename(beside, path), "write the table")
}
