// Package apply is the command slipwick apply.
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

const help = `Put a file, or all JSON files of a folder, in force as the whole configuration.

Either everything is accepted or nothing changes. When another operator applied
something meanwhile, nothing is written and the exit code is 3.

Example:
  slipwick apply -f configuration/
  slipwick apply -f configuration/ --dry-run
  slipwick apply -f configuration/ --if-version 7
  slipwick apply -f configuration/ --wait --router 127.0.0.1:9090`

// Options are the command's settings.
type Options struct {
	Factory *cli.Factory
	Path    string
	DryRun  bool
	// IfVersion is the version that has to be in force; 0 takes any.
	IfVersion uint64
	Wait      bool
	// Timeout bounds the wait.
	Timeout time.Duration
	JSON    bool
}

// result is what the command prints.
type result struct {
	Version slipwick.Version       `json:"version"`
	Changes []configuration.Change `json:"changes"`
	Written bool                   `json:"written"`
}

// Register adds the command.
func Register(app *kingpin.Application, factory *cli.Factory, choose cli.Choose) {
	options := &Options{
		Factory: factory,
	}
	clause := cli.Add(app.Command("apply", help), choose, func(ctx context.Context) error {
		return run(ctx, options)
	})
	clause.Flag("file", "File or folder.").Short('f').Required().StringVar(&options.Path)
	clause.Flag("dry-run", "Check and compare, but write nothing.").BoolVar(&options.DryRun)
	clause.Flag("if-version", "Apply only if this version, from get config, is still in force.").
		Uint64Var(&options.IfVersion)
	clause.Flag("wait", "Wait until the routers named with --router have it in force.").BoolVar(&options.Wait)
	clause.Flag("timeout", "Bound of the wait.").Default(defaultTimeout).DurationVar(&options.Timeout)
	clause.Flag("json", "Print JSON.").BoolVar(&options.JSON)
}

func run(ctx context.Context, options *Options) error {
	state, err := configuration.ReadPath(options.Path)
	if err != nil {
		return err
	}
	keeper := options.Factory.Keeper()
	current, version, err := keeper.Current(ctx)
	if err != nil {
		return err
	}
	outcome := result{
		Version: version,
		Changes: configuration.Diff(&current, &state),
	}
	if !options.DryRun && len(outcome.Changes) > 0 {
		if outcome.Version, err = write(ctx, options, keeper, &state, version); err != nil {
			return explain(ctx, keeper, &state, err)
		}
		outcome.Written = true
	}
	if options.Wait && !options.DryRun {
		if err := wait(ctx, options, outcome.Version); err != nil {
			return err
		}
	}
	return show(options, outcome)
}

// write replaces the version in force, if it is the one that was asked for.
func write(
	ctx context.Context, options *Options, keeper *configuration.Repository,
	state *configuration.State, version slipwick.Version,
) (slipwick.Version, error) {
	if options.IfVersion > 0 && slipwick.Version(options.IfVersion) != version {
		return 0, &slipwick.Error{
			Kind:    slipwick.KindConflict,
			Message: fmt.Sprintf("version %d is no longer in force", options.IfVersion),
			Remedy:  "read the one in force with slipwick get config",
		}
	}
	return keeper.Apply(ctx, state, version)
}

// explain adds to a conflict what the winner changed.
func explain(ctx context.Context, keeper *configuration.Repository, state *configuration.State, err error) error {
	if !slipwick.IsKind(err, slipwick.KindConflict) {
		return err
	}
	winner, version, readErr := keeper.Current(ctx)
	if readErr != nil {
		return err
	}
	text := fmt.Sprintf("version %d was applied meanwhile; your files differ from it in:", version)
	for _, change := range configuration.Diff(&winner, state) {
		text += fmt.Sprintf("\n  %s %s", change.Kind, change.Entry)
	}
	return &slipwick.Error{
		Kind:    slipwick.KindConflict,
		Message: text,
		Remedy:  "join both in your files, then apply again",
	}
}

func show(options *Options, outcome result) error {
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
	verb := "in force already, as version"
	if outcome.Written {
		verb = "applied as version"
	} else if options.DryRun {
		verb = "not written; in force is version"
	}
	_, err := fmt.Fprintf(options.Factory.Streams.Out, "%s %d\n", verb, outcome.Version)
	return err
}
