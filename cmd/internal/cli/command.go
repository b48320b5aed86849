package cli

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
)

// Command runs one command of the command line until it is done or ctx ends.
type Command func(ctx context.Context) error

// SelectFunc is called while the command line is parsed, with the command that it selects.
type SelectFunc func(Command)

// AddCommand attaches run to the clause: if the parsed command line names the clause, run is passed
// to selectCommand. It returns the clause, for its flags and arguments.
func AddCommand(clause *kingpin.CmdClause, selectCommand SelectFunc, run Command) *kingpin.CmdClause {
	return clause.Action(func(*kingpin.ParseContext) error {
		selectCommand(run)
		return nil
	})
}
