package cli

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
)

// Command runs what the command line chose.
type Command func(ctx context.Context) error

// Choose is told which command the command line chose.
type Choose func(Command)

// Add makes a command of the clause: parsing it chooses run.
func Add(clause *kingpin.CmdClause, choose Choose, run Command) *kingpin.CmdClause {
	return clause.Action(func(*kingpin.ParseContext) error {
		choose(run)
		return nil
	})
}
