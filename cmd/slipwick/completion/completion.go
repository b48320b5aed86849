// Package completion implements slipwick completion.
package completion

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/slipwick/slipwick/cmd/internal/cli"
)

const help = `Print the completion script of a shell.

Example:
  source <(slipwick completion bash)`

var templates = map[string]string{
	"bash": kingpin.BashCompletionTemplate,
	"zsh":  kingpin.ZshCompletionTemplate,
}

// Options holds the flags and arguments of the command.
type Options struct {
	App   *kingpin.Application
	Shell string
}

// Register adds the command to the command line.
func Register(app *kingpin.Application, _ *cli.Factory, selectCommand cli.SelectFunc) {
	options := &Options{
		App: app,
	}
	clause := cli.AddCommand(app.Command("completion", help), selectCommand, func(context.Context) error {
		return run(options)
	})
	clause.Arg("shell", "bash or zsh.").Required().EnumVar(&options.Shell, "bash", "zsh")
}

func run(options *Options) error {
	parsed, err := options.App.ParseContext(nil)
	if err != nil {
		return err
	}
	const indent = 2
	return options.App.UsageForContextWithTemplate(parsed, indent, templates[options.Shell])
}
