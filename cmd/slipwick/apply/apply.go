// Package apply implements slipwick apply.
package apply

import (
	"context"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/configuration"

	"github.com/slipwick/slipwick/cmd/internal/cli"
)

const help = `Replace the whole configuration by a file, or by all JSON files of a directory.

Either the whole configuration is accepted or nothing changes. If another
operator has applied a change in the meantime, nothing is written and the exit
code is 3.

Examples:
  slipwick apply -f configuration/
  slipwick apply -f configuration/ --dry-run
  slipwick apply -f configuration/ --if-version 7
  slipwick apply -f configuration/ --wait --router 127.0.0.1:9090`

// Options holds the flags and arguments of the command.
type Options struct {
	Factory *cli.Factory
	Path    string
	DryRun  bool
	// IfVersion is the version that has to be in force; 0 allows any.
	IfVersion uint64
	Wait      bool
	// Timeout limits the wait for the routers.
	Timeout time.Duration
	JSON    bool
}

// result is the JSON output of the command.
type result struct {
	Version slipwick.Version       `json:"version"`
	Changes []configuration.Change `json:"changes"`
	Written bool                   `json:"written"`
}

// Register adds the command to the command line.
func Register(app *kingpin.Application, factory *cli.Factory, selectCommand cli.SelectFunc) {
	options := &Options{
		Factory: factory,
	}
	clause := cli.AddCommand(app.Command("apply", help), selectCommand, func(ctx context.Context) error {
		return run(ctx, options)
	})
	clause.Flag("file", "File or directory.").Short('f').Required().StringVar(&options.Path)
	clause.Flag("dry-run", "Check the files and show the changes, but write nothing.").BoolVar(&options.DryRun)
	clause.Flag("if-version", "Apply only if this version, as printed by get config, is still in force.").
		Uint64Var(&options.IfVersion)
	clause.Flag("wait", "Wait until the routers given with --router use the new version.").BoolVar(&options.Wait)
	clause.Flag("timeout", "Longest wait for the routers.").Default(defaultTimeout).DurationVar(&options.Timeout)
	clause.Flag("json", "Print JSON, also on a terminal.").BoolVar(&options.JSON)
}

func run(ctx context.Context, options *Options) error {
	state, err := configuration.ReadPath(options.Path)
	if err != nil {
		return err
	}
	repository := options.Factory.Repository()
	current, version, err := repository.Current(ctx)
	if err != nil {
		return err
	}
	outcome := result{
		Version: version,
		Changes: configuration.Diff(&current, &state),
	}
	if !options.DryRun && len(outcome.Changes) > 0 {
		if outcome.Version, err = write(ctx, options, repository, &state, version); err != nil {
			return explainConflict(ctx, repository, &state, err)
		}
		outcome.Written = true
	}
	if options.Wait && !options.DryRun {
		if err := waitForRouters(ctx, options, outcome.Version); err != nil {
			return err
		}
	}
	return printResult(options, outcome)
}

// write replaces the configuration in force and returns the new version. It fails with
// slipwick.KindConflict if another version is in force than --if-version names.
func write(
	ctx context.Context, options *Options, repository *configuration.Repository,
	state *configuration.State, version slipwick.Version,
) (slipwick.Version, error) {
	if options.IfVersion > 0 && slipwick.Version(options.IfVersion) != version {
		return 0, &slipwick.Error{
			Kind:    slipwick.KindConflict,
			Message: fmt.Sprintf("version %d is no longer in force", options.IfVersion),
			Remedy:  "read the version in force with slipwick get config",
		}
	}
	return repository.Apply(ctx, state, version)
}

// explainConflict adds to a conflict how the files differ from the version that another operator has
// applied. Other errors are returned unchanged.
func explainConflict(
	ctx context.Context, repository *configuration.Repository, state *configuration.State, err error,
) error {
	if !slipwick.IsKind(err, slipwick.KindConflict) {
		return err
	}
	applied, version, readErr := repository.Current(ctx)
	if readErr != nil {
		return err
	}
	text := fmt.Sprintf("version %d was applied in the meantime; your files differ from it in:", version)
	for _, change := range configuration.Diff(&applied, state) {
		text += fmt.Sprintf("\n  %s %s", change.Kind, change.Entry)
	}
	return &slipwick.Error{
		Kind:    slipwick.KindConflict,
		Message: text,
		Remedy:  "merge the changes into your files, then apply again",
	}
}

// printResult prints the changes, and on a terminal also the version.
func printResult(options *Options, outcome result) error {
	table := cli.Table{
		Header: []string{"CHANGE", "ENTRY"},
	}
	for _, change := range outcome.Changes {
		table.Rows = append(table.Rows, []string{string(change.Kind), change.Entry})
	}
	if err := options.Factory.Streams.Print(options.JSON, outcome, table); err != nil {
		return err
	}
	if options.JSON || !options.Factory.Streams.Terminal {
		return nil
	}
	summary := "already in force as version"
	if outcome.Written {
		summary = "applied as version"
	} else if options.DryRun {
		summary = "not written; the version in force is"
	}
	_, err := fmt.Fprintf(options.Factory.Streams.Out, "%s %d\n", summary, outcome.Version)
	return err
}
