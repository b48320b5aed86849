// Package evacuate implements slipwick evacuate.
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

const help = `Send no new requests to the backend servers of a data centre, or end that.

Changes the list of evacuated data centres in a gateway's table file and keeps
its comments; the gateways reload the file on their own. Requests in progress
in the data centre continue, and engines elsewhere can still fetch cached
prompts from it. On a platform with a store, evacuations are written to the
store and this command is not needed.

slipwick gateways shows which gateways have applied the evacuation.

Examples:
  slipwick evacuate east-1 --table /etc/slipwick/table.jsonc
  slipwick evacuate east-1 --table /etc/slipwick/table.jsonc --end`

// Options holds the flags and arguments of the command.
type Options struct {
	Factory    *cli.Factory
	DataCentre string
	Table      string
	End        bool
}

// Register adds the command to the command line.
func Register(app *kingpin.Application, factory *cli.Factory, selectCommand cli.SelectFunc) {
	options := &Options{
		Factory: factory,
	}
	clause := cli.AddCommand(app.Command("evacuate", help), selectCommand, func(context.Context) error {
		return run(options)
	})
	clause.Arg("data-centre", "The data centre's name.").Required().StringVar(&options.DataCentre)
	clause.Flag("table", "The gateways' table file.").Required().StringVar(&options.Table)
	clause.Flag("end", "End the evacuation.").BoolVar(&options.End)
}

func run(options *Options) error {
	// The temporary file also keeps a second run from changing the table meanwhile, which would undo the
	// change of one of them.
	temporary, err := createTemporary(options.Table)
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(temporary) }()
	source, err := os.ReadFile(options.Table)
	if err != nil {
		return errors.Wrap(err, "read the table file")
	}
	changed, err := tablefile.SetEvacuated(options.Table, source, options.DataCentre, !options.End)
	if err != nil {
		return err
	}
	if string(changed) == string(source) {
		_, err = fmt.Fprintln(options.Factory.Streams.Out, "nothing to change")
		return err
	}
	if err := replaceFile(options.Table, temporary, changed); err != nil {
		return err
	}
	message := "evacuated; gateways apply it within a second"
	if options.End {
		message = "evacuation ended; gateways apply it within a second"
	}
	_, err = fmt.Fprintf(options.Factory.Streams.Out, "%s: %s\n", options.DataCentre, message)
	return err
}

// createTemporary creates the file that will replace the table, with the table's permissions, and
// returns its path. It fails if the file exists.
func createTemporary(table string) (string, error) {
	info, err := os.Stat(table)
	if err != nil {
		return "", errors.Wrap(err, "write the table file")
	}
	path := table + ".new"
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, info.Mode().Perm())
	if errors.Is(err, os.ErrExist) {
		return "", errors.Errorf("%s exists: another run changes the table; if none is left, remove that file", path)
	}
	if err != nil {
		return "", errors.Wrap(err, "write the table file")
	}
	return path, errors.Wrap(file.Close(), "write the table file")
}

// replaceFile replaces the content of the table atomically: it writes the temporary file, which is in
// the same directory, and renames it, so that gateways never read half a table.
func replaceFile(table, temporary string, content []byte) error {
	if err := os.WriteFile(temporary, content, 0); err != nil {
		return errors.Wrap(err, "write the table file")
	}
	return errors.Wrap(os.Rename(temporary, table), "write the table file")
}
